"""Tests of the split of a route's requests by weight."""

from __future__ import annotations

from collections import Counter

import pytest

from gentianbank.domain.route_table import SplitPart
from gentianbank.policy.weighted_round_robin import WeightedRoundRobin


@pytest.mark.parametrize('weights', [(90, 10), (1, 1), (0.7, 0.2, 0.1)])
def test_split_keeps_shares_over_short_spans(
    weights: tuple[float, ...],
) -> None:
    parts = tuple(SplitPart(f's-{i}', w) for i, w in enumerate(weights))
    round_robin = WeightedRoundRobin()
    chosen = [round_robin.choose(parts) for _ in range(400)]
    for start in range(0, 400, 100):
        counts = Counter(chosen[start : start + 100])
        for part in parts:
            share = part.weight / sum(weights)
            assert abs(counts[part.service] / 100 - share) <= 0.02


def test_split_part_without_weight_gets_no_requests() -> None:
    round_robin = WeightedRoundRobin()
    parts = (SplitPart('a', 1), SplitPart('b', 0))
    assert {round_robin.choose(parts) for _ in range(10)} == {'a'}
