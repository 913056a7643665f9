"""Usage caps of workspaces over all nodes: decisions without a network."""
