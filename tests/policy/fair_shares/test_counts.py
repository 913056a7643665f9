"""Counts of a service at a node, and their sum over the fleet."""

from __future__ import annotations

import pytest

from gentianbank.policy.fair_shares.counts import NodeCounts
from gentianbank.policy.fair_shares.counts import sum_counts
from gentianbank.policy.fair_shares.counts import WindowedCounter
from gentianbank.policy.fair_shares.division import Asked
from gentianbank.policy.fair_shares.division import ClassKey

LAB = ClassKey('lab', 1, 1)
SHOP = ClassKey('shop', 1, 1)


def test_rates_follow_the_length_of_the_window() -> None:
    counter = WindowedCounter(0.0)
    for _ in range(10):
        counter.on_request(LAB, returning=False)
        counter.on_answered()
    counter.on_request(LAB, returning=True)
    counter.on_no_room()
    assert not counter.is_due(999.0)
    counts = counter.end_window(2_000.0)
    assert counts.asked == {LAB: Asked(5.0, 0.5)}
    assert counts.answered_per_s == 5.0
    assert counts.refused_per_s == 0.5


def test_class_that_asks_no_more_is_forgotten() -> None:
    counter = WindowedCounter(0.0)
    counter.on_request(LAB, returning=False)
    for second in range(1, 10):
        counts = counter.end_window(second * 1_000.0)
    assert counts.asked == {}


def test_sum_scales_only_the_others() -> None:
    own = NodeCounts({LAB: Asked(1.0, 2.0)}, 3.0, 4.0)
    other = NodeCounts({LAB: Asked(1.0), SHOP: Asked(2.0)}, 1.0, 1.0, True)
    fleet = sum_counts(own, [other], 10.0)
    assert fleet.asked == {LAB: Asked(11.0, 2.0), SHOP: Asked(20.0, 0.0)}
    assert fleet.answered_per_s == pytest.approx(13.0)
    assert fleet.refused_per_s == pytest.approx(14.0)
    assert fleet.is_short
