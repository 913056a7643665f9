"""Tests of the schedule of a graceful shutdown."""

from __future__ import annotations

import pytest

from gentianbank.policy.graceful_shutdown import ShutdownSchedule

# Graces of the deployments, and a longer one.
GRACES_MS = [6_000.0, 10_000.0, 60_000.0]
# By then callers have new look-up answers, which do not name the node.
LATEST_REFUSAL_MS = 3_000.0
PLAN = ShutdownSchedule(began_ms=1_000.0, grace_ms=6_000.0)


def test_stop_plan_serves_requests_before_it_refuses_them() -> None:
    assert not PLAN.refuses_requests(1_000 + 2_500)
    assert PLAN.refuses_requests(1_000 + 3_000)


@pytest.mark.parametrize('grace_ms', GRACES_MS)
def test_stop_plan_leaves_most_of_the_grace_to_requests_in_flight(
    grace_ms: float,
) -> None:
    plan = ShutdownSchedule(began_ms=1_000.0, grace_ms=grace_ms)
    assert plan.refuses_requests(1_000 + LATEST_REFUSAL_MS)
    assert not plan.may_exit(1_000 + 0.9 * grace_ms, in_flight=1)


def test_stop_plan_listens_while_callers_may_still_arrive() -> None:
    assert not PLAN.may_exit(1_000 + 3_000, in_flight=0)
    assert PLAN.may_exit(1_000 + 3_700, in_flight=0)


def test_stop_plan_awaits_requests_until_shortly_before_the_kill() -> None:
    assert not PLAN.may_exit(1_000 + 5_000, in_flight=1)
    assert PLAN.may_exit(1_000 + 5_750, in_flight=1)
