"""Peer topology: a deterministic tree of nodes in each region.

Every node computes the same tree from the same members. The first two nodes
of a region are its relays: they watch the store and connect to the relays
of the other regions. Every other node connects to two parents. If the views
of two nodes differ, the only effect is an additional connection.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gentianbank.policy import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

RELAYS_PER_REGION = 2
FAN_OUT = 4


@dataclass(frozen=True, slots=True)
class Peer:
    """A node that can be connected to."""

    vm: str
    region: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class LinkPlan:
    """Connections of a node.

    Parameters
    ----------
    dial
        VMs of the nodes that it opens connections to.
    """

    is_relay: bool
    dial: tuple[str, ...]


def plan_links(me: Peer, peers: Iterable[Peer]) -> LinkPlan:
    """Plan the connections of a node.

    Of two relays, the one with the greater VM name opens the connection.

    Parameters
    ----------
    me
        The node itself.
    peers
        Nodes that are assumed to run, with or without the node itself.
    """
    regions: dict[str, list[Peer]] = {me.region: [me]}
    for peer in peers:
        if peer.vm != me.vm:
            regions.setdefault(peer.region, []).append(peer)
    order = order_region(regions[me.region], me.region)
    position = order.index(me.vm)
    if position >= RELAYS_PER_REGION:
        return LinkPlan(False, _parents(order, position))
    dial = [vm for vm in order[:RELAYS_PER_REGION] if vm < me.vm]
    for region, members in regions.items():
        if region != me.region:
            relays = order_region(members, region)[:RELAYS_PER_REGION]
            dial += [vm for vm in relays if vm < me.vm]
    return LinkPlan(True, tuple(dial))


def order_region(members: list[Peer], region: str) -> list[str]:
    """Order the nodes of a region by rendezvous hash, relays first.

    The second relay is in another failure domain than the first if there is
    one.
    """
    domains = {peer.vm: peer.failure_domain for peer in members}
    order = rendezvous.rank_names(domains, region)
    for index in range(1, len(order)):
        if domains[order[index]] != domains[order[0]]:
            order.insert(1, order.pop(index))
            break
    return order


def _parents(order: list[str], position: int) -> tuple[str, ...]:
    """Return the primary and the backup parent of a node.

    Each node is the primary parent of at most ``FAN_OUT`` others, which come
    after it in the order.
    """
    primary = (position - RELAYS_PER_REGION) // FAN_OUT
    backup = primary + 1 if primary + 1 < position else primary - 1
    return (order[primary], order[backup])
