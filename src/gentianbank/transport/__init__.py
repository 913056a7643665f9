"""Authenticated connections between nodes."""
