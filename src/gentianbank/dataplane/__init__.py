"""Data plane: look-ups, and forwarding of requests to targets."""
