"""Data types and rules of the system; no input or output."""
