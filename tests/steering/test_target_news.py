"""Tests of what nodes tell each other of limits and cold targets."""

from __future__ import annotations

import math
import struct

import cbor2
import pytest

from gentianbank.control.messages import decode_message
from gentianbank.control.messages import encode_message
from gentianbank.control.peers import Received
from gentianbank.domain.request_limit import NamedLimit
from gentianbank.domain.request_limit import NoLimit
from gentianbank.policy.target_limit import REPEAT_MS
from gentianbank.steering.load_update import MAX_COLD_LEFT_MS
from tests.support.gossip_hub import entry
from tests.support.gossip_hub import Hub
from tests.support.gossip_hub import Node
from tests.support.gossip_hub import TICK_MS
from tests.support.gossip_hub import update_of_one_target

COLD_MS = 3_000.0


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


def test_cold_time_that_follows_from_an_entry_is_not_told() -> None:
    hub = Hub('vm-1')
    target = hub.nodes['vm-1'].cluster_view.targets['desk-1']
    target.cold_until_ms = hub.now_ms + COLD_MS
    target.on_send(hub.now_ms, '')
    hub.advance_ms(TICK_MS)
    hub.nodes['vm-2'] = Node(hub, 'vm-2')
    for node in hub.nodes.values():
        for name in hub.nodes:
            node.cluster_view.nodes[name] = entry(name)
    hub.advance_ms(2_000.0)
    assert hub.nodes['vm-2'].occupancy(hub) == 1
    assert cold_left_ms(hub, 'vm-2') < 0


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
