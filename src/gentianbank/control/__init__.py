"""Membership, configuration gossip and budget loans between nodes."""
