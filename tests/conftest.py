"""Fixtures of all tests."""

from __future__ import annotations

import random

import pytest

SEED = 0


@pytest.fixture(autouse=True)
def seeded_random() -> None:
    """Give the jitter of timers the same values in every run."""
    random.seed(SEED)
