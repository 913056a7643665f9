"""Tests of the log lines about attempts, refusals and answers."""

from __future__ import annotations

import asyncio
from dataclasses import replace
import logging
from typing import Any
from typing import TYPE_CHECKING

import pytest

from tests.support.steering import Caller
from tests.support.steering import FAILED
from tests.support.steering import LOST
from tests.support.steering import Path
from tests.support.steering import SHED
from tests.support.steering import SILENT
from tests.support.steering import STAMP

if TYPE_CHECKING:
    from tests.support.steering import Script

ORDER = {'path': '/order/1', 'method': 'POST', 'body': b'post'}


def lines(caplog: pytest.LogCaptureFixture, message: str) -> list[Any]:
    return [vars(r) for r in caplog.records if r.message == message]


@pytest.fixture
def log(caplog: pytest.LogCaptureFixture) -> pytest.LogCaptureFixture:
    caplog.set_level(logging.INFO)
    return caplog


def test_answer_is_logged_with_reasons_for_its_target(
    log: pytest.LogCaptureFixture,
) -> None:
    path = Path()
    path.put_table(7)
    path.ask()
    path.ask(request_id='r-2')
    second = lines(log, 'request answered')[1]
    assert second['request'] == 'r-2'
    assert second['outcome'] == 'answered'
    assert (second['version'], second['attempt']) == (7, 1)
    assert (second['warm'], second['took_ms']) == (True, 100)
    assert second['target'] == path.sent_to()[1]


@pytest.mark.parametrize(
    ('script', 'status', 'outcome', 'cause'),
    [
        (LOST, 502, 'broken', 'reset'),
        (SILENT, 504, 'broken', 'no answer in time'),
        (replace(FAILED, headers=(STAMP,)), 500, 'delivered', '500'),
        (SHED, 503, 'rejected', 'the target answered 503'),
    ],
)
def test_failed_order_is_logged_with_its_request_id(
    log: pytest.LogCaptureFixture,
    script: Script,
    status: int,
    outcome: str,
    cause: str,
) -> None:
    path = Path(targets=1)
    path.transport.default = script
    assert path.ask(**ORDER).status == status
    attempt = lines(log, 'attempt failed')[0]
    assert (attempt['request'], attempt['outcome']) == ('r-1', outcome)
    assert cause in attempt['cause']
    if status != 500:
        refused = lines(log, 'request refused')[0]
        assert (refused['request'], refused['status']) == ('r-1', status)
        assert refused['attempts'] == 1


def test_caller_that_leaves_is_reported_with_the_target_it_waited_for(
    log: pytest.LogCaptureFixture,
) -> None:
    path = Path(targets=1)
    path.transport.default = SILENT
    caller = Caller(path.loop)

    async def leave() -> None:
        serving = asyncio.create_task(path.proxy.serve(caller.exchange()))
        await asyncio.sleep(0.2)
        caller.gone.set()
        await serving

    path.run(leave())
    attempt = lines(log, 'attempt failed')[0]
    assert (attempt['target'], attempt['outcome']) == ('desk-1', 'cancelled')
    assert attempt['took_ms'] == 200
    assert lines(log, 'caller left')[0]['held_ms'] == 200


def test_refusal_names_the_busy_targets_and_the_age_of_the_copy(
    log: pytest.LogCaptureFixture,
) -> None:
    path = Path(targets=1)
    path.cluster_view.store_answered_ms = path.loop.now_ms() - 250.0
    path.transport.default = SILENT
    path.ask_many([{'request_id': f'r-{n}'} for n in range(9)])
    busy = [
        line
        for line in lines(log, 'request refused')
        if line['cause'] == 'every target is busy'
    ]
    assert busy[0]['busy'].startswith('desk-1:')
    assert busy[0]['store_age_ms'] == 250
    assert busy[0]['attempts'] == 0
