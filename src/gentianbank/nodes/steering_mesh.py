"""Connections between nodes on the platform.

A node imports this module only after it has begun to serve callers, because
it needs no peers for that.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianbank.steering.load_gossip import LoadGossip
from gentianbank.steering.store_catch_up import StoreCatchUp
from gentianbank.transport.handshake import Credentials
from gentianbank.transport.peers import WebsocketPeers

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.control.messages import Message
    from gentianbank.control.peers import PeerEvent
    from gentianbank.domain.registration import NodeRegistration
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.steering.store_sync import StoreSync


async def run_mesh(
    me: NodeRegistration,
    cluster_view: ClusterView,
    sync: StoreSync,
    clock: Callable[[], float],
    max_unauthenticated: int,
) -> None:
    """Exchange load reports and store changes with peers until cancelled.

    Parameters
    ----------
    me
        Registration of this node.
    sync
        Replica of the store that this node holds.
    clock
        Returns the monotonic time in milliseconds.
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
    load_gossip = LoadGossip(
        vm=me.vm,
        region=me.region,
        cluster_view=cluster_view,
        peers=peers,
        store_catch_up=StoreCatchUp(sync, peers, clock),
        clock=clock,
    )
    await peers.start()
    try:
        await load_gossip.run()
    finally:
        await peers.close()
