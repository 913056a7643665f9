"""Request path and cluster state of a node on the users' platform."""
