"""Usage caps of workspaces: messages between nodes, and admission."""
