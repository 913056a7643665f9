"""Formats and calls of the platform: store, documents and headers."""
