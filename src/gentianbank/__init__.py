"""Global traffic steering: look-ups, request path and control."""
