"""Tests of the load balancing algorithms."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from gentianbank.policy.balancer import BALANCERS
from gentianbank.policy.balancer import Candidate


def candidate(name: str, in_flight: int, **options: float) -> Candidate:
    return Candidate(
        target=name,
        slots=6,
        own_in_flight=in_flight,
        **options,  # type: ignore[arg-type]
    )


@pytest.mark.parametrize('name', sorted(BALANCERS))
def test_balancer_spreads_requests_over_equal_targets(name: str) -> None:
    balancer = BALANCERS[name]()
    random = Random(1)
    candidates = [candidate(f't{number}', 0) for number in range(5)]
    chosen = Counter(
        balancer.choose(candidates, random).target for _ in range(500)
    )
    assert len(chosen) == 5
    assert max(chosen.values()) < 200


@pytest.mark.parametrize(
    'name', ['least-in-flight', 'power-of-two', 'power-of-two-shared']
)
def test_balancer_avoids_the_more_loaded_target(name: str) -> None:
    balancer = BALANCERS[name]()
    random = Random(1)
    candidates = [candidate('idle', 0), candidate('busy', 5)]
    for _ in range(50):
        assert balancer.choose(candidates, random).target == 'idle'


def test_shared_load_decays_with_the_report_age() -> None:
    balancer = BALANCERS['power-of-two-shared']()
    random = Random(1)
    for age_ms, expected in ((0.0, 'other'), (60_000.0, 'reported')):
        reported = candidate(
            'reported', 0, reported_in_flight=6, report_age_ms=age_ms
        )
        chosen = balancer.choose([reported, candidate('other', 1)], random)
        assert chosen.target == expected


def test_balancer_prefers_the_target_with_more_weight() -> None:
    balancer = BALANCERS['power-of-two']()
    cold = candidate('cold', 0, weight=0.1)
    chosen = balancer.choose([cold, candidate('warm', 2)], Random(1))
    assert chosen.target == 'warm'
