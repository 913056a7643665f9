"""Tests of what a node keeps in hand, and of booked times."""

from __future__ import annotations

from gentianbank.policy.usage_caps.demand import Bookings
from gentianbank.policy.usage_caps.demand import KEPT_MS
from gentianbank.policy.usage_caps.demand import SmoothedRate
from gentianbank.policy.usage_caps.demand import tokens_to_hold


def test_little_demand_keeps_no_tokens() -> None:
    """Guards against tokens that mostly expire unused."""
    assert tokens_to_hold(1.0, 100.0, 500.0) == 0
    assert tokens_to_hold(50.0, 100.0, 500.0) >= 10


def test_tokens_in_hand_can_be_used_before_they_expire() -> None:
    for per_s in (8.0, 20.0, 100.0, 1_000.0):
        assert tokens_to_hold(per_s, 100.0, 500.0) <= per_s * 0.5 / 2 + 1


def test_rate_follows_the_events() -> None:
    rate = SmoothedRate()
    for step in range(100):
        rate.add(2, step * 20.0)
    assert 90 <= rate.per_s(2_000.0) <= 110
    assert rate.per_s(4_000.0) < 2


def test_refused_callers_are_spread_at_the_rate() -> None:
    """Guards against callers that all come back at once."""
    bookings = Bookings()
    waits = [bookings.book(b'%d' % n, 10.0, 500.0, 0.0) for n in range(3)]
    assert waits == [100.0, 200.0, 300.0]


def test_caller_that_comes_at_its_time_has_priority() -> None:
    bookings = Bookings()
    bookings.book(b'x', 10.0, 500.0, 0.0)
    assert not bookings.is_due(b'x', 50.0)
    assert bookings.is_due(b'x', 100.0)
    assert bookings.due_count(100.0) == 1
    assert bookings.due_count(100.0 + KEPT_MS) == 0


def test_early_caller_is_refused_until_its_time_and_has_no_priority() -> None:
    """Guards against a storm that moves up by asking often."""
    bookings = Bookings()
    bookings.book(b'x', 10.0, 500.0, 0.0)
    assert bookings.is_early(b'x', 50.0)
    assert bookings.book(b'x', 10.0, 500.0, 50.0) == 50.0
    assert not bookings.is_due(b'x', 100.0)
    assert not bookings.is_early(b'x', 100.0)
    assert bookings.due_count(100.0) == 0


def test_wait_beyond_the_caller_is_not_booked() -> None:
    """Guards against times kept for callers that give up."""
    bookings = Bookings()
    assert bookings.book(b'x', 1.0, 500.0, 0.0) == 1_000.0
    assert bookings.is_early(b'x', 500.0)
    assert bookings.due_count(1_000.0) == 0


def test_no_token_is_kept_where_booked_callers_do_not_come_back() -> None:
    """Guards against tokens that expire unused.

    Attempts that have ids of their own are never recognized.
    """
    bookings = Bookings()
    for number in range(100):
        bookings.book(b'%d' % number, 10.0, 500.0, number * 1_000.0)
    assert bookings.due_count(99_100.0) == 1
    assert bookings.kept_tokens(99_100.0) == 0


def test_tokens_are_kept_where_booked_callers_come_back() -> None:
    bookings = Bookings()
    for number in range(200):
        bookings.book(b'x', 10.0, 500.0, number * 1_000.0)
        bookings.remove(b'x')
    for number in range(10):
        bookings.book(b'%d' % number, 100.0, 500.0, 200_000.0)
    assert bookings.kept_tokens(200_200.0) >= 9
