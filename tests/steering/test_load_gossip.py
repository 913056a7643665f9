"""Tests of the gossip of loads between nodes."""

from __future__ import annotations

from dataclasses import replace

import pytest

from gentianbank.control.peers import Received
from gentianbank.domain.load_report import LoadReport
from gentianbank.policy.gossip_schedule import GossipSchedule
from gentianbank.policy.gossip_schedule import MIN_SILENCE_MS
from gentianbank.policy.gossip_schedule import REMOTE_REGION_TICKS
from gentianbank.steering.load_gossip import choose_peers
from gentianbank.steering.load_gossip import MAX_PEERS
from gentianbank.steering.load_update import LoadUpdate
from tests.support.gossip_hub import entry
from tests.support.gossip_hub import Hub
from tests.support.gossip_hub import Node
from tests.support.gossip_hub import TICK_MS
from tests.support.steering import registration

FLEET_TIME_MS = 12_000.0


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


def test_peer_of_which_a_long_message_arrives_is_not_silent(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Its heartbeats wait behind the message, which takes seconds on a slow
    # link; the message was lost with the connection.
    hub = Hub('vm-1', 'vm-2')
    hub.nodes['vm-1'].peers.receiving = frozenset(('vm-2',))
    hub.nodes['vm-2'].peers.receiving = frozenset(('vm-1',))
    hub.cut = {'vm-2'}
    hub.advance_ms(10_000.0)
    assert 'peer is silent' not in caplog.text
    hub.nodes['vm-1'].peers.receiving = frozenset()
    hub.advance_ms(2_000.0)
    assert 'peer is silent' in caplog.text


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


def test_required_peers_are_dialled_in_a_large_fleet_too() -> None:
    nodes = [entry(f'vm-{number}') for number in range(300)]
    usual = {node.vm for node in choose_peers('vm-7', nodes)}
    required = {'vm-7', next(n.vm for n in nodes if n.vm not in usual)}
    chosen = {node.vm for node in choose_peers('vm-7', nodes, required)}
    assert chosen == usual | required - {'vm-7'}


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
