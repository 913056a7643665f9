"""Tests of the loads that other nodes report."""

from __future__ import annotations

import pytest

from gentianbank.domain.load_report import LoadReport
from gentianbank.policy.peer_loads import PeerLoads
from gentianbank.policy.peer_loads import SILENCE_MS
from gentianbank.policy.target_load import TargetLoad
from tests.support.steering import registration

NOW_MS = 50_000.0


def loads(peers: int = 2, heard: int = 2) -> PeerLoads:
    """Return empty loads.

    Parameters
    ----------
    peers
        Number of known nodes besides this one.
    heard
        Number of those that sent a message.
    """
    held = PeerLoads(peers)
    for number in range(heard):
        held.on_heard(f'vm-{number}', NOW_MS)
    return held


def test_total_follows_each_node() -> None:
    held = loads()
    held.put('vm-0', 'desk-1', 3)
    held.put('vm-1', 'desk-1', 2)
    assert held.of('desk-1') == 5
    held.put('vm-0', 'desk-1', 1)
    assert held.of('desk-1') == 3
    held.put('vm-1', 'desk-1', 0)
    assert held.of('desk-1') == 1
    assert held.of('desk-2') == 0


def test_node_that_is_gone_has_nothing_in_flight() -> None:
    held = loads()
    held.put('vm-0', 'desk-1', 3)
    held.put('vm-0', 'desk-2', 1)
    held.put('vm-1', 'desk-1', 2)
    held.forget('vm-0')
    held.peers = 1
    assert (held.of('desk-1'), held.of('desk-2')) == (2, 0)


def test_loads_of_some_stand_for_those_of_all() -> None:
    held = loads(peers=10, heard=8)
    held.put('vm-0', 'desk-1', 4)
    assert held.is_representative
    assert held.of('desk-1') == 5


@pytest.mark.parametrize(
    ('peers', 'heard', 'complete'),
    [(0, 0, False), (10, 6, False), (10, 7, True), (2, 2, True)],
)
def test_loads_are_complete_when_most_nodes_are_heard(
    peers: int, heard: int, complete: bool
) -> None:
    assert loads(peers, heard).is_representative is complete


def test_silent_nodes_are_named() -> None:
    held = loads()
    held.on_heard('vm-1', NOW_MS + SILENCE_MS)
    assert held.silent(NOW_MS + SILENCE_MS + 1) == ['vm-0']


def test_occupancy_counts_what_other_nodes_have_in_flight() -> None:
    held = loads()
    target = TargetLoad(
        registration('desk-1', slots=4), 'east', 0.0, peer_loads=held
    )
    target.on_report(LoadReport(4, 4, 4, 1.0), NOW_MS)
    held.put('vm-0', 'desk-1', 2)
    target.on_send(NOW_MS, 'read/7')
    assert target.occupancy(NOW_MS) == 3
    held.forget('vm-1')
    # Too few nodes are heard, so the target's own load report counts: 8
    # requests, and the one sent since.
    assert target.occupancy(NOW_MS) == 9
