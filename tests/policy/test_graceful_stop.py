"""Tests of the schedule of a graceful shutdown."""

from __future__ import annotations

from gentianbank.policy.graceful_stop import StopPlan

PLAN = StopPlan(began_ms=1_000.0, grace_ms=6_000.0)


def test_requests_are_served_first_and_refused_later() -> None:
    assert not PLAN.refuses(1_000 + 2_500)
    assert PLAN.refuses(1_000 + 3_000)


def test_process_stays_while_callers_may_still_come() -> None:
    assert not PLAN.may_exit(1_000 + 3_000, in_flight=0)
    assert PLAN.may_exit(1_000 + 3_700, in_flight=0)


def test_process_waits_for_requests_but_ends_before_it_is_killed() -> None:
    assert not PLAN.may_exit(1_000 + 5_000, in_flight=1)
    assert PLAN.may_exit(1_000 + 5_750, in_flight=1)
