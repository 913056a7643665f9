"""Measurements: ratios and slopes, each within one run."""
