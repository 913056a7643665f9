"""Requests to targets: the port and its adapters."""
