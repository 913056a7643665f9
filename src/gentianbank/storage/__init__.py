"""The store: its port, adapters and what the product keeps in it."""
