"""Connections between nodes on the platform.

A node imports this module only after it has begun to serve callers, because
it needs no peers for that.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianbank.steering.mesh import Mesh
from gentianbank.steering.news import NewsExchange
from gentianbank.transport.handshake import Credentials
from gentianbank.transport.peers import WebsocketPeers

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.control.messages import Message
    from gentianbank.control.peers import PeerEvent
    from gentianbank.domain.registration import NodeRegistration
    from gentianbank.steering.beliefs import Beliefs
    from gentianbank.steering.store_sync import StoreSync


async def run_mesh(
    me: NodeRegistration,
    beliefs: Beliefs,
    sync: StoreSync,
    clock: Callable[[], float],
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

    Raises
    ------
    OSError
        If the address for peers cannot be bound.
    """

    def address_of(vm: str) -> str | None:
        node = beliefs.nodes.get(vm)
        return node.peers if node else None

    def key_of(vm: str) -> bytes | None:
        node = beliefs.nodes.get(vm)
        return node.peer_key.encode() if node else None

    def dispatch_event(event: PeerEvent) -> None:
        mesh.on_event(event)

    async def answer(vm: str, message: Message) -> None:
        """Ignore requests: nodes on the platform only exchange events."""

    peers = WebsocketPeers(
        Credentials(me.vm, me.peer_key.encode()),
        me.peers,
        dispatch_event,
        answer,
        address_of,
        key_of,
    )
    mesh = Mesh(
        vm=me.vm,
        region=me.region,
        beliefs=beliefs,
        peers=peers,
        news=NewsExchange(sync, peers, clock),
        clock=clock,
    )
    await peers.start()
    try:
        await mesh.run()
    finally:
        await peers.close()
