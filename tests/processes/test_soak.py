"""A short soak; each seed that ever failed stays here."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import pytest

from gentianbank_standins.soak.attempts import Attempt
from gentianbank_standins.soak.leaving import requests_after_leaving
from gentianbank_standins.soak.limits import exceeded_limits
from gentianbank_standins.soak.limits import overloaded_cold_targets
from gentianbank_standins.soak.main import run_soak
from gentianbank_standins.users_targets import ColdPeriod
from gentianbank_standins.users_targets import Journal
from gentianbank_standins.users_targets import LimitPeriod
from gentianbank_standins.users_targets import TargetEvent

if TYPE_CHECKING:
    from pathlib import Path

DURATION_S = 8.0
LONG_S = 15.0
RESTART_KINDS = (
    'target restarted',
    'target far',
    'node paused',
    'store silent',
    'store cut off',
)
SPOILING_KINDS = ('target reports no number', 'target answers without end')
LEAVING_KINDS = (
    'target says it leaves and ends',
    'target says it leaves and comes back',
    'target says it leaves in an outage',
    'service says it leaves',
)
STORE_KINDS = (
    'store restored',
    'store connections silent',
    'store cut off',
    'node killed',
)
LIMIT_KINDS = ('target limited', 'node stopped', 'store cut off')


@pytest.mark.parametrize('seed', [1])
def test_soak_keeps_the_promises(tmp_path: Path, seed: int) -> None:
    result = run_soak(seed, tmp_path, duration_s=DURATION_S)
    assert result.broken == ()
    assert result.faults
    assert result.seen['200'] > 0


def test_soak_keeps_the_limits_that_targets_name(tmp_path: Path) -> None:
    result = run_soak(2, tmp_path, duration_s=DURATION_S, kinds=LIMIT_KINDS)
    assert result.broken == ()
    assert result.faults['target limited']


@pytest.mark.parametrize('seed', [1])
def test_soak_keeps_the_limit_of_targets_that_start_again(
    tmp_path: Path, seed: int
) -> None:
    # Seed 1: a target that was down for 50 ms closed only idle connections.
    result = run_soak(seed, tmp_path, duration_s=LONG_S, kinds=RESTART_KINDS)
    assert result.broken == ()
    assert result.faults['target restarted']


def test_soak_keeps_the_promises_under_spoiled_answers(tmp_path: Path) -> None:
    result = run_soak(4, tmp_path, duration_s=LONG_S, kinds=SPOILING_KINDS)
    assert result.broken == ()
    assert result.faults.keys() == set(SPOILING_KINDS)


def test_soak_keeps_the_promises_where_the_store_is_restored(
    tmp_path: Path,
) -> None:
    result = run_soak(4, tmp_path, duration_s=LONG_S, kinds=STORE_KINDS)
    assert result.broken == ()
    assert result.faults['store restored']


def test_soak_keeps_refusals_true_where_targets_fail_what_ran(
    tmp_path: Path,
) -> None:
    kinds = ('target fails what ran', 'target rejects')
    result = run_soak(7, tmp_path, duration_s=DURATION_S, kinds=kinds)
    assert result.broken == ()
    assert result.faults['target fails what ran']
    assert result.seen['502'] > 0


def test_soak_sends_nothing_to_targets_that_said_they_leave(
    tmp_path: Path,
) -> None:
    kinds = (*LEAVING_KINDS, 'node paused')
    result = run_soak(8, tmp_path, duration_s=LONG_S, kinds=kinds)
    assert result.broken == ()
    assert result.faults.keys() == set(kinds)


def test_soak_notices_requests_to_a_target_that_said_it_leaves() -> None:
    journal = Journal()
    journal.leaving_said.append(TargetEvent(1.0, 'desk-1', 'c1-1'))
    told = _attempt('c1-1', 1.0, leaving_id='desk-1')
    late = _attempt('c1-2', 3.5)
    journal.arrivals.append(TargetEvent(3.5, 'desk-1', 'c1-2'))
    (line,) = requests_after_leaving(journal, [told, late])
    assert line == (
        'request c1-2 reached desk-1, sent 2.4 s after vm-1/1/0 had passed on '
        'that it leaves'
    )
    for allowed in (
        dataclasses.replace(late, sent_s=3.0),
        dataclasses.replace(late, run='vm-1/1/1'),
        dataclasses.replace(late, run=''),
    ):
        assert not requests_after_leaving(journal, [told, allowed])
    journal.arrivals[0] = TargetEvent(3.5, 'desk-1', 'c1-2', born=2)
    assert not requests_after_leaving(journal, [told, late])


def test_soak_notices_too_many_requests_to_a_cold_target() -> None:
    journal = Journal(cold_periods=[ColdPeriod('desk-1', 11.0, 1.0, 2.0)])
    for number in range(12):
        event = TargetEvent(1.0 + number / 20, 'desk-1', f'r-{number}')
        journal.arrivals.append(event)
        earlier = TargetEvent(0.5, 'desk-1', f'e-{number}')
        journal.arrivals.append(earlier)
    (line,) = overloaded_cold_targets(journal)
    assert line == 'desk-1 was cold and got 12 requests in 1 s, 11 allowed'
    journal.arrivals.pop(0)
    assert not overloaded_cold_targets(journal)


def test_soak_notices_a_limit_that_is_exceeded() -> None:
    journal = Journal(limit_periods=[LimitPeriod('desk-1', 2.5, 0.0, 9.0)])
    processes = {}
    for number in range(90):
        event = TargetEvent(number / 10, 'desk-1', f'r-{number}')
        journal.arrivals.append(event)
        journal.limits_named.append(event)
        processes[event.request_id] = 'vm-1/1'
    (line,) = exceeded_limits(journal, processes)
    assert 'desk-1 named a limit of 2.5 a second and got 40' in line
    assert not exceeded_limits(journal, {})


def _attempt(name: str, sent_s: float, leaving_id: str = '') -> Attempt:
    return Attempt(
        request_id=name,
        process='vm-1/1',
        once=False,
        sent_s=sent_s,
        took_s=0.1,
        timeout_s=1.5,
        status=200,
        whole=True,
        reached=True,
        disturbed=False,
        run='vm-1/1/0',
        leaving_id=leaving_id,
    )
