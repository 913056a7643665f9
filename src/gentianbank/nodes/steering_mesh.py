"""Connections between nodes on the platform.

A node imports this module only after it has begun to serve callers, because
it needs no peers for that.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from gentianbank.nodes.supervision import keep_running
from gentianbank.steering.fair_shares.demand_gossip import DemandGossip
from gentianbank.steering.load_gossip import LoadGossip
from gentianbank.steering.store_following.catch_up import StoreCatchUp
from gentianbank.steering.store_following.following import StoreFollowing
from gentianbank.transport.handshake import Credentials
from gentianbank.transport.peers import WebsocketPeers

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.control.messages import Message
    from gentianbank.control.peers import PeerEvent
    from gentianbank.domain.registration import NodeRegistration
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.steering.fair_shares.fair_shares import FairShares
    from gentianbank.steering.store_following.store_sync import StoreSync
    from gentianbank.steering.usage_caps.admission import UsageCaps


async def run_mesh(
    me: NodeRegistration,
    cluster_view: ClusterView,
    sync: StoreSync,
    followers_per_region: int,
    usage_caps: UsageCaps,
    fair_shares: FairShares,
    clock: Callable[[], float],
    boot_clock: Callable[[], float],
    messages_per_s: float,
    max_unauthenticated: int,
) -> None:
    """Exchange load reports and store changes with peers until cancelled.

    Parameters
    ----------
    me
        Registration of this node.
    sync
        Replica of the store that this node holds.
    followers_per_region
        Number of nodes that read the store for their region; 0 if each
        node reads for itself.
    clock
        Returns the monotonic time in milliseconds.
    boot_clock
        Returns the time in milliseconds, suspended time counted.
    messages_per_s
        Limit on the gossip of this node to all peers together.
    max_unauthenticated
        Connections that have not proved yet that they are of a peer.

    Raises
    ------
    OSError
        If the address for peers cannot be bound.
    """

    def address_of(vm: str) -> str | None:
        node = cluster_view.nodes.get(vm)
        return node.peers if node else None

    def key_of(vm: str) -> bytes | None:
        node = cluster_view.nodes.get(vm)
        return node.peer_key.encode() if node else None

    def dispatch_event(event: PeerEvent) -> None:
        following.on_event(event)
        if not usage_caps.on_event(event):
            load_gossip.on_event(event)

    async def answer(vm: str, message: Message) -> None:
        """Ignore requests: nodes on the platform only exchange events."""

    peers = WebsocketPeers(
        Credentials(me.vm, me.peer_key.encode()),
        me.peers,
        dispatch_event,
        answer,
        address_of,
        key_of,
        max_unauthenticated,
    )
    following = StoreFollowing(
        me=me,
        cluster_view=cluster_view,
        sync=sync,
        peers=peers,
        followers_per_region=followers_per_region,
        clock=clock,
        boot_clock=boot_clock,
    )
    load_gossip = LoadGossip(
        vm=me.vm,
        region=me.region,
        cluster_view=cluster_view,
        peers=peers,
        store_catch_up=StoreCatchUp(sync, peers, clock),
        demand_gossip=DemandGossip(fair_shares, peers, clock),
        clock=clock,
        required_peers=lambda: following.followers,
        on_tick=usage_caps.start_if_needed,
        messages_per_s=messages_per_s,
    )
    usage_caps.attach(peers)
    await peers.start()
    tasks = []
    if followers_per_region:
        work = keep_running('store following', following.run)
        tasks.append(asyncio.create_task(work))
    try:
        await load_gossip.run()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await peers.close()
