"""Tests of a node's parts of the rate limits for all nodes."""

from __future__ import annotations

import pytest

from gentianbank.policy.fleet_limits import cold_target_quota
from gentianbank.policy.fleet_limits import ColdRateLimit
from gentianbank.policy.fleet_limits import LIMIT_SPAN_S
from gentianbank.policy.fleet_limits import limited_target_quota
from gentianbank.policy.fleet_limits import SharedRetryBudget

# Nodes and regions of the deployments, small, grown and large.
FLEETS = [(7, 3), (25, 3), (34, 3), (35, 3), (77, 3), (300, 3)]


@pytest.mark.parametrize('nodes', [1, 3, 7, 25, 300])
@pytest.mark.parametrize('allowed_per_s', [10.4, 15.5, 60.0])
def test_cold_shares_of_all_nodes_stay_within_the_limit(
    nodes: int, allowed_per_s: float
) -> None:
    names = tuple(f'vm-{number}' for number in range(nodes))
    shares = [
        cold_target_quota('t-1', name, names, allowed_per_s) for name in names
    ]
    assert 1 <= sum(shares) <= allowed_per_s
    assert max(shares) - min(shares) <= 1


@pytest.mark.parametrize(('nodes', 'regions'), [(1, 1), *FLEETS])
@pytest.mark.parametrize('limit_per_s', [0.0, 0.2, 2.5, 3.1, 40.0, 700.0])
def test_parts_of_a_named_limit_sum_to_no_more_than_the_limit(
    nodes: int, regions: int, limit_per_s: float
) -> None:
    names = [f'vm-{number}' for number in range(nodes)]
    near = tuple(names[::regions])
    far = tuple(name for name in names if name not in near)
    quotas = [
        limited_target_quota('t-1', name, near, far, limit_per_s)
        for name in names
    ]
    assert sum(quotas) <= max(1, limit_per_s * LIMIT_SPAN_S)
    assert sum(quotas) >= 1
    assert sum(quotas[::regions]) >= 0.5 * sum(quotas)


@pytest.mark.parametrize(('nodes', 'regions'), FLEETS)
@pytest.mark.parametrize('limit_per_s', [0.2, 2.5, 40.0])
def test_node_that_assumes_more_nodes_takes_no_larger_part(
    nodes: int, regions: int, limit_per_s: float
) -> None:
    names = tuple(f'vm-{number}' for number in range(nodes))
    near, far = names[::regions], names[1::regions]
    assumed = tuple(f'unknown {number}' for number in range(nodes))
    for name in names:
        known = limited_target_quota('t-1', name, near, far, limit_per_s)
        for more in range(0, nodes, 5):
            part = limited_target_quota(
                't-1',
                name,
                (*near, *assumed[:more]),
                (*far, *assumed[:more]),
                limit_per_s,
            )
            assert part <= known


def test_cold_rate_limit_holds_in_every_second() -> None:
    limit = ColdRateLimit()
    sent = []
    for now_ms in range(0, 5_000, 10):
        if limit.may_send(now_ms, 2):
            limit.on_send(now_ms)
            sent.append(now_ms)
    for start_ms in sent:
        assert sum(start_ms <= t < start_ms + 1_000 for t in sent) <= 2


@pytest.mark.parametrize('nodes', [1, 7])
def test_retry_budget_holds_in_every_window(nodes: int) -> None:
    budget = SharedRetryBudget(ratio=0.2, slack=56, window_ms=10_000)
    spent = []
    for now_ms in range(0, 60_000, 20):
        budget.on_request(now_ms)
        if budget.try_spend(now_ms, 1 / nodes):
            spent.append(now_ms)
    for start_ms in range(0, 50_000, 500):
        window = [t for t in spent if start_ms <= t < start_ms + 10_000]
        assert len(window) <= 0.2 * 500 + 56 / nodes
    assert spent


def test_restarted_nodes_spend_no_slack_that_was_spent_before() -> None:
    nodes = 7
    spent = 0
    for started_ms in (-60_000.0, 4_000.0):
        for _ in range(nodes):
            budget = SharedRetryBudget(
                ratio=0.0,
                slack=56,
                window_ms=10_000,
                started_ms=started_ms,
            )
            while budget.try_spend(4_500.0, 1 / nodes):
                spent += 1
    assert spent <= 56


def test_changed_retry_budget_remembers_what_was_spent() -> None:
    budget = SharedRetryBudget(ratio=0.0, slack=56, window_ms=10_000)
    while budget.try_spend(0.0, 1):
        pass
    budget.apply(ratio=0.0, slack=28, window_ms=10_000)
    assert not budget.try_spend(100.0, 1)
    budget.apply(ratio=0.0, slack=200, window_ms=10_000)
    assert budget.try_spend(100.0, 1)


def test_retry_budget_keeps_a_part_for_returning_callers() -> None:
    budget = SharedRetryBudget(ratio=0.0, slack=20, window_ms=10_000)
    new_callers = sum(budget.try_spend(0.0, 1) for _ in range(20))
    returning = sum(
        budget.try_spend(0.0, 1, returning=True) for _ in range(20)
    )
    assert 0 < new_callers < 15
    assert returning > 0
    assert new_callers + returning <= 20
