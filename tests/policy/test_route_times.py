"""Tests of the work times of routes."""

from __future__ import annotations

import pytest

from gentianbank.policy.route_times import Answer
from gentianbank.policy.route_times import HALF_LIFE_MS
from gentianbank.policy.route_times import RECENT_MS
from gentianbank.policy.route_times import RouteTimes
from gentianbank.policy.route_times import ServiceKind
from gentianbank.policy.route_times import WorkTimes

OBJECTIVE_MS = 400.0
DESK = ServiceKind('desk', large=False)
NOW_MS = 60_000.0


def measure(
    times: WorkTimes, route: str, work_ms: float, now_ms: float = NOW_MS
) -> None:
    """Record many answers of the same work time."""
    answer = Answer(work_ms, 5_000, warm=False)
    for _ in range(200):
        times.on_answer(route, OBJECTIVE_MS, DESK, answer, now_ms)


def estimate_ms(times: WorkTimes, route: str, now_ms: float) -> float:
    return times.estimate(route, OBJECTIVE_MS, DESK, now_ms).mean_ms


@pytest.mark.parametrize('warm', [True, False])
def test_route_times_follow_the_answers(warm: bool) -> None:
    times = RouteTimes.initial(400)
    for _ in range(200):
        times.on_answer(300, 5_000, warm=warm)
    assert (times.warm_ms if warm else times.cold_ms) == pytest.approx(300, 1)


def test_route_times_bound_the_effect_of_a_long_answer() -> None:
    times = RouteTimes(160, 540, 200)
    times.on_answer(8_000, 5_000, warm=True)
    assert times.warm_ms < 170


def test_new_route_starts_from_the_other_routes_of_its_service() -> None:
    # Its first guess was above the objective, so its requests never waited.
    times = WorkTimes()
    measure(times, 'read', 200)
    assert estimate_ms(times, 'new', NOW_MS) == pytest.approx(200, rel=0.01)


def test_route_of_a_service_without_answers_starts_from_its_objective() -> (
    None
):
    times = WorkTimes()
    assert estimate_ms(times, 'new', NOW_MS) > OBJECTIVE_MS


def test_recent_answers_of_a_route_hold_alone() -> None:
    times = WorkTimes()
    measure(times, 'slow', 900)
    measure(times, 'read', 200, NOW_MS + RECENT_MS)
    estimated_ms = estimate_ms(times, 'slow', NOW_MS + RECENT_MS)
    assert estimated_ms == pytest.approx(900, rel=0.01)


def test_estimate_without_answers_moves_to_that_of_the_service() -> None:
    times = WorkTimes()
    measure(times, 'slow', 900)
    late_ms = NOW_MS + RECENT_MS + HALF_LIFE_MS
    measure(times, 'read', 200, late_ms)
    halfway_ms = estimate_ms(times, 'slow', late_ms)
    assert halfway_ms == pytest.approx(550, rel=0.01)
    later_ms = estimate_ms(times, 'slow', late_ms + 10 * HALF_LIFE_MS)
    assert later_ms == pytest.approx(200, rel=0.01)


def test_estimate_stays_where_no_other_route_was_answered_since() -> None:
    times = WorkTimes()
    measure(times, 'read', 200)
    measure(times, 'slow', 900, NOW_MS + 1)
    later_ms = estimate_ms(times, 'slow', NOW_MS + 100 * HALF_LIFE_MS)
    assert later_ms == pytest.approx(900, rel=0.01)


def test_services_and_kinds_of_answers_are_kept_apart() -> None:
    times = WorkTimes()
    measure(times, 'read', 200)
    for kind in (ServiceKind('desk', True), ServiceKind('post', False)):
        estimated = times.estimate('new', OBJECTIVE_MS, kind, NOW_MS)
        assert estimated == RouteTimes.initial(OBJECTIVE_MS)
