"""Shares at one node, from its counts and those of its peers."""

from __future__ import annotations

from gentianbank.policy.fair_shares.counts import NodeCounts
from gentianbank.policy.fair_shares.division import Asked
from gentianbank.policy.fair_shares.division import ClassKey
from gentianbank.policy.fair_shares.service_shares import MAX_REPORT_AGE_MS
from gentianbank.policy.fair_shares.service_shares import ServiceShares
from gentianbank.policy.fair_shares.service_shares import Surroundings

HOT = ClassKey('hot', 1, 1)
SMALL = ClassKey('small', 1, 1)
SHORT = NodeCounts({HOT: Asked(300.0)}, 100.0, 50.0, True)
ALONE = Surroundings(0, 0, 1.2)
WITH_PEER = Surroundings(1, 1, 1.2)


def _play_second(
    shares: ServiceShares, second: int, seen: Surroundings, refused: int = 50
) -> int:
    """Ask 200 times for the hot class; return how many are refused."""
    by_share = 0
    for number in range(200):
        if not shares.admits(HOT, returning=False):
            by_share += 1
        elif number >= 200 - refused:
            shares.on_no_room()
        else:
            shares.on_answered()
    shares.step(second * 1_000.0, seen)
    return by_share


def test_nothing_is_refused_while_there_is_room() -> None:
    shares = ServiceShares('vm-1', 0.0)
    for second in range(1, 10):
        assert not _play_second(shares, second, ALONE, refused=0)
    assert shares.report(9_000.0) is None
    assert not shares.shares


def test_short_service_is_shared_after_two_windows() -> None:
    shares = ServiceShares('vm-1', 0.0)
    refused = [_play_second(shares, second, ALONE) for second in (1, 2, 3)]
    assert refused[:2] == [0, 0]
    assert refused[2] > 0
    assert shares.report(3_000.0) is not None


def test_nothing_is_refused_until_the_peers_report() -> None:
    # The counts of one node would be taken for those of the fleet.
    shares = ServiceShares('vm-1', 0.0)
    for second in range(1, 6):
        assert not _play_second(shares, second, WITH_PEER)
    shares.on_report('vm-2', SHORT, 5_100.0)
    assert not _play_second(shares, 6, WITH_PEER)
    assert _play_second(shares, 7, WITH_PEER)


def test_node_reports_when_a_peer_is_short() -> None:
    shares = ServiceShares('vm-1', 0.0)
    shares.on_report('vm-2', SHORT, 500.0)
    shares.step(1_000.0, WITH_PEER)
    report = shares.report(1_000.0)
    assert report is not None
    assert not report.is_short


def test_old_reports_are_not_used() -> None:
    shares = ServiceShares('vm-1', 0.0)
    shares.on_report('vm-2', SHORT, 0.0)
    shares.step(1_000.0, WITH_PEER)
    assert HOT in shares.shares
    shares.step(MAX_REPORT_AGE_MS + 1.0, WITH_PEER)
    assert not shares.shares


def test_share_tells_what_it_rests_on() -> None:
    shares = ServiceShares('vm-1', 0.0)
    shares.on_report('vm-2', SHORT, 500.0)
    shares.step(1_000.0, WITH_PEER)
    share = shares.shares[HOT]
    assert share.counted_ms == 500.0
    assert share.asked_per_s == 300.0
    assert share.share_per_s == share.room_per_s == 100.0


def test_small_class_is_admitted_in_full() -> None:
    shares = ServiceShares('vm-1', 0.0)
    for second in range(1, 6):
        for _ in range(5):
            assert shares.admits(SMALL, returning=False)
            shares.on_answered()
        _play_second(shares, second, ALONE)
