"""Fair shares: what ties the decisions to requests and to the gossip."""
