"""One node of a fleet over a scripted store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from gentianbank.control.peers import Connected
from gentianbank.control.peers import Disconnected
from gentianbank.control.peers import PeerConnections
from gentianbank.control.peers import Received
from gentianbank.domain.registration import NodeRegistration
from gentianbank.domain.steering_settings import SteeringStore
from gentianbank.platform import keyspace
from gentianbank.policy.fleet_members import MemberSource
from gentianbank.policy.store_followers import StoreRole
from gentianbank.steering.cluster_view import ClusterView
from gentianbank.steering.store_following.catch_up import StoreCatchUp
from gentianbank.steering.store_following.catch_up import StoreChanges
from gentianbank.steering.store_following.catch_up import StoreChangesRequest
from gentianbank.steering.store_following.following import StoreFollowing
from gentianbank.steering.store_following.store_sync import StoreSync
from tests.support.store_log import CALL_S
from tests.support.store_log import NodeStore
from tests.support.store_log import Version

if TYPE_CHECKING:
    from collections.abc import Iterable

    from expression import Result

    from gentianbank.control.messages import Message
    from gentianbank.control.messages import RequestOrReply
    from gentianbank.control.peers import PeerEvent
    from gentianbank.control.peers import PeerUnreachable
    from tests.support.store_fleet import StoreFleet

REGION = 'east'


class FleetPeers(PeerConnections):
    """Connections of one node to all others."""

    def __init__(self, fleet: StoreFleet, vm: str) -> None:
        self._fleet = fleet
        self._vm = vm

    def dial(self, vm: str, address: str) -> None:
        raise NotImplementedError

    def disconnect(self, vm: str) -> None:
        raise NotImplementedError

    def send(self, vm: str, message: Message) -> None:
        self._fleet.send(self._vm, vm, message)

    def send_to_each(self, vms: Iterable[str], message: Message) -> None:
        for vm in vms:
            self.send(vm, message)

    async def request(
        self, vm: str, address: str, message: RequestOrReply, timeout_ms: float
    ) -> Result[RequestOrReply, PeerUnreachable]:
        raise NotImplementedError


class FleetNode:
    """One node: its copy of the store and its part in following."""

    def __init__(
        self, fleet: StoreFleet, vm: str, followers_per_region: int
    ) -> None:
        self.vm = vm
        self.log = fleet.log
        self.awake = asyncio.Event()
        self.awake.set()
        self.store = NodeStore(fleet.log, self.awake)
        self.cluster_view = ClusterView(
            {f'east-{number}': REGION for number in range(4)}
        )
        self.is_alive = True
        # Each VM has started at another time.
        clock_offset_ms = float(sum(vm.encode())) * 1_000
        self.sync = StoreSync(
            vm=vm,
            store=self.store,
            settings=SteeringStore(address='10.0.0.1:1'),
            cluster_view=self.cluster_view,
            grace_ms=2_000.0,
            on_own_entry_gone=self._write_entry,
            clock=fleet.loop.now_ms,
        )
        peers = FleetPeers(fleet, vm)
        self.catch_up = StoreCatchUp(self.sync, peers, fleet.loop.now_ms)
        self.following = StoreFollowing(
            me=registration(vm),
            cluster_view=self.cluster_view,
            sync=self.sync,
            peers=peers,
            followers_per_region=followers_per_region,
            clock=fleet.loop.now_ms,
            boot_clock=lambda: fleet.loop.now_ms() + clock_offset_ms,
        )
        if followers_per_region:
            self.sync.set_observer(self.following)
        self.task = fleet.loop.create_task(self.sync.run())
        self.seen = Version(0, 0)
        self.longest_delay_s = CALL_S
        # Since when this node is awake and can reach the store.
        self.able_since_ms = fleet.loop.now_ms()

    @property
    def is_able(self) -> bool:
        """Return whether this node is awake and can reach the store."""
        is_served = not (
            self.store.fault or self.store.hanging or self.log.is_away
        )
        return self.is_alive and self.awake.is_set() and is_served

    @property
    def role(self) -> StoreRole:
        """Return the role of this node at the store."""
        return StoreRole(self.following.role)

    @property
    def calls(self) -> int:
        """Return the number of calls to the store."""
        return self.store.calls

    @property
    def held(self) -> Version:
        """Return the version of the store that the copy is of."""
        return Version(self.sync.era, self.sync.revision)

    def note_version(self) -> None:
        """Record the version of the copy, which must not go back."""
        if self.log.states_era and self.held.revision:
            assert self.held >= self.seen, (
                f'{self.vm}: copy went back to {self.held} from {self.seen}'
            )
            self.seen = self.held

    def slow_store(self, delay_s: float) -> None:
        """Let the store answer this node late from now on."""
        self.store.delay_s = delay_s
        self.longest_delay_s = max(self.longest_delay_s, delay_s)

    def on_event(self, event: PeerEvent) -> None:
        """Handle an event as the mesh does."""
        lost = self.cluster_view.disconnected_peers
        match event:
            case Connected(vm):
                lost.discard(vm)
            case Disconnected(vm):
                lost.add(vm)
            case Received(vm, StoreChanges() | StoreChangesRequest() as sent):
                self.catch_up.on_message(vm, sent)
        self.following.on_event(event)

    def _write_entry(self, source: MemberSource) -> None:
        """Write the node's entry again if a restore has lost it."""
        if source is MemberSource.NODE and not self.log.is_away:
            self.log.write(
                keyspace.node_key(self.vm),
                keyspace.encode_node(registration(self.vm), 0).value,
            )


def registration(vm: str) -> NodeRegistration:
    """Return the entry of a node."""
    return NodeRegistration(
        vm=vm,
        region=REGION,
        failure_domain='east-1',
        callers='10.0.0.1:1',
        peers='10.0.0.1:2',
        peer_key='0' * 32,
    )
