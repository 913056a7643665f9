"""Tests of a node's parts of the limits for all nodes together."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from gentianbank.domain.request_limit import NamedLimit
from gentianbank.policy.fleet_limits import COLD_WINDOW_MS
from gentianbank.policy.fleet_limits import LIMIT_WINDOW_MS
from gentianbank.policy.fleet_limits import SharedRetryBudget
from gentianbank.policy.fleet_members import MemberSource
from gentianbank.policy.fleet_members import MEMORY_MS
from gentianbank.steering.member_record import LEASE_MS
from gentianbank.steering.member_record import RENEWAL_MS
from tests.support.fleet import allowed_requests
from tests.support.fleet import Deployment
from tests.support.fleet import DEPLOYMENTS
from tests.support.fleet import Fleet
from tests.support.fleet import LIMITED
from tests.support.fleet import regions_of
from tests.support.fleet import registration_of
from tests.support.fleet import SERVICE
from tests.support.fleet import WINDOW_S

if TYPE_CHECKING:
    from collections.abc import Callable

COLD_MS = 10_000.0
LIMIT_PER_S = 4.0
LIMIT_ALLOWED = 16
PLAY_S = 60.0
STEP_S = 0.1
RETRY_MS = 10_000.0
for_every_deployment = pytest.mark.parametrize(
    'deployment', DEPLOYMENTS, ids=str
)


def count_cold_sends(fleet: Fleet) -> int:
    """Return how many requests the cold target gets at once."""
    sent = 0
    for node in fleet.nodes:
        target = node.cluster_view.targets[LIMITED]
        now_ms = node.loop.now_ms()
        target.cold_until_ms = now_ms + COLD_MS
        while node.placer.quotas.may_send(target, now_ms):
            target.on_send(now_ms, '')
            sent += 1
    return sent


def count_limited_sends(fleet: Fleet) -> int:
    """Return how many requests the limited target gets at once."""
    sent = 0
    for node in fleet.nodes:
        target = node.cluster_view.targets[LIMITED]
        now_ms = node.loop.now_ms()
        target.limit.on_answer(NamedLimit(LIMIT_PER_S), now_ms, now_ms)
        while node.placer.quotas.may_send(target, now_ms):
            target.on_send(now_ms, '')
            sent += 1
    return sent


def count_sends_in_the_worst_window(fleet: Fleet, limit_per_s: float) -> int:
    """Return the most requests that the limited target gets in a window.

    Each node sends as soon as it may and hears only its own answers.
    """
    sent_s: list[float] = []
    targets = [
        (node.placer.quotas, node.cluster_view.targets[LIMITED])
        for node in fleet.nodes
    ]
    for _, target in targets:
        now_ms = fleet.loop.now_ms()
        target.limit.on_answer(NamedLimit(limit_per_s), now_ms, now_ms)
    for _ in range(round(PLAY_S / STEP_S)):
        now_ms = fleet.loop.now_ms()
        for quotas, target in targets:
            if quotas.may_send(target, now_ms):
                target.on_send(now_ms, '')
                target.limit.on_answer(NamedLimit(limit_per_s), now_ms, now_ms)
                sent_s.append(fleet.loop.time())
        fleet.loop.run_until_complete(asyncio.sleep(STEP_S))
    return max(
        sum(begin_s <= time_s < begin_s + WINDOW_S for time_s in sent_s)
        for begin_s in sent_s
    )


@for_every_deployment
@pytest.mark.parametrize('limit_per_s', [0.0, 0.2, 2.5])
def test_nodes_that_do_not_hear_each_other_keep_a_named_limit(
    deployment: Deployment, limit_per_s: float
) -> None:
    fleet = Fleet.of(deployment)
    sends = count_sends_in_the_worst_window(fleet, limit_per_s)
    assert sends <= allowed_requests(limit_per_s)


@for_every_deployment
def test_quotas_of_all_nodes_sum_to_no_more_than_the_limits(
    deployment: Deployment,
) -> None:
    cold_sends = count_cold_sends(Fleet.of(deployment))
    assert 1 <= cold_sends <= deployment.cold_allowed_per_s
    limited_sends = count_limited_sends(Fleet.of(deployment))
    assert 1 <= limited_sends <= LIMIT_ALLOWED


@pytest.mark.parametrize('max_connections', [330, 390, 1290, 3600])
@for_every_deployment
def test_connections_of_all_nodes_sum_to_no_more_than_a_target_accepts(
    deployment: Deployment, max_connections: int
) -> None:
    fleet = Fleet.of(replace(deployment, max_connections=max_connections))
    connections = [
        node.placer.quotas.max_connections_per_target(SERVICE)
        for node in fleet.nodes
    ]
    assert (
        max_connections - deployment.nodes
        <= sum(connections)
        <= max_connections
    )
    assert min(connections) >= 1


@for_every_deployment
def test_retries_of_all_nodes_sum_to_no_more_than_the_slack(
    deployment: Deployment,
) -> None:
    spent = 0
    for node in Fleet.of(deployment).nodes:
        budget = SharedRetryBudget(0.0, deployment.retry_slack, RETRY_MS)
        part = node.placer.quotas.even_part()
        while budget.try_spend(node.loop.now_ms(), part):
            spent += 1
    assert spent <= deployment.retry_slack


@for_every_deployment
@pytest.mark.parametrize('after_ms', [100.0, 30_000.0])
def test_quotas_count_nodes_whose_entries_have_lapsed_but_that_still_send(
    deployment: Deployment, after_ms: float
) -> None:
    fleet = Fleet.of(deployment)
    cut = fleet.nodes[: deployment.nodes // 3]
    for node in fleet.nodes[deployment.nodes // 3 :]:
        for gone in cut:
            node.cluster_view.remove_node(gone.vm, fleet.loop.now_ms())
    fleet.loop.run_until_complete(asyncio.sleep(after_ms / 1_000))
    assert count_cold_sends(fleet) <= deployment.cold_allowed_per_s


@for_every_deployment
def test_quotas_shrink_when_more_nodes_become_known(
    deployment: Deployment,
) -> None:
    fleet = Fleet.of(deployment, know_each_other=False)
    for node in fleet.nodes:
        target = node.cluster_view.targets[LIMITED]
        target.cold_until_ms = node.loop.now_ms() + COLD_MS
        node.placer.quotas.may_send(target, node.loop.now_ms())
        for other in fleet.nodes:
            node.cluster_view.put_node(registration_of(other))
    assert count_cold_sends(fleet) <= deployment.cold_allowed_per_s


@for_every_deployment
def test_nodes_that_the_store_does_not_list_take_no_parts(
    deployment: Deployment,
) -> None:
    fleet = Fleet.of(deployment)
    unlisted = fleet.nodes[: deployment.nodes // 2]
    for node in fleet.nodes:
        members = node.cluster_view.members
        for other in unlisted:
            for source in MemberSource:
                members.on_entry_gone(other.vm, float('-inf'), source)
    assert not any(node.placer.quotas.even_part() for node in unlisted)
    assert count_cold_sends(fleet) <= deployment.cold_allowed_per_s
    assert count_limited_sends(fleet) <= LIMIT_ALLOWED
    parts = [node.placer.quotas.even_part() for node in fleet.nodes]
    assert sum(parts) <= 1 + 1e-9


@pytest.mark.parametrize(
    ('count_sends', 'window_ms'),
    [
        (count_cold_sends, COLD_WINDOW_MS),
        (count_limited_sends, LIMIT_WINDOW_MS),
    ],
)
def test_nodes_that_have_just_started_take_no_parts_for_a_window(
    count_sends: Callable[[Fleet], int], window_ms: float
) -> None:
    fleet = Fleet(7, regions_of(6), running_ms=0.0)
    assert not count_sends(fleet)
    fleet.loop.run_until_complete(asyncio.sleep(window_ms / 1_000))
    assert count_sends(fleet)


@pytest.mark.parametrize(
    ('sources', 'certain_ms'),
    [
        ((MemberSource.NODE,), MEMORY_MS),
        ((MemberSource.NODE, MemberSource.LASTING), LEASE_MS - RENEWAL_MS),
    ],
)
def test_node_cut_off_for_longer_than_its_entry_lasts_takes_no_parts(
    sources: tuple[MemberSource, ...], certain_ms: float
) -> None:
    fleet = Fleet(7, regions_of(6))
    for node in fleet.nodes:
        for source in set(MemberSource) - set(sources):
            members = node.cluster_view.members
            members.on_entry_gone(node.vm, fleet.loop.now_ms(), source)
    fleet.loop.run_until_complete(asyncio.sleep(certain_ms / 1_000 - 1))
    assert all(node.placer.quotas.even_part() for node in fleet.nodes)
    fleet.loop.run_until_complete(asyncio.sleep(1))
    assert not any(node.placer.quotas.even_part() for node in fleet.nodes)
    assert not count_cold_sends(fleet)
    assert not count_limited_sends(fleet)


def test_target_whose_entry_was_gone_for_a_moment_gets_no_second_quota() -> (
    None
):
    deployment = DEPLOYMENTS[0]
    fleet = Fleet.of(deployment)
    cold_sends = count_cold_sends(fleet)
    limited_sends = count_limited_sends(fleet)
    for node in fleet.nodes:
        entry = node.cluster_view.targets[LIMITED].registration
        node.cluster_view.remove_target(LIMITED, node.loop.now_ms())
        node.put_target(LIMITED)
        assert node.cluster_view.targets[LIMITED].registration == entry
    assert fleet.nodes[0].cluster_view.limited_target_count == 1
    assert (
        cold_sends + count_cold_sends(fleet) <= deployment.cold_allowed_per_s
    )
    assert limited_sends + count_limited_sends(fleet) <= LIMIT_ALLOWED


def test_target_that_has_started_again_knows_no_limit() -> None:
    fleet = Fleet(7, regions_of(6))
    count_limited_sends(fleet)
    view = fleet.nodes[0].cluster_view
    view.remove_target(LIMITED, fleet.loop.now_ms())
    fleet.nodes[0].put_target(LIMITED, born_ms=2)
    assert not view.limited_target_count
