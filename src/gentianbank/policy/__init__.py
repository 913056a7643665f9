"""Pure decisions over snapshots."""
