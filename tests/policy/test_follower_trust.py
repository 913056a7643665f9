"""Tests of what is believed of a follower's word."""

from __future__ import annotations

import pytest

from gentianbank.policy.follower_trust import FollowerTrust
from gentianbank.policy.follower_trust import WINDOW_MS

# The follower's clock is behind by this, and a question takes 2 ms.
OFFSET_MS = 5_000.0
DELAY_MS = 2.0


@pytest.fixture
def trust() -> FollowerTrust:
    """Return the trust in one follower that has answered once."""
    made = FollowerTrust()
    answer(made, 1_000.0)
    return made


def answer(
    trust: FollowerTrust, sent_ms: float, delay_ms: float = DELAY_MS
) -> None:
    trust.on_echo('vm-1', sent_ms + OFFSET_MS - delay_ms, sent_ms)


def test_nothing_is_confirmed_before_an_answer() -> None:
    trust = FollowerTrust()
    assert not trust.knows_clock('vm-1')
    assert trust.confirm('vm-1', 1_000.0) is None
    assert trust.last_confirmed() is None


def test_time_is_converted_to_the_own_clock(trust: FollowerTrust) -> None:
    assert trust.knows_clock('vm-1')
    assert trust.confirm('vm-1', 990.0) == 990.0 + OFFSET_MS - DELAY_MS


def test_delayed_question_never_makes_a_time_later() -> None:
    trust = FollowerTrust()
    answer(trust, 2_000.0, delay_ms=3_000.0)
    assert trust.confirm('vm-1', 2_000.0) == 2_000.0 + OFFSET_MS - 3_000.0
    answer(trust, 3_000.0)
    assert trust.confirm('vm-1', 2_000.0) == 2_000.0 + OFFSET_MS - DELAY_MS


def test_offset_follows_a_drifting_clock(trust: FollowerTrust) -> None:
    for number in range(1, 4):
        sent_ms = 2_000.0 + number * WINDOW_MS
        answer(trust, sent_ms, delay_ms=DELAY_MS + 3.0)
    confirmed_ms = trust.confirm('vm-1', 2_000.0)
    assert confirmed_ms == 2_000.0 + OFFSET_MS - DELAY_MS - 3.0


def test_follower_without_the_store_is_not_trusted(
    trust: FollowerTrust,
) -> None:
    trust.confirm('vm-1', 1_000.0)
    trust.distrust('vm-1')
    assert trust.last_confirmed() is None


def test_follower_that_is_back_starts_anew(trust: FollowerTrust) -> None:
    trust.confirm('vm-1', 1_000.0)
    trust.forget('vm-1')
    assert trust.last_confirmed() is None
    assert trust.confirm('vm-1', 1_000.0) is None


def test_latest_confirmation_counts(trust: FollowerTrust) -> None:
    trust.on_echo('vm-2', 1_000.0, 1_000.0)
    trust.confirm('vm-1', 1_000.0)
    trust.confirm('vm-2', 500.0)
    last = trust.last_confirmed()
    assert last is not None
    assert last[0] == 'vm-1'


def test_known_gap_drops_the_confirmations_of_all(
    trust: FollowerTrust,
) -> None:
    # A follower that lags would otherwise go on confirming an old copy.
    trust.on_echo('vm-2', 1_000.0, 1_000.0)
    trust.confirm('vm-1', 1_000.0)
    trust.confirm('vm-2', 500.0)
    trust.distrust_all()
    assert trust.last_confirmed() is None
