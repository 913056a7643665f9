"""Adapter to the users' platform: its calls, names and documents."""
