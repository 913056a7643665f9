"""Tests of how many large answers are sent at once."""

from __future__ import annotations

from gentianbank.policy.answer_slots import EndStalled
from gentianbank.policy.answer_slots import find_slot
from gentianbank.policy.answer_slots import MAX_LARGE_ANSWERS
from gentianbank.policy.answer_slots import SlotIsFree
from gentianbank.policy.answer_slots import STALLED_MS
from gentianbank.policy.answer_slots import WaitForSlot

NOW_MS = 100_000.0


def answers(count: int, **progress_ms: float) -> dict[str, float]:
    reading = {f'reading-{number}': NOW_MS for number in range(count)}
    return reading | progress_ms


def test_nothing_is_ended_while_there_are_few() -> None:
    few = answers(MAX_LARGE_ANSWERS - 2, old=0.0)
    assert find_slot(few, NOW_MS) == SlotIsFree()


def test_answer_without_progress_for_longest_is_ended() -> None:
    full = answers(MAX_LARGE_ANSWERS - 2, older=1_000.0, old=2_000.0)
    assert find_slot(full, NOW_MS) == EndStalled('older')


def test_further_answers_wait_while_all_callers_read() -> None:
    recent_ms = NOW_MS - STALLED_MS + 1
    full = answers(MAX_LARGE_ANSWERS - 1, recent=recent_ms)
    assert find_slot(full, NOW_MS) == WaitForSlot(1.0)
    assert find_slot(full, NOW_MS + 1) == EndStalled('recent')
