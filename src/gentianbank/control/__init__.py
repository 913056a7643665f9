"""Membership and the spread of configuration between nodes."""
