"""Tests of the rule for targets that say that they leave."""

from __future__ import annotations

import pytest

from gentianbank.policy.leaving import LeavingState

UNIX_MS = 1_000_000.0
BORN_MS = 900_000


def leaving_since(now_ms: float) -> LeavingState:
    state = LeavingState(BORN_MS)
    assert state.on_said(now_ms, UNIX_MS)
    return state


def test_target_stays_until_it_says_that_it_leaves() -> None:
    assert not LeavingState().is_active
    assert leaving_since(100).is_active


def test_only_the_first_answer_that_says_so_is_news() -> None:
    state = leaving_since(100)
    assert not state.on_said(200, UNIX_MS)
    assert state.since_ms == 100


@pytest.mark.parametrize('sent_ms', [0.0, 100.0, 150.0, 200.0])
def test_answer_to_a_request_sent_before_the_newest_word_ends_nothing(
    sent_ms: float,
) -> None:
    state = leaving_since(100)
    state.on_said(200, UNIX_MS)
    assert not state.on_not_said(sent_ms)
    assert state.is_active


def test_answer_to_a_later_request_without_the_word_ends_it() -> None:
    state = leaving_since(100)
    assert state.on_not_said(101)
    assert not state.is_active


def test_late_answer_with_the_word_counts_after_the_end() -> None:
    state = leaving_since(100)
    state.on_not_said(101)
    assert state.on_said(300, UNIX_MS)
    assert not state.on_not_said(250)


@pytest.mark.parametrize('born_ms', [0, BORN_MS - 1, BORN_MS])
def test_entry_of_the_same_or_an_earlier_start_ends_nothing(
    born_ms: int,
) -> None:
    state = leaving_since(100)
    assert state.for_entry(born_ms) is state


def test_entry_of_a_start_after_the_word_ends_it() -> None:
    assert not leaving_since(100).for_entry(int(UNIX_MS) + 1).is_active


def test_late_entry_of_the_process_that_said_it_ends_nothing() -> None:
    state = leaving_since(100).for_entry(int(UNIX_MS) - 1)
    assert state.is_active
    assert not state.on_not_said(100)
    assert state.on_not_said(101)


def test_older_entry_after_a_newer_one_does_not_make_that_new_again() -> None:
    newer = LeavingState(BORN_MS).for_entry(BORN_MS + 1)
    newer.on_said(100, UNIX_MS)
    assert newer.for_entry(BORN_MS).for_entry(BORN_MS + 1).is_active
