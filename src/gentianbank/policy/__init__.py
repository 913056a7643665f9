"""Routing and admission decisions, free of input and output."""
