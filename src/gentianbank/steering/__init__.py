"""A node that steers for the users' platform."""
