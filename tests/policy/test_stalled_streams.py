"""Tests of which answers are ended when too many are being sent."""

from __future__ import annotations

from gentianbank.policy.stalled_streams import find_stalled
from gentianbank.policy.stalled_streams import MAX_STREAMS
from gentianbank.policy.stalled_streams import STALLED_MS

NOW_MS = 100_000.0


def streams(count: int, **progress_ms: float) -> dict[str, float]:
    reading = {f'reading-{number}': NOW_MS for number in range(count)}
    return reading | progress_ms


def test_nothing_is_ended_while_there_are_few() -> None:
    assert find_stalled(streams(MAX_STREAMS - 1, old=0.0), NOW_MS) is None


def test_stream_without_progress_for_longest_is_ended() -> None:
    found = streams(MAX_STREAMS, older=1_000.0, old=2_000.0)
    assert find_stalled(found, NOW_MS) == 'older'


def test_callers_that_read_are_kept_however_many_they_are() -> None:
    recent_ms = NOW_MS - STALLED_MS + 1
    found = streams(3 * MAX_STREAMS, recent=recent_ms)
    assert find_stalled(found, NOW_MS) is None
