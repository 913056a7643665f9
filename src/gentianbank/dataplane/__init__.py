"""Look-ups and the request path."""
