"""Tests of the peer topology."""

from __future__ import annotations

from collections import Counter

import pytest

from gentianbank.policy.topology import FAN_OUT
from gentianbank.policy.topology import LinkPlan
from gentianbank.policy.topology import Peer
from gentianbank.policy.topology import plan_links
from gentianbank.policy.topology import RELAYS_PER_REGION


def plan_fleet(regions: int, nodes: int) -> dict[str, LinkPlan]:
    peers = [
        Peer(f'vm-{r}-{n}', f'region-{r}', f'domain-{r}-{n % 2}')
        for r in range(regions)
        for n in range(nodes)
    ]
    return {peer.vm: plan_links(peer, peers) for peer in peers}


@pytest.mark.parametrize(
    ('regions', 'nodes'), [(1, 1), (3, 2), (3, 7), (2, 60)]
)
def test_plan_connects_the_fleet_with_few_children_per_node(
    regions: int, nodes: int
) -> None:
    plans = plan_fleet(regions, nodes)
    relays = [vm for vm, plan in plans.items() if plan.is_relay]
    assert len(relays) == regions * min(nodes, RELAYS_PER_REGION)
    reached = {min(plans)}
    edges = [(vm, peer) for vm, plan in plans.items() for peer in plan.dial]
    for _ in plans:
        for one, other in edges:
            if one in reached or other in reached:
                reached |= {one, other}
    assert reached == set(plans)
    children = Counter(
        peer
        for vm, plan in plans.items()
        if not plan.is_relay
        for peer in set(plan.dial)
    )
    assert max(children.values(), default=0) <= 3 * FAN_OUT


def test_relays_are_of_two_failure_domains() -> None:
    plans = plan_fleet(1, 9)
    relays = [vm for vm, plan in plans.items() if plan.is_relay]
    domains = {int(vm.rpartition('-')[2]) % 2 for vm in relays}
    assert domains == {0, 1}


def test_nodes_that_lost_a_parent_still_connect() -> None:
    peers = [Peer(f'vm-{n}', 'region', f'domain-{n % 2}') for n in range(6)]
    for lost in peers:
        remaining = [peer for peer in peers if peer is not lost]
        for peer in remaining:
            plan = plan_links(peer, remaining)
            assert lost.vm not in plan.dial
            assert plan.is_relay or len(set(plan.dial)) == RELAYS_PER_REGION
