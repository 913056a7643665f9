"""Division of a service's room among those that ask for it."""
