"""Tests of how a cap is divided into a bucket and equal parts."""

from __future__ import annotations

import pytest

from gentianbank.policy.usage_caps.owners import choose_owners
from gentianbank.policy.usage_caps.owners import MIN_OWNERS
from gentianbank.policy.usage_caps.parts import divide
from gentianbank.policy.usage_caps.parts import EqualPart
from gentianbank.policy.usage_caps.plan import Cap
from gentianbank.policy.usage_caps.plan import CapRule
from gentianbank.policy.usage_caps.plan import choose_pace
from gentianbank.policy.usage_caps.plan import GRANT_MS
from gentianbank.policy.usage_caps.plan import plan_cap

RULE = CapRule()
WINDOW_MS = RULE.window_ms


@pytest.mark.parametrize('rate', [1.0, 5.0, 40.0, 1_000.0])
@pytest.mark.parametrize('burst', [0.0, 3.0, 100.0, 5_000.0])
@pytest.mark.parametrize('nodes', [5, 7_200])
def test_plan_stays_within_the_rule_without_slack(
    rate: float, burst: float, nodes: int
) -> None:
    """Guards against a bucket whose grants of a window exceed the rule."""
    cap = Cap(rate, burst)
    grant_ms = choose_pace(nodes).grant_ms
    plan = plan_cap(cap, RULE, grant_ms)
    most = plan.capacity + plan.rate_per_s * (WINDOW_MS + grant_ms) / 1_000
    assert most <= max(RULE.allowed(cap), 1.0)


@pytest.mark.parametrize(('rate', 'burst'), [(20, 0), (100, 20), (8, 40)])
def test_plan_fills_at_nearly_the_whole_rate(rate: int, burst: int) -> None:
    """Guards against a plan that leaves less than 0.9 of the cap."""
    plan = plan_cap(Cap(rate, burst), RULE, GRANT_MS)
    assert plan.rate_per_s >= 0.94 * rate


def test_parts_of_all_members_sum_to_the_whole() -> None:
    """Guards against equal parts that together exceed the cap."""
    members = frozenset(f'vm-{number}' for number in range(7))
    for total in (0, 3, 7, 100):
        parts = divide('lab', members, total)
        assert sum(parts.quota(vm) for vm in members) == total
        assert parts.quota_of_all(members) == total


def test_part_accrues_from_the_end_of_the_promise() -> None:
    """Guards against all nodes using a window's part at once."""
    part = EqualPart(WINDOW_MS, 0.0)
    assert not part.is_free(10, 400.0)
    assert part.is_free(10, 500.0)
    part.use(500.0)
    assert not part.is_free(10, 900.0)
    part.give_back(500.0)
    assert part.is_free(10, 900.0)
    part.postpone(5_000.0)
    assert not part.is_free(10, 5_400.0)


def test_owners_are_few_and_the_same_on_every_node() -> None:
    """Guards against nodes that ask different owners."""
    nodes = [f'vm-{number}' for number in range(400)]
    owners = choose_owners(nodes)
    assert len(owners.names) == 400 // 32
    assert choose_owners(reversed(nodes)) == owners
    assert len(choose_owners(nodes[:20]).names) == MIN_OWNERS
    assert choose_owners(nodes[:-1]).owner_of('lab') in nodes
    assert choose_owners(()).owner_of('lab') is None


def test_messages_of_a_large_fleet_stay_bounded() -> None:
    """Guards against owners that each of 7,200 nodes asks every second."""
    pace = choose_pace(7_200)
    assert 7_200 / pace.quiet_ms * 1_000 < 350
    assert choose_pace(67).quiet_ms < 1_000
