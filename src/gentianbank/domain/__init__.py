"""Aggregates and value objects with their rules; no input or output."""
