"""Nodes that gossip with each other, without sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Result

from gentianbank.control.messages import decode_message
from gentianbank.control.messages import encode_message
from gentianbank.control.messages import Message
from gentianbank.control.messages import RequestOrReply
from gentianbank.control.peers import Connected
from gentianbank.control.peers import Disconnected
from gentianbank.control.peers import PeerConnections
from gentianbank.control.peers import PeerEvent
from gentianbank.control.peers import PeerUnreachable
from gentianbank.control.peers import Received
from gentianbank.domain.registration import NodeRegistration
from gentianbank.steering.cluster_view import ClusterView
from gentianbank.steering.fair_shares.demand_gossip import DemandGossip
from gentianbank.steering.fair_shares.fair_shares import FairShares
from gentianbank.steering.load_gossip import LoadGossip
from gentianbank.steering.load_update import LoadUpdate
from gentianbank.steering.request_log import RequestLog
from gentianbank.steering.store_following.catch_up import StoreCatchUp
from tests.support.steering import REGIONS
from tests.support.steering import registration

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianbank.domain.request_limit import LimitStatement


TICK_MS = 100.0


class Hub:
    """Connects nodes without delay; messages of cut-off nodes are lost."""

    def __init__(self, *names: str) -> None:
        self.now_ms = 0.0
        self.cut: set[str] = set()
        self.messages = 0
        self.nodes = {name: Node(self, name) for name in names}
        for node in self.nodes.values():
            for name in names:
                node.cluster_view.nodes[name] = entry(name)
        self.advance_ms(TICK_MS)

    def advance_ms(self, duration_ms: float) -> None:
        """Advance the clock tick by tick."""
        for _ in range(round(duration_ms / TICK_MS)):
            self.now_ms += TICK_MS
            for node in self.nodes.values():
                node.load_gossip.tick()

    def deliver(self, vm: str, to: str, event: PeerEvent) -> None:
        """Deliver an event to a node unless one of the two is cut off."""
        if not self.cut & {vm, to}:
            self.messages += 1
            self.nodes[to].load_gossip.on_event(event)


class HubPeers(PeerConnections):
    """Connections of one node."""

    def __init__(self, hub: Hub, vm: str) -> None:
        self._hub = hub
        self._vm = vm
        self.connected: set[str] = set()
        self.receiving: frozenset[str] = frozenset()

    def receiving_from(self) -> frozenset[str]:
        return self.receiving

    def dial(self, vm: str, address: str) -> None:
        if self._hub.cut & {vm, self._vm}:
            return
        self.connected.add(vm)
        self._hub.nodes[vm].peers.connected.add(self._vm)
        self._hub.deliver(vm, self._vm, Connected(vm))
        self._hub.deliver(self._vm, vm, Connected(self._vm))

    def disconnect(self, vm: str) -> None:
        self.connected.discard(vm)
        self._hub.nodes[self._vm].load_gossip.on_event(Disconnected(vm))

    def send(self, vm: str, message: Message) -> None:
        match decode_message(encode_message(message)):
            case Result(tag='ok', ok=decoded):
                self._hub.deliver(self._vm, vm, Received(self._vm, decoded))

    def send_to_each(self, vms: Iterable[str], message: Message) -> None:
        for vm in self.connected & set(vms):
            self.send(vm, message)

    async def request(
        self, vm: str, address: str, message: RequestOrReply, timeout_ms: float
    ) -> Result[RequestOrReply, PeerUnreachable]:
        raise NotImplementedError


def update_of_one_target(**parts: bytes) -> LoadUpdate:
    """Return a message about one request at ``desk-1``."""
    return LoadUpdate(
        targets=b'desk-1',
        in_flight=b'\x01',
        slowdowns=b'\x00',
        objects=b'',
        **parts,
    )


class InertNewsExchange(StoreCatchUp):
    """Exchange of store changes that does nothing."""

    def __init__(self) -> None:
        """Skip the initialization of the base class."""

    def tick(self, connected: Iterable[str]) -> None:
        """Do nothing."""


class Node:
    """The mesh of one node, with two targets."""

    def __init__(self, hub: Hub, vm: str, region: str = 'east') -> None:
        self.cluster_view = ClusterView(dict(REGIONS))
        for name in ('desk-1', 'desk-2'):
            self.cluster_view.put_target(
                registration(name), 0.0, from_first_listing=True
            )
        self.peers = HubPeers(hub, vm)
        self.fair_shares = FairShares(
            vm=vm,
            cluster_view=self.cluster_view,
            log=RequestLog(1_000, lambda: hub.now_ms),
            clock=lambda: hub.now_ms,
        )
        self.load_gossip = LoadGossip(
            vm=vm,
            region=region,
            cluster_view=self.cluster_view,
            peers=self.peers,
            store_catch_up=InertNewsExchange(),
            demand_gossip=DemandGossip(
                self.fair_shares, self.peers, lambda: hub.now_ms
            ),
            clock=lambda: hub.now_ms,
        )

    def send(self, target: str, count: int = 1) -> None:
        for _ in range(count):
            self.cluster_view.targets[target].on_send(0.0, 'read/7')

    def hear_limit(self, hub: Hub, statement: LimitStatement) -> None:
        """Get an answer of ``desk-1`` to a request that was just sent."""
        target = self.cluster_view.targets['desk-1']
        target.on_send(hub.now_ms, '')
        target.limit.on_answer(statement, hub.now_ms, hub.now_ms)
        target.on_end()

    def limit_per_s(self) -> float | None:
        return self.cluster_view.targets['desk-1'].limit.requests_per_s

    def occupancy(self, hub: Hub, target: str = 'desk-1') -> float:
        return self.cluster_view.targets[target].occupancy(hub.now_ms)


def entry(vm: str) -> NodeRegistration:
    return NodeRegistration(
        vm=vm,
        region='east',
        failure_domain='east-1',
        callers='10.0.0.1:1',
        peers='10.0.0.1:2',
    )
