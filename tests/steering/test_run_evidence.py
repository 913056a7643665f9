"""Tests of what a node says about whether a request has run."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from gentianbank_standins.soak.promises import NOT_RUN_STATUSES
from tests.support.steering import Caller
from tests.support.steering import FAILED
from tests.support.steering import header
from tests.support.steering import LOST
from tests.support.steering import ORDER_REQUEST
from tests.support.steering import Path
from tests.support.steering import REFUSED
from tests.support.steering import Script
from tests.support.steering import SHED
from tests.support.steering import STAMP


@pytest.mark.parametrize(
    ('script', 'evidence'),
    [
        (REFUSED, 'never-sent'),
        (SHED, 'rejected'),
        (LOST, 'may-have-run'),
    ],
)
def test_refusal_is_logged_with_the_evidence_that_it_rests_on(
    caplog: pytest.LogCaptureFixture, script: Script, evidence: str
) -> None:
    path = Path()
    path.transport.default = script
    with caplog.at_level('INFO'):
        path.ask(**ORDER_REQUEST)
    (line,) = records(caplog, 'request refused')
    assert line['evidence'] == evidence


def test_failure_that_is_passed_on_is_logged_with_its_status(
    caplog: pytest.LogCaptureFixture,
) -> None:
    path = Path()
    path.transport.default = FAILED
    with caplog.at_level('INFO'):
        path.ask(**ORDER_REQUEST)
    (line,) = records(caplog, 'failure passed on')
    assert (line['request'], line['status']) == ('r-1', 500)


@pytest.mark.parametrize('stamped', [True, False])
@pytest.mark.parametrize('status', sorted(NOT_RUN_STATUSES))
def test_order_that_ran_is_never_answered_with_the_targets_promise(
    status: int, stamped: bool
) -> None:
    path = Path()
    headers = (STAMP,) if stamped else ()
    path.transport.default = Script(status=status, headers=headers)
    reply = path.ask(**ORDER_REQUEST)
    assert len(path.transport.requests) == 1
    assert reply.status == 502
    assert header(reply.headers, b'server-stamp') == b''


@pytest.mark.parametrize('status', sorted(NOT_RUN_STATUSES))
def test_read_that_a_target_failed_with_a_promise_is_sent_again(
    status: int,
) -> None:
    path = Path()
    path.ask()
    (first,) = path.transport.requests
    path.transport.scripts = {first.address: [Script(status=status)]}
    assert path.ask(request_id='r-2').status == 200
    path.transport.default = Script(status=status)
    assert path.ask(request_id='r-3').status == 502


@pytest.mark.parametrize(
    'named',
    [
        (b'r-1', b'r-2'),
        (b'r-2', b'r-1'),
        (b'r-1, r-2',),
    ],
    ids=['own first', 'own last', 'in one header'],
)
def test_refusal_that_names_two_requests_does_not_say_not_run(
    named: tuple[bytes, ...],
) -> None:
    path = Path()
    ids = [(b'Request-Id', name) for name in named]
    path.transport.default = replace(
        SHED, headers=(*SHED.headers, *ids), names_request=False
    )
    reply = path.ask(**ORDER_REQUEST)
    assert len(path.transport.requests) == 1
    assert reply.status == 502


def test_refusal_with_an_answer_behind_it_does_not_say_not_run() -> None:
    path = Path()
    path.transport.default = replace(SHED, followed=True)
    reply = path.ask(**ORDER_REQUEST)
    assert len(path.transport.requests) == 1
    assert reply.status == 502


@pytest.mark.parametrize('ids', [(), (b'',), (b'r-1', b'r-2')])
def test_request_without_one_id_is_rejected_and_not_sent(
    ids: tuple[bytes, ...],
) -> None:
    path = Path()
    caller = Caller(path.loop, **ORDER_REQUEST)
    others = [h for h in caller.scope['headers'] if h[0] != b'request-id']
    named = [(b'request-id', name) for name in ids]
    caller.scope['headers'] = others + named
    path.run(path.proxy.serve(caller.exchange()))
    assert caller.reply.status == 400
    assert path.transport.requests == []


def test_success_that_says_not_run_is_sent_only_once() -> None:
    path = Path()
    path.transport.default = Script(headers=(STAMP, (b'not-executed', b'1')))
    reply = path.ask(**ORDER_REQUEST)
    assert len(path.transport.requests) == 1
    assert reply.status == 502


def records(
    caplog: pytest.LogCaptureFixture, message: str
) -> list[dict[str, Any]]:
    return [vars(r) for r in caplog.records if r.getMessage() == message]
