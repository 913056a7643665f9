"""Tests of the loads that other nodes report."""

from __future__ import annotations

import pytest

from gentianbank.domain.load_report import LoadReport
from gentianbank.policy.peer_loads import PeerLoads
from gentianbank.policy.target_load import TargetLoad
from tests.support.steering import registration

NOW_MS = 50_000.0


def build_loads(peers: int = 2, heard: int = 2) -> PeerLoads:
    """Return empty loads.

    Parameters
    ----------
    peers
        Number of known nodes besides this one.
    heard
        Number of those that sent a message.
    """
    loads = PeerLoads(peers)
    for number in range(heard):
        loads.on_heartbeat(f'vm-{number}', NOW_MS)
    return loads


def test_total_sums_the_loads_of_all_nodes() -> None:
    loads = build_loads()
    loads.set_in_flight('vm-0', 'desk-1', 3)
    loads.set_in_flight('vm-1', 'desk-1', 2)
    assert loads.estimated_in_flight('desk-1') == 5
    loads.set_in_flight('vm-0', 'desk-1', 1)
    assert loads.estimated_in_flight('desk-1') == 3
    loads.set_in_flight('vm-1', 'desk-1', 0)
    assert loads.estimated_in_flight('desk-1') == 1
    assert loads.estimated_in_flight('desk-2') == 0


def test_forgotten_node_has_nothing_in_flight() -> None:
    loads = build_loads()
    loads.set_in_flight('vm-0', 'desk-1', 3)
    loads.set_in_flight('vm-0', 'desk-2', 1)
    loads.set_in_flight('vm-1', 'desk-1', 2)
    loads.remove_node('vm-0')
    loads.peers = 1
    assert (
        loads.estimated_in_flight('desk-1'),
        loads.estimated_in_flight('desk-2'),
    ) == (2, 0)


def test_loads_are_scaled_up_to_all_known_nodes() -> None:
    loads = build_loads(peers=10, heard=8)
    loads.set_in_flight('vm-0', 'desk-1', 4)
    assert loads.is_representative
    assert loads.estimated_in_flight('desk-1') == 5


@pytest.mark.parametrize(
    ('peers', 'heard', 'representative'),
    [(0, 0, False), (10, 6, False), (10, 7, True), (2, 2, True)],
)
def test_loads_are_representative_when_most_nodes_are_heard(
    peers: int, heard: int, representative: bool
) -> None:
    assert build_loads(peers, heard).is_representative is representative


def test_silent_nodes_are_those_without_a_recent_message() -> None:
    loads = build_loads()
    loads.on_heartbeat('vm-1', NOW_MS + 1_500)
    names = ('vm-0', 'vm-1', 'vm-9')
    assert loads.silent_nodes(names, NOW_MS + 1_501, 1_500) == ['vm-0']


def test_occupancy_counts_requests_of_other_nodes() -> None:
    loads = build_loads()
    target = TargetLoad(
        registration('desk-1', slots=4), 'east', 0.0, peer_loads=loads
    )
    target.on_report(LoadReport(4, 4, 4, 1.0), NOW_MS)
    loads.set_in_flight('vm-0', 'desk-1', 2)
    target.on_send(NOW_MS, 'read/7')
    assert target.occupancy(NOW_MS) == 3
    loads.remove_node('vm-1')
    # Too few nodes are heard, so the target's own load report counts: 8
    # requests, and the one sent since.
    assert target.occupancy(NOW_MS) == 9
