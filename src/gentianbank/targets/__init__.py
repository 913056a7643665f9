"""Transport of requests to targets: the interface and HTTP/1.1."""
