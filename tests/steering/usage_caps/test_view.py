"""Tests of the age of the store's copy across a suspension."""

from __future__ import annotations

from gentianbank.steering.usage_caps.view import StoreAge


def test_suspended_time_counts_into_the_age() -> None:
    """Guards against an owner that acts on an old view after a suspension."""
    suspended_ms = [0.0]
    age = StoreAge(lambda: 1_000.0, lambda: 1_000.0 + suspended_ms[0])
    assert age.heard_ms(900.0) == 900.0
    suspended_ms[0] = 60_000.0
    # An answer that may have been noted before the suspension.
    assert age.heard_ms(950.0) == 950.0
    assert age.heard_ms(950.0) == 950.0
    assert age.heard_ms(960.0) == 60_960.0
    assert age.heard_ms(None) == float('-inf')
