"""Tests of the schedule of a graceful shutdown."""

from __future__ import annotations

from gentianbank.policy.graceful_shutdown import ShutdownSchedule

PLAN = ShutdownSchedule(began_ms=1_000.0, grace_ms=6_000.0)


def test_stop_plan_serves_requests_before_it_refuses_them() -> None:
    assert not PLAN.refuses_requests(1_000 + 2_500)
    assert PLAN.refuses_requests(1_000 + 3_000)


def test_stop_plan_listens_while_callers_may_still_arrive() -> None:
    assert not PLAN.may_exit(1_000 + 3_000, in_flight=0)
    assert PLAN.may_exit(1_000 + 3_700, in_flight=0)


def test_stop_plan_awaits_requests_until_shortly_before_the_kill() -> None:
    assert not PLAN.may_exit(1_000 + 5_000, in_flight=1)
    assert PLAN.may_exit(1_000 + 5_750, in_flight=1)
