"""Composition roots: one for each interface that a node can serve."""
