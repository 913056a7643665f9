"""Interfaces and adapters of the store, and the data kept in it."""
