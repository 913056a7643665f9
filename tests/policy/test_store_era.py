"""Tests of the era of the store."""

from __future__ import annotations

from gentianbank.policy.store_era import EraChange
from gentianbank.policy.store_era import StoreEra


def test_store_that_states_no_era_has_era_0() -> None:
    era = StoreEra()
    assert era.on_answer(era.begin_call(), None) is EraChange.NONE
    assert era.current == 0


def test_first_era_that_is_stated_is_no_change() -> None:
    era = StoreEra()
    assert era.on_answer(era.begin_call(), 7) is EraChange.NONE
    assert era.current == 7


def test_higher_era_is_a_rise_whatever_was_asked_before() -> None:
    era = StoreEra()
    early = era.begin_call()
    era.on_answer(era.begin_call(), 1)
    assert era.on_answer(early, 3) is EraChange.ROSE
    assert era.current == 3


def test_answer_to_a_call_from_before_the_rise_is_outdated() -> None:
    era = StoreEra()
    era.on_answer(era.begin_call(), 1)
    early = era.begin_call()
    era.on_answer(era.begin_call(), 2)
    assert era.on_answer(early, 1) is EraChange.OUTDATED
    assert era.current == 2


def test_lower_era_in_a_later_answer_is_taken() -> None:
    era = StoreEra()
    era.on_answer(era.begin_call(), 2)
    assert era.on_answer(era.begin_call(), 1) is EraChange.FELL
    assert era.current == 1


def test_answer_without_an_era_changes_nothing() -> None:
    era = StoreEra()
    era.on_answer(era.begin_call(), 2)
    assert era.on_answer(era.begin_call(), None) is EraChange.NONE
    assert era.current == 2
