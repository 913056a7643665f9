"""Tests of the request path: what callers get, and what targets run."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from gentianbank.domain.route_table import SplitPart
from tests.support.steering import Caller
from tests.support.steering import FAILED
from tests.support.steering import header
from tests.support.steering import LOST
from tests.support.steering import ORDER
from tests.support.steering import Path
from tests.support.steering import READ
from tests.support.steering import REFUSED
from tests.support.steering import Script
from tests.support.steering import SHED
from tests.support.steering import SILENT
from tests.support.steering import STAMP

ORDER_HEAD: dict[str, Any] = {
    'path': '/order/1',
    'method': 'POST',
    'body': b'two posts',
}
PROMISES = (408, 421, 429, 503)


def test_mixed_success_is_the_targets_whole_answer() -> None:
    path = Path()
    path.transport.default = Script(body=b'a price', headers=(STAMP,))
    reply = path.ask()
    assert (reply.status, reply.body) == (200, b'a price')
    assert header(reply.headers, b'server-stamp') == b'stamp'


@pytest.mark.parametrize(
    'fault',
    [
        Script(headers=()),
        Script(cut=True),
        Script(headers=(STAMP, (b'Content-Encoding', b'gzip'))),
        LOST,
    ],
    ids=['no stamp', 'cut', 'encoded', 'lost'],
)
def test_mixed_bad_answer_is_replaced_by_another_targets(
    fault: Script,
) -> None:
    path = Path()
    path.transport.scripts = {path_of_first(path): [fault]}
    reply = path.ask(request_id='r-2')
    assert (reply.status, reply.body) == (200, b'whole')
    assert len(set(path.sent_to())) == 2


@pytest.mark.parametrize('fault', [Script(headers=()), Script(cut=True), LOST])
def test_mixed_bad_answer_of_an_order_is_no_success(fault: Script) -> None:
    path = Path()
    path.transport.default = fault
    reply = path.ask(**ORDER_HEAD)
    assert reply.status == 502
    assert header(reply.headers, b'server-stamp') == b''


def test_mixed_failure_keeps_the_targets_status() -> None:
    path = Path()
    path.transport.default = replace(FAILED, headers=(STAMP,))
    reply = path.ask(**ORDER_HEAD)
    assert reply.status == 500
    assert header(reply.headers, b'server-stamp') == b'stamp'


def test_unasked_request_goes_unchanged() -> None:
    path = Path()
    path.ask(**ORDER_HEAD | {'path': '/order/1?x=%20y'}, request_id='own-id')
    sent = path.transport.requests[0]
    assert (sent.method, sent.path) == ('POST', b'/order/1?x=%20y')
    assert sent.body == b'two posts'
    assert header(sent.headers, b'request-id') == b'own-id'
    assert header(sent.headers, b'content-length') == b'9'


def test_unasked_hop_by_hop_headers_stay() -> None:
    path = Path()
    path.ask(headers={'connection': 'keep-alive, x-own', 'x-own': '1'})
    names = {name for name, _ in path.transport.requests[0].headers}
    assert not names & {b'connection', b'x-own'}


@pytest.mark.parametrize('fault', [LOST, SILENT, FAILED, Script(cut=True)])
def test_twice_order_that_may_have_run_is_not_sent_again(
    fault: Script,
) -> None:
    path = Path()
    path.transport.default = fault
    reply = path.ask(**ORDER_HEAD)
    assert len(path.transport.requests) == 1
    assert reply.status not in PROMISES


@pytest.mark.parametrize('fault', [SHED, REFUSED])
def test_twice_order_that_did_not_run_is_sent_on(fault: Script) -> None:
    path = Path()
    first = path_of_first(path, **ORDER_HEAD)
    path.transport.scripts = {first: [fault]}
    reply = path.ask(**ORDER_HEAD | {'request_id': 'r-2'})
    assert reply.status == 200


def test_refused_says_not_run_only_when_true() -> None:
    path = Path()
    path.transport.default = SHED
    reply = path.ask(**ORDER_HEAD)
    assert reply.status == 503
    assert float(header(reply.headers, b'retry-after')) > 0
    path.transport.default = LOST
    assert path.ask(**ORDER_HEAD).status == 502


def test_refused_after_one_run_and_one_rejection_is_unknown() -> None:
    path = Path()
    first = path_of_first(path)
    path.transport.scripts = {first: [LOST]}
    path.transport.default = SHED
    assert path.ask(request_id='r-2').status == 502


def test_denied_without_configuration_is_503() -> None:
    path = Path()
    path.beliefs.table = None
    assert path.ask().status == 503


def test_denied_unknown_route_is_404() -> None:
    assert Path().ask(path='/none/1').status == 404


def test_budget_limits_attempts_of_a_request() -> None:
    path = Path(targets=5)
    path.transport.default = SHED
    path.ask()
    assert len(path.transport.requests) == READ.max_attempts


def test_budget_limits_repeats_of_all_requests() -> None:
    path = Path(targets=5, retry_slack=8, retry_ratio=0.1)
    path.transport.default = SHED
    for number in range(40):
        path.ask(request_id=f'r-{number}')
    repeats = len(path.transport.requests) - 40
    # At most this node's part of the slack, with four nodes assumed, and a
    # tenth of the requests.
    assert 0 < repeats <= 8 / 4 + 0.1 * 40


def test_budget_targets_get_the_time_that_is_left() -> None:
    path = Path()
    first = path_of_first(path)
    path.transport.scripts = {first: [replace(LOST, after_s=0.9)]}
    path.ask(request_id='r-2', deadline_ms=1_200)
    lefts = [
        int(header(request.headers, b'deadline-ms'))
        for request in path.transport.requests[1:]
    ]
    assert lefts[0] == 1_200
    assert lefts[1] <= 300


@pytest.mark.parametrize('head', [{}, ORDER_HEAD])
def test_gone_caller_ends_the_targets_work(head: dict[str, Any]) -> None:
    path = Path()
    path.transport.default = SILENT
    caller = Caller(path.loop, **head)

    async def leave() -> None:
        task = asyncio.create_task(path.proxy.serve(caller.exchange()))
        await asyncio.sleep(0.2)
        caller.gone.set()
        await asyncio.sleep(0.01)
        assert task.done()

    path.run(leave())
    assert len(path.transport.given_up) == 1
    assert not caller.reply.complete


@pytest.mark.parametrize('fault', [LOST, SILENT, SHED, REFUSED, FAILED])
def test_lost_every_request_gets_an_answer(fault: Script) -> None:
    path = Path()
    path.transport.default = fault
    for head in ({}, ORDER_HEAD):
        assert path.ask(**head).complete


def test_lost_stopping_node_serves_and_asks_to_leave() -> None:
    path = Path()
    path.stopping = True
    reply = path.ask()
    assert reply.status == 200
    assert header(reply.headers, b'connection') == b'close'


def test_lost_late_in_a_stop_new_requests_are_not_begun() -> None:
    path = Path()
    path.proxy.refuse_new()
    assert path.ask().status == 503
    assert not path.transport.requests


@pytest.mark.parametrize(
    ('head', 'timeout_ms'), [({}, 1_500), (ORDER_HEAD, 2_000)]
)
def test_config_timeout_of_the_route_ends_a_request(
    head: dict[str, Any], timeout_ms: float
) -> None:
    path = Path()
    path.transport.default = SILENT
    began_ms = path.loop.now_ms()
    reply = path.ask(**head, deadline_ms=60_000)
    assert reply.at_ms - began_ms == pytest.approx(timeout_ms, abs=20)
    assert reply.status == 504


def test_config_never_measured_route_is_served() -> None:
    path = Path()
    late = replace(READ, name='new', prefix='/new/', goal_ms=3_000)
    path.put_table(2, READ, ORDER, late)
    reply = path.ask(path='/new/1', deadline_ms=800)
    assert reply.status == 200


def test_config_older_version_is_not_taken() -> None:
    path = Path()
    path.put_table(5, READ)
    path.put_table(4, READ, ORDER)
    assert path.ask(**ORDER_HEAD).status == 404


def test_config_split_gives_each_part_its_weight() -> None:
    path = Path(targets=4)
    path.put_target('post-5', service='post')
    parts = (SplitPart('desk', 3), SplitPart('post', 1))
    path.put_table(2, replace(READ, parts=parts))
    for number in range(80):
        path.ask(request_id=f'r-{number}', key=str(number))
    assert path.sent_to().count('post-5') == pytest.approx(20, abs=1)


def test_config_full_part_of_a_split_is_not_moved() -> None:
    path = Path()
    parts = (SplitPart('desk', 1), SplitPart('none', 1))
    path.put_table(2, replace(READ, parts=parts))
    statuses = [path.ask(request_id=f'r-{n}').status for n in range(20)]
    assert statuses.count(503) == 10


def test_route_targets_of_other_services_get_nothing() -> None:
    path = Path(targets=0)
    path.put_target('post-1', service='post')
    assert path.ask().status == 503
    assert not path.transport.requests


def test_route_target_that_moved_is_left() -> None:
    path = Path(targets=2)
    misdirected = Script(status=421, headers=(), after_s=0.002)
    first = path_of_first(path)
    path.transport.scripts = {first: [misdirected] * 9}
    path.transport.requests.clear()
    for number in range(5):
        assert path.ask(request_id=f'r-{number}').status == 200
    addresses = [request.address for request in path.transport.requests]
    assert addresses.count(first) == 1


def test_drain_leaving_target_gets_nothing() -> None:
    path = Path()
    for name in ('desk-1', 'desk-2'):
        path.put_target(name, draining=True)
    path.ask_many([{'request_id': f'r-{n}', 'key': str(n)} for n in range(4)])
    assert set(path.sent_to()) == {'desk-3'}


def test_drain_doubtful_target_is_used_only_alone() -> None:
    path = Path(targets=2)
    path.beliefs.doubt_target('desk-1')
    for number in range(6):
        path.ask(request_id=f'r-{number}', key=str(number))
    assert set(path.sent_to()) == {'desk-2'}
    path.beliefs.drop_target('desk-2')
    assert path.ask(request_id='r-9').status == 200


def test_failback_cold_target_gets_its_allowance_only() -> None:
    path = Path(targets=1)
    path.put_target('desk-1', cold_left_ms=3_000.0, slots=100)
    heads = [{'request_id': f'r-{n}', 'key': str(n)} for n in range(40)]
    path.ask_many(heads)
    # 7 requests a second times 1.5, plus 5, shared by at least four nodes.
    assert 1 <= len(path.transport.requests) <= 15.5 / 4 + 1


def test_home_targets_of_other_regions_get_nothing() -> None:
    path = Path(targets=2)
    path.put_target('desk-3', failure_domain='west-1')
    path.put_table(2, replace(READ, home_regions=frozenset({'west'})))
    for number in range(6):
        path.ask(request_id=f'r-{number}', key=str(number))
    assert set(path.sent_to()) == {'desk-3'}


def test_evac_targets_of_the_domain_get_nothing() -> None:
    path = Path(targets=2)
    path.put_target('desk-3', failure_domain='east-2')
    path.beliefs.evacuate(frozenset({'east-1'}), path.loop.now_ms())
    for number in range(6):
        path.ask(request_id=f'r-{number}', key=str(number))
    assert set(path.sent_to()) == {'desk-3'}


def test_evac_targets_that_come_back_are_cold() -> None:
    path = Path(targets=1)
    path.beliefs.evacuate(frozenset({'east-1'}), path.loop.now_ms())
    path.beliefs.evacuate(frozenset(), path.loop.now_ms())
    target = path.beliefs.targets['desk-1']
    assert target.is_cold(path.loop.now_ms())


def test_recover_first_request_needs_no_other_node() -> None:
    path = Path(targets=0)
    path.beliefs.table = None
    assert path.ask().status == 503
    path.put_table()
    path.put_target('desk-1')
    assert path.ask(request_id='r-2').status == 200


def test_body_too_large_is_refused() -> None:
    path = Path()
    reply = path.ask(**ORDER_HEAD | {'headers': {'content-length': '1000001'}})
    assert reply.status == 413
    assert not path.transport.requests


def test_body_too_large_to_hold_is_sent_as_it_comes() -> None:
    path = Path()
    body = b'x' * 300_000
    reply = path.ask(**ORDER_HEAD | {'body': body})
    assert reply.status == 200
    sent = path.transport.requests[0]
    assert header(sent.headers, b'content-length') == b'300000'


def test_answer_too_large_to_hold_is_passed_on() -> None:
    path = Path()
    path.transport.default = Script(body=b'y' * 2_000_000)
    reply = path.ask()
    assert (reply.status, len(reply.body)) == (200, 2_000_000)


def path_of_first(path: Path, /, **head: Any) -> str:
    """Send a request and return the address of its last target."""
    path.ask(**head)
    return path.transport.requests[-1].address


def test_overload_caller_that_returns_is_served_before_new_ones() -> None:
    path = Path(targets=1)
    path.ask(deadline_ms=3_000)
    path.transport.default = replace(Script(), after_s=0.3)
    # Two requests run and one is queued; new callers are then refused.
    first = [{'request_id': f'a-{n}'} for n in range(5)]
    back = {'request_id': 'b-1', 'deadline_ms': 2_500}
    replies = path.ask_many([*first, back])
    assert [r.status for r in replies[:5]].count(503) >= 1
    assert replies[5].status == 200
