"""Connections between nodes."""
