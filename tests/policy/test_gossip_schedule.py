"""Tests of the schedule of the messages between nodes."""

from __future__ import annotations

import pytest

from gentianbank.domain.steering_settings import DEFAULT_MESSAGES_PER_S
from gentianbank.policy.gossip_schedule import GossipSchedule
from gentianbank.policy.gossip_schedule import MIN_SILENCE_MS
from gentianbank.policy.gossip_schedule import REMOTE_REGION_TICKS
from gentianbank.policy.gossip_schedule import TICK_MS

FLEETS = [(0, 0), (2, 4), (8, 16), (11, 22), (25, 51), (100, 200)]


@pytest.mark.parametrize(('near', 'far'), FLEETS)
def test_messages_of_a_node_stay_within_their_limit(
    near: int, far: int
) -> None:
    schedule = GossipSchedule(near, far)
    messages = near + far / REMOTE_REGION_TICKS
    sent_per_s = messages / schedule.tick_ms * 1_000
    assert sent_per_s <= DEFAULT_MESSAGES_PER_S + 1e-9
    assert schedule.tick_ms >= TICK_MS


@pytest.mark.parametrize(('near', 'far'), FLEETS)
def test_peer_is_not_silent_between_two_of_its_messages(
    near: int, far: int
) -> None:
    schedule = GossipSchedule(near, far)
    assert schedule.near_silence_ms >= max(MIN_SILENCE_MS, schedule.tick_ms)
    far_period_ms = REMOTE_REGION_TICKS * schedule.tick_ms
    assert schedule.far_silence_ms >= max(MIN_SILENCE_MS, 2 * far_period_ms)
