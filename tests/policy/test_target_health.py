"""Tests of outlier ejection and slow start."""

from __future__ import annotations

import pytest

from gentianbank.policy.target_health import EJECT_FAILURES
from gentianbank.policy.target_health import may_take_work
from gentianbank.policy.target_health import should_eject
from gentianbank.policy.target_health import SLOW_MIN_SAMPLES
from gentianbank.policy.target_health import SLOW_START_MS
from gentianbank.policy.target_health import TargetHealth

NOW_MS = 100_000.0


def healthy(latency_ms: float = 10.0) -> TargetHealth:
    health = TargetHealth(warm_from_ms=0.0)
    for _ in range(SLOW_MIN_SAMPLES):
        health = health.on_success(latency_ms)
    return health


def failed(times: int) -> TargetHealth:
    health = healthy()
    for _ in range(times):
        health = health.on_failure()
    return health


@pytest.mark.parametrize(
    ('health', 'expected'),
    [
        (healthy(), False),
        (healthy(29.0), False),
        (healthy(50.0), True),
        (failed(EJECT_FAILURES - 1), False),
        (failed(EJECT_FAILURES), True),
    ],
)
def test_outliers_are_ejected(health: TargetHealth, expected: bool) -> None:
    healths = {'suspect': health, 'b': healthy(), 'c': healthy()}
    assert should_eject('suspect', healths, NOW_MS) is expected


def test_ejection_keeps_half_of_the_targets() -> None:
    healths = {name: failed(EJECT_FAILURES) for name in 'abcd'}
    for name in 'abcd':
        if should_eject(name, healths, NOW_MS):
            healths[name] = healths[name].eject(NOW_MS)
    ejected = [h for h in healths.values() if h.is_ejected(NOW_MS)]
    assert len(ejected) == 2


def test_ejected_target_returns_with_slow_start() -> None:
    health = healthy().eject(NOW_MS)
    assert not may_take_work(health, NOW_MS)
    return_ms = health.ejected_until_ms
    assert may_take_work(health, return_ms)
    assert health.weight(return_ms) < 0.2
    assert health.weight(return_ms + SLOW_START_MS) == 1.0


def test_target_that_passes_its_checks_again_returns_with_slow_start() -> None:
    health = healthy().on_health_check(failing=True, now_ms=NOW_MS)
    assert not may_take_work(health, NOW_MS)
    back_ms = NOW_MS + 5_000
    for checked_ms in (back_ms, back_ms + 1_000):
        health = health.on_health_check(failing=False, now_ms=checked_ms)
    assert may_take_work(health, back_ms)
    assert health.weight(back_ms) < 0.2
    assert health.weight(back_ms + SLOW_START_MS) == 1.0
