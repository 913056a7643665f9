"""Tests of the gossip of loads between nodes."""

from __future__ import annotations

from dataclasses import replace
import math
import struct
from typing import TYPE_CHECKING

import cbor2
from expression import Result
import pytest

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
from gentianbank.domain.load_report import LoadReport
from gentianbank.domain.registration import NodeRegistration
from gentianbank.domain.request_limit import LimitStatement
from gentianbank.domain.request_limit import NamedLimit
from gentianbank.domain.request_limit import NoLimit
from gentianbank.policy.gossip_schedule import GossipSchedule
from gentianbank.policy.gossip_schedule import MIN_SILENCE_MS
from gentianbank.policy.gossip_schedule import REMOTE_REGION_TICKS
from gentianbank.policy.target_limit import REPEAT_MS
from gentianbank.steering.cluster_view import ClusterView
from gentianbank.steering.load_gossip import choose_peers
from gentianbank.steering.load_gossip import LoadGossip
from gentianbank.steering.load_gossip import MAX_PEERS
from gentianbank.steering.load_update import LoadUpdate
from gentianbank.steering.load_update import MAX_COLD_LEFT_MS
from gentianbank.steering.store_catch_up import StoreCatchUp
from tests.support.steering import REGIONS
from tests.support.steering import registration

if TYPE_CHECKING:
    from collections.abc import Iterable

