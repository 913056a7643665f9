"""Tests of explanations of where a request would go."""
