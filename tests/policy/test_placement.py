"""Tests of the choice of a target by expected cost."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from gentianbank.domain.load_report import LoadReport
from gentianbank.policy.placement import choose_target
from gentianbank.policy.placement import NoCapacity
from gentianbank.policy.placement import NoUsableTarget
from gentianbank.policy.placement import Placement
from gentianbank.policy.placement import PlacementInputs
from gentianbank.policy.route_times import RouteTimes
from gentianbank.policy.target_load import TargetLoad
from tests.support.steering import registration

NOW_MS = 100_000.0
TIMES = RouteTimes(warm_ms=160, cold_ms=540, mean_ms=200)
DEMAND = PlacementInputs(
    topic='read/7',
    region='east',
    failure_domain='east-1',
    times=TIMES,
    urgent=False,
    was_refused_before=False,
    objective_left_ms=400,
    time_left_ms=1_500,
)


def build_target(name: str, *topics: str, **changes: Any) -> TargetLoad:
    fields: dict[str, Any] = {'slots': 4} | changes
    target = TargetLoad(registration(name, **fields), 'east', 0.0)
    for topic in topics:
        target.on_send(0.0, topic)
        target.on_end()
    target.on_report(LoadReport(0, 0, 4, 1.0), NOW_MS)
    return target


def occupy(target: TargetLoad, requests: int) -> None:
    for _ in range(requests):
        target.on_send(NOW_MS, '')


def choose_target_id(demand: PlacementInputs, *targets: TargetLoad) -> str:
    placement = choose_target(demand, targets, NOW_MS)
    assert isinstance(placement, Placement)
    return placement.target.registration.target_id


def test_place_prefers_the_target_with_the_object_warm() -> None:
    warm = build_target('b-2', 'read/7')
    assert choose_target_id(DEMAND, build_target('a-1'), warm) == 'b-2'


def test_place_chooses_the_first_of_equal_targets() -> None:
    assert (
        choose_target_id(DEMAND, build_target('a-1'), build_target('b-2'))
        == 'a-1'
    )


def test_place_avoids_a_target_with_a_high_slowdown() -> None:
    slow, fast = build_target('a-1', 'read/7'), build_target('b-2', 'read/7')
    slow.on_report(LoadReport(1, 0, 4, 2.5), NOW_MS)
    assert choose_target_id(DEMAND, slow, fast) == 'b-2'


def test_slowdown_of_an_old_report_decays() -> None:
    slow = build_target('a-1', 'read/7')
    slow.on_report(LoadReport(1, 0, 4, 2.5), NOW_MS - 10_000)
    unreported = TargetLoad(registration('b-2', slots=4), 'east', 0.0)
    assert slow.slowdown(NOW_MS) == pytest.approx(unreported.slowdown(NOW_MS))


def test_place_keeps_large_answers_in_the_failure_domain() -> None:
    times = RouteTimes(160, 540, 200, answer_kb=90)
    other_domain = build_target('a-1', 'read/7', failure_domain='east-2')
    same_domain = build_target('b-2', 'read/7')
    same_domain.on_report(LoadReport(1, 0, 4, 1.3), NOW_MS)
    assert (
        choose_target_id(
            replace(DEMAND, times=times), other_domain, same_domain
        )
        == 'b-2'
    )


def test_place_queues_only_within_the_latency_objective() -> None:
    target = build_target('a-1', 'read/7')
    occupy(target, 5)
    assert choose_target_id(DEMAND, target) == 'a-1'
    assert isinstance(
        choose_target(
            replace(DEMAND, objective_left_ms=150), [target], NOW_MS
        ),
        NoCapacity,
    )


def test_place_allows_urgent_requests_a_longer_queue() -> None:
    target = build_target('a-1', 'read/7')
    occupy(target, 7)
    demand = replace(DEMAND, objective_left_ms=900)
    assert isinstance(choose_target(demand, [target], NOW_MS), NoCapacity)
    assert choose_target_id(replace(demand, urgent=True), target) == 'a-1'


def test_place_uses_a_free_slot_despite_a_late_estimate() -> None:
    # Otherwise a route whose initial estimate exceeds the time left would
    # get no answers, and the estimate would never be corrected.
    late = replace(DEMAND, time_left_ms=300, objective_left_ms=-1.0)
    assert choose_target_id(late, build_target('a-1')) == 'a-1'


def test_place_counts_the_requests_sent_since_the_report() -> None:
    busy = build_target('a-1')
    occupy(busy, 4)
    assert (
        choose_target_id(replace(DEMAND, topic=''), busy, build_target('b-2'))
        == 'b-2'
    )


def test_place_avoids_targets_that_fail_often() -> None:
    failing = build_target('a-1', 'read/7')
    for _ in range(10):
        failing.on_answer(failed=True)
    assert (
        choose_target_id(DEMAND, failing, build_target('b-2', 'read/7'))
        == 'b-2'
    )


def test_place_without_targets_finds_none() -> None:
    assert choose_target(DEMAND, [], NOW_MS) == NoUsableTarget()


def test_place_lets_returning_callers_exceed_the_objective() -> None:
    target = build_target('a-1', 'read/7')
    occupy(target, 6)
    late = replace(DEMAND, objective_left_ms=10, was_refused_before=True)
    assert choose_target_id(late, target) == 'a-1'
    occupy(target, 1)
    assert isinstance(choose_target(late, [target], NOW_MS), NoCapacity)
    assert choose_target_id(replace(late, urgent=True), target) == 'a-1'
    near_deadline = replace(late, time_left_ms=100)
    assert isinstance(
        choose_target(near_deadline, [target], NOW_MS), NoCapacity
    )
