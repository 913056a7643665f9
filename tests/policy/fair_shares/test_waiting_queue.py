"""The short queue of a node, and whether it serves callers better."""

from __future__ import annotations

import pytest

from gentianbank.policy.fair_shares.waiting_queue import longest_wait_ms
from gentianbank.policy.fair_shares.waiting_queue import MAX_WAIT_MS
from gentianbank.policy.fair_shares.waiting_queue import MAX_WAITING
from gentianbank.policy.fair_shares.waiting_queue import Waiting
from gentianbank.policy.fair_shares.waiting_queue import WaitingQueue
from tests.support.queue_load import Arrivals
from tests.support.queue_load import QueueLoad

BOTH = frozenset(('desk-1', 'desk-2'))
SEEDS = range(3)


def _entry(number: int, priority: int = 1, *, is_new: bool = True) -> Waiting:
    return Waiting((priority, 1), is_new, number, BOTH)


def _released(queue: WaitingQueue) -> list[int]:
    numbers = []
    while (entry := queue.release('desk-1')) is not None:
        numbers.append(entry.number)
    return numbers


def test_urgent_ones_go_first_then_returning_ones() -> None:
    queue = WaitingQueue()
    queue.add(_entry(1))
    queue.add(_entry(2, is_new=False))
    queue.add(_entry(3, 0))
    queue.add(_entry(4))
    assert _released(queue) == [3, 2, 1, 4]


def test_request_is_released_only_for_its_own_targets() -> None:
    queue = WaitingQueue()
    queue.add(_entry(1))
    assert queue.release('desk-3') is None
    assert len(queue) == 1


def test_length_follows_what_the_node_has_in_flight() -> None:
    # Nothing else tells the node of a free slot.
    queue = WaitingQueue()
    assert not queue.has_room(BOTH, 0)
    assert queue.has_room(BOTH, 1)
    queue.add(_entry(1))
    assert not queue.has_room(BOTH, 2)
    assert queue.has_room(BOTH, 3)
    assert queue.has_room(frozenset(('desk-9',)), 1)


def test_length_is_bounded() -> None:
    queue = WaitingQueue()
    for number in range(MAX_WAITING):
        queue.add(_entry(number))
    assert not queue.has_room(frozenset(('desk-9',)), 1_000)


@pytest.mark.parametrize(
    ('usable', 'released'), [(set(), 1), ({'desk-3'}, 1), ({'desk-2'}, 0)]
)
def test_requests_without_a_usable_target_are_released(
    usable: set[str], released: int
) -> None:
    queue = WaitingQueue()
    queue.add(_entry(1))
    assert len(queue.release_all_but(usable)) == released
    assert len(queue) == 1 - released


def test_request_that_has_left_is_not_released() -> None:
    queue = WaitingQueue()
    queue.add(_entry(1))
    queue.remove(_entry(1))
    queue.remove(_entry(1))
    assert _released(queue) == []


@pytest.mark.parametrize(
    ('objective_left_ms', 'time_left_ms', 'wait_ms'),
    [
        (400.0, 1_000.0, MAX_WAIT_MS),
        (300.0, 1_000.0, 100.0),
        (400.0, 250.0, 50.0),
        (100.0, 1_000.0, -100.0),
    ],
)
def test_only_those_wait_that_still_meet_their_objective(
    objective_left_ms: float, time_left_ms: float, wait_ms: float
) -> None:
    assert longest_wait_ms(objective_left_ms, time_left_ms, 200.0) == wait_ms


def _gain(arrivals: Arrivals) -> float:
    """Return what callers earn more with a queue, 1 for all in time."""
    gains = [
        QueueLoad(arrivals, seed, queues=True).run().value
        - QueueLoad(arrivals, seed, queues=False).run().value
        for seed in SEEDS
    ]
    return sum(gains) / len(gains)


def test_queue_serves_a_load_within_the_room_better() -> None:
    # Shares keep the load that is let in near the room.
    assert _gain(Arrivals(0.8)) > 0.01
    assert _gain(Arrivals(1.0)) > 0.03
    assert _gain(Arrivals(0.8, burst=0.4)) > 0.01


def test_queue_costs_little_when_the_load_exceeds_the_room() -> None:
    assert _gain(Arrivals(1.5)) > -0.01
    assert _gain(Arrivals(1.3, burst=0.6)) > -0.02
