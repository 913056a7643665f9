"""When a service is short of room, and how much it has."""

from __future__ import annotations

import pytest

from gentianbank.policy.fair_shares.counts import NodeCounts
from gentianbank.policy.fair_shares.room import GROWTH_PER_S
from gentianbank.policy.fair_shares.room import HOLD_MS
from gentianbank.policy.fair_shares.room import RoomEstimate
from gentianbank.policy.fair_shares.room import ShortageDetector

FULL = NodeCounts({}, 100.0, 20.0, True)
CALM = NodeCounts({}, 100.0, 0.0)


def test_two_windows_with_refusals_at_full_targets_are_short() -> None:
    detector = ShortageDetector()
    assert not detector.observe(FULL, 1.2, was_short=False)
    assert detector.observe(FULL, 1.2, was_short=False)


def test_one_window_with_refusals_is_not_short() -> None:
    detector = ShortageDetector()
    for counts in (FULL, CALM) * 3:
        assert not detector.observe(counts, 1.2, was_short=False)


def test_refusals_for_single_objects_are_not_short() -> None:
    # Both targets of an object are full while the others idle.
    detector = ShortageDetector()
    for _ in range(5):
        assert not detector.observe(FULL, 0.6, was_short=False)


def test_room_is_what_is_answered_while_refusals_go_on() -> None:
    room = RoomEstimate()
    room.step(FULL, 1.0, 0.0)
    assert room.room_per_s == 100.0


def test_room_follows_a_loss_of_targets() -> None:
    room = RoomEstimate()
    room.step(FULL, 1.0, 0.0)
    for second in range(1, 6):
        fewer = NodeCounts({}, 50.0, 20.0, True)
        room.step(fewer, 1.0, second * 1_000.0)
    assert room.room_per_s == pytest.approx(50.0, rel=0.05)


def test_room_grows_while_nothing_is_refused_for_lack_of_it() -> None:
    room = RoomEstimate()
    room.step(FULL, 1.0, 0.0)
    room.step(CALM, 1.0, 1_000.0)
    assert room.room_per_s == pytest.approx(100.0 * (1 + GROWTH_PER_S))


def test_free_slots_end_the_shortage_after_two_windows() -> None:
    # A node that went by one window took what all others left.
    room = RoomEstimate()
    room.step(FULL, 1.0, 0.0)
    room.step(CALM, 0.5, 1_000.0)
    assert room.room_per_s is not None
    room.step(CALM, 0.5, 2_000.0)
    assert room.room_per_s is None


def test_room_does_not_grow_while_queues_fill() -> None:
    room = RoomEstimate()
    room.step(FULL, 1.0, 0.0)
    room.step(CALM, 1.3, 1_000.0)
    assert room.room_per_s == 100.0


def test_shortage_ends_without_further_refusals() -> None:
    room = RoomEstimate()
    room.step(FULL, 1.0, 0.0)
    room.step(CALM, 1.0, HOLD_MS + 1.0)
    assert room.room_per_s is None
    assert not room.is_short(HOLD_MS + 1.0)