TICK_MS = 100.0
FLEET_TIME_MS = 12_000.0
COLD_MS = 3_000.0


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
        self.load_gossip = LoadGossip(
            vm=vm,
            region=region,
            cluster_view=self.cluster_view,
            peers=self.peers,
            store_catch_up=InertNewsExchange(),
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


def test_nodes_learn_what_others_have_in_flight() -> None:
    hub = Hub('vm-1', 'vm-2', 'vm-3')
    hub.nodes['vm-1'].send('desk-1', 2)
    hub.nodes['vm-2'].send('desk-1')
    hub.advance_ms(TICK_MS)
    assert [n.occupancy(hub) for n in hub.nodes.values()] == [3, 3, 3]
    hub.nodes['vm-1'].cluster_view.targets['desk-1'].on_end()
    hub.advance_ms(TICK_MS)
    assert hub.nodes['vm-3'].occupancy(hub) == 2
    assert hub.nodes['vm-3'].occupancy(hub, 'desk-2') == 0


def test_joining_node_learns_of_requests_in_flight() -> None:
    hub = Hub('vm-1')
    hub.nodes['vm-1'].send('desk-1', 2)
    hub.advance_ms(1_000.0)
    late = hub.nodes['vm-2'] = Node(hub, 'vm-2')
    for node in hub.nodes.values():
        node.cluster_view.nodes |= {vm: entry(vm) for vm in hub.nodes}
    hub.advance_ms(1_000.0)
    assert late.occupancy(hub) == 2


def test_slowdown_of_a_report_is_sent_once_and_fades() -> None:
    hub = Hub('vm-1', 'vm-2')
    target = hub.nodes['vm-1'].cluster_view.targets['desk-1']
    target.on_send(hub.now_ms, 'read/7')
    target.on_report(LoadReport(1, 0, 2, 2.5), hub.now_ms)
    target.on_end()
    hub.advance_ms(TICK_MS)
    receiver = hub.nodes['vm-2'].cluster_view.targets['desk-1']
    assert round(receiver.slowdown(hub.now_ms), 1) == 2.5
    hub.advance_ms(3_000.0)
    assert receiver.slowdown(hub.now_ms) < 1.2


def test_objects_of_sent_requests_are_warm_for_peers_too() -> None:
    hub = Hub('vm-1', 'vm-2')
    first, second = hub.nodes.values()
    first.send('desk-1')
    target = second.cluster_view.targets['desk-1']
    assert not target.has_warm_object('read/7')
    hub.advance_ms(TICK_MS)
    assert target.has_warm_object('read/7')
    assert not target.has_warm_object('read/8')
    assert not second.cluster_view.targets['desk-2'].has_warm_object('read/7')


def test_malformed_objects_of_a_peer_are_ignored() -> None:
    hub = Hub('vm-1', 'vm-2')
    loads = LoadUpdate(
        targets=b'desk-1\ndesk-9\n\xff',
        in_flight=b'\x01',
        slowdowns=b'',
        objects=b'\x00\x07\x00\x00\x00\x01\x00\x01',
    )
    hub.nodes['vm-1'].load_gossip.on_event(Received('vm-2', loads))
    assert 'desk-9' not in hub.nodes['vm-1'].cluster_view.targets


def test_idle_nodes_send_only_heartbeats() -> None:
    hub = Hub('vm-1', 'vm-2')
    hub.messages = 0
    hub.advance_ms(10_000.0)
    # Each of the two nodes sends one heartbeat every half second.
    assert hub.messages <= 42


def test_silent_peer_is_forgotten_and_found_again(
    caplog: pytest.LogCaptureFixture,
) -> None:
    hub = Hub('vm-1', 'vm-2', 'vm-3')
    hub.nodes['vm-2'].send('desk-1', 4)
    hub.advance_ms(TICK_MS)
    assert hub.nodes['vm-1'].occupancy(hub) == 4
    hub.cut = {'vm-2'}
    hub.advance_ms(MIN_SILENCE_MS + 2_000.0)
    assert hub.nodes['vm-1'].cluster_view.peer_loads.live_count == 1
    assert hub.nodes['vm-1'].occupancy(hub) == 0
    assert 'peer is silent' in caplog.text
    hub.cut = set()
    hub.advance_ms(2_000.0)
    assert hub.nodes['vm-1'].occupancy(hub) == 4


def test_nodes_learn_the_limit_of_a_target_and_its_end() -> None:
    hub = Hub('vm-1', 'vm-2', 'vm-3')
    first, second, third = hub.nodes.values()
    first.hear_limit(hub, NamedLimit(2.5))
    hub.advance_ms(TICK_MS)
    assert [second.limit_per_s(), third.limit_per_s()] == [2.5, 2.5]
    second.hear_limit(hub, NoLimit())
    hub.advance_ms(TICK_MS)
    assert [n.limit_per_s() for n in hub.nodes.values()] == [None] * 3


def test_node_learns_a_limit_from_a_peer_that_did_not_hear_it_itself() -> None:
    hub = Hub('vm-1', 'vm-2', 'vm-3')
    first, second, third = hub.nodes.values()
    first.peers.connected.discard('vm-3')
    first.hear_limit(hub, NamedLimit(2.5))
    hub.advance_ms(3 * TICK_MS)
    assert [second.limit_per_s(), third.limit_per_s()] == [2.5, 2.5]
    third.hear_limit(hub, NoLimit())
    hub.advance_ms(3 * TICK_MS)
    assert first.limit_per_s() is None


def test_limit_that_stays_the_same_is_told_on_to_nodes_far_away() -> None:
    hub = Hub('vm-1', 'vm-2', 'vm-3')
    first, _, third = hub.nodes.values()
    first.peers.connected.discard('vm-3')
    for _ in range(100):
        first.hear_limit(hub, NamedLimit(2.5))
        hub.advance_ms(TICK_MS)
        limit = third.cluster_view.targets['desk-1'].limit
        assert hub.now_ms - limit.heard_ms <= 2 * REPEAT_MS


def test_joining_node_learns_the_limits_of_targets() -> None:
    hub = Hub('vm-1')
    hub.nodes['vm-1'].hear_limit(hub, NamedLimit(2.5))
    hub.advance_ms(5_000.0)
    late = hub.nodes['vm-2'] = Node(hub, 'vm-2')
    for node in hub.nodes.values():
        node.cluster_view.nodes |= {vm: entry(vm) for vm in hub.nodes}
    hub.advance_ms(1_000.0)
    assert late.limit_per_s() == 2.5


def test_limit_that_stays_the_same_is_told_once_a_second() -> None:
    hub = Hub('vm-1', 'vm-2')
    first, second = hub.nodes.values()
    heard_ms = set()
    for _ in range(50):
        first.hear_limit(hub, NamedLimit(2.5))
        hub.advance_ms(TICK_MS)
        limit = second.cluster_view.targets['desk-1'].limit
        heard_ms.add(limit.heard_ms)
    assert 4 <= len(heard_ms) <= 6


@pytest.mark.parametrize(
    'limits',
    [
        struct.pack('>HdI', 0, math.nan, 0),
        struct.pack('>HdI', 0, math.inf, 0),
        struct.pack('>HdI', 7, 2.5, 0),
        struct.pack('>HdI', 0, 2.5, 0)[:-1],
    ],
    ids=['no number', 'infinite', 'unknown target', 'incomplete'],
)
def test_malformed_limits_of_a_peer_are_ignored(limits: bytes) -> None:
    hub = Hub('vm-1', 'vm-2')
    update = update_of_one_target(limits=limits)
    hub.nodes['vm-1'].load_gossip.on_event(Received('vm-2', update))
    assert hub.nodes['vm-1'].limit_per_s() is None


def test_update_of_an_older_node_has_no_limits() -> None:
    kind, values = cbor2.loads(encode_message(update_of_one_target()))
    decoded = decode_message(cbor2.dumps([kind, values[:4]]))
    assert decoded.is_ok()


def cold_left_ms(hub: Hub, vm: str) -> float:
    target = hub.nodes[vm].cluster_view.targets['desk-1']
    return target.cold_until_ms - hub.now_ms


def test_nodes_learn_that_a_target_is_cold_again() -> None:
    hub = Hub('vm-1', 'vm-2', 'vm-3')
    target = hub.nodes['vm-1'].cluster_view.targets['desk-1']
    target.on_restart(hub.now_ms + COLD_MS, hub.now_ms)
    hub.advance_ms(TICK_MS)
    for vm in hub.nodes:
        assert COLD_MS - 3 * TICK_MS <= cold_left_ms(hub, vm) <= COLD_MS


def test_node_learns_of_a_cold_target_from_a_peer_that_was_told() -> None:
    hub = Hub('vm-1', 'vm-2', 'vm-3')
    first, _, third = hub.nodes.values()
    first.peers.disconnect('vm-3')
    third.peers.disconnect('vm-1')
    target = first.cluster_view.targets['desk-1']
    target.on_restart(hub.now_ms + COLD_MS, hub.now_ms)
    hub.advance_ms(3 * TICK_MS)
    assert cold_left_ms(hub, 'vm-3') > 0


def test_cold_target_is_told_on_only_once() -> None:
    hub = Hub('vm-1', 'vm-2')
    target = hub.nodes['vm-1'].cluster_view.targets['desk-1']
    target.on_restart(hub.now_ms + COLD_MS, hub.now_ms)
    hub.advance_ms(3 * TICK_MS)
    for node in hub.nodes.values():
        told = node.cluster_view.targets['desk-1']
        assert told.pop_unsent_cold_ms() is None
        assert 'desk-1' not in node.cluster_view.changed_loads


def test_joining_node_learns_which_targets_are_cold() -> None:
    hub = Hub('vm-1')
    target = hub.nodes['vm-1'].cluster_view.targets['desk-1']
    target.on_restart(hub.now_ms + COLD_MS, hub.now_ms)
    hub.advance_ms(TICK_MS)
    hub.nodes['vm-2'] = Node(hub, 'vm-2')
    for node in hub.nodes.values():
        for name in hub.nodes:
            node.cluster_view.nodes[name] = entry(name)
    hub.advance_ms(2_000.0)
    assert cold_left_ms(hub, 'vm-2') > 0


@pytest.mark.parametrize(
    'colds',
    [struct.pack('>HI', 7, 5_000), struct.pack('>HI', 0, 5_000)[:-1]],
    ids=['unknown target', 'incomplete'],
)
def test_malformed_colds_of_a_peer_are_ignored(colds: bytes) -> None:
    hub = Hub('vm-1', 'vm-2')
    update = update_of_one_target(colds=colds)
    hub.nodes['vm-1'].load_gossip.on_event(Received('vm-2', update))
    assert cold_left_ms(hub, 'vm-1') < 0


def test_time_for_which_a_peer_calls_a_target_cold_is_limited() -> None:
    hub = Hub('vm-1', 'vm-2')
    update = update_of_one_target(colds=struct.pack('>HI', 0, 2**32 - 1))
    hub.nodes['vm-1'].load_gossip.on_event(Received('vm-2', update))
    assert cold_left_ms(hub, 'vm-1') <= MAX_COLD_LEFT_MS


def test_loads_of_unknown_targets_are_ignored() -> None:
    hub = Hub('vm-1', 'vm-2')
    other = hub.nodes['vm-2'].cluster_view
    other.put_target(registration('desk-9'), 0.0, from_first_listing=True)
    hub.nodes['vm-2'].send('desk-9')
    hub.advance_ms(TICK_MS)
    assert 'desk-9' not in hub.nodes['vm-1'].cluster_view.targets
    other.remove_target('desk-9', hub.now_ms)
    hub.advance_ms(TICK_MS)


def test_load_of_a_target_that_is_gone_ends() -> None:
    hub = Hub('vm-1', 'vm-2')
    first, second = hub.nodes.values()
    first.send('desk-1')
    hub.advance_ms(TICK_MS)
    assert second.occupancy(hub) == 1
    target = first.cluster_view.targets['desk-1']
    first.cluster_view.remove_target('desk-1', hub.now_ms)
    target.on_end()
    hub.advance_ms(TICK_MS)
    assert second.occupancy(hub) == 0


def test_one_of_two_nodes_dials_the_other() -> None:
    nodes = [entry('vm-1'), entry('vm-2')]
    assert [n.vm for n in choose_peers('vm-1', nodes)] == ['vm-2']
    assert choose_peers('vm-2', nodes) == []


def test_connections_of_many_nodes_are_bounded() -> None:
    nodes = [entry(f'vm-{number}') for number in range(300)]
    assert len(choose_peers('vm-7', nodes)) == MAX_PEERS


def test_disconnected_peer_is_lost_until_it_reconnects() -> None:
    hub = Hub('vm-1', 'vm-2')
    first = hub.nodes['vm-1']
    first.peers.disconnect('vm-2')
    assert first.cluster_view.disconnected_peers == {'vm-2'}
    hub.advance_ms(1_500.0)
    assert first.cluster_view.disconnected_peers == set()


def test_peers_of_other_regions_get_rarer_but_full_updates() -> None:
    hub = Hub('vm-1', 'vm-2')
    first, second = hub.nodes.values()
    for node in hub.nodes.values():
        far = replace(entry('vm-2'), region='west')
        node.cluster_view.nodes['vm-2'] = far
    hub.advance_ms(TICK_MS * REMOTE_REGION_TICKS)
    hub.messages = 0
    for number in range(REMOTE_REGION_TICKS):
        target = first.cluster_view.targets['desk-1']
        target.on_send(hub.now_ms, f'read/{number}')
        hub.advance_ms(TICK_MS)
    hub.advance_ms(TICK_MS * REMOTE_REGION_TICKS)
    assert second.occupancy(hub) == REMOTE_REGION_TICKS
    known = second.cluster_view.targets['desk-1']
    assert all(known.has_warm_object(f'read/{n}') for n in range(3))
    # One message of the first node every third tick, and the heartbeats of
    # the second.
    assert hub.messages <= 4


def count_losses_of_peers(fleet: int, caplog: pytest.LogCaptureFixture) -> int:
    """Return how often a node of a fleet of three regions lost a peer."""
    hub = Hub()
    names = [f'vm-{number}' for number in range(fleet)]
    regions = ('east', 'west', 'south')
    entries = {
        name: replace(entry(name), region=regions[number % 3])
        for number, name in enumerate(names)
    }
    hub.nodes = {name: Node(hub, name, entries[name].region) for name in names}
    for node in hub.nodes.values():
        node.cluster_view.nodes.update(entries)
    caplog.clear()
    due_ms = dict.fromkeys(names, 0.0)
    while hub.now_ms < FLEET_TIME_MS:
        hub.now_ms += TICK_MS
        for name, node in hub.nodes.items():
            if hub.now_ms >= due_ms[name]:
                node.load_gossip.tick()
                due_ms[name] = hub.now_ms + node.load_gossip.schedule.tick_ms
    return caplog.text.count('peer is silent')


@pytest.mark.parametrize('fleet', [25, 35, 77])
def test_peers_of_a_fleet_stay_connected(
    fleet: int, caplog: pytest.LogCaptureFixture
) -> None:
    """Load: as many nodes as the users have; none fails."""
    assert not count_losses_of_peers(fleet, caplog)


def test_proof_catches_a_silence_shorter_than_the_schedule(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(GossipSchedule, 'far_silence_ms', MIN_SILENCE_MS)
    assert count_losses_of_peers(35, caplog)
