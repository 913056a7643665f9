"""Tests of the request path: answers to callers, requests to targets."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from gentianbank.domain.route_table import SplitPart
from gentianbank.domain.route_table import UnusableRoute
from gentianbank_standins.soak.promises import NOT_RUN_STATUSES
from tests.support.steering import Caller
from tests.support.steering import FAILED
from tests.support.steering import header
from tests.support.steering import LOST
from tests.support.steering import ORDER
from tests.support.steering import ORDER_REQUEST
from tests.support.steering import Path
from tests.support.steering import READ
from tests.support.steering import REFUSED
from tests.support.steering import Script
from tests.support.steering import SHED
from tests.support.steering import SILENT
from tests.support.steering import STAMP


def test_success_is_the_targets_whole_answer() -> None:
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
def test_unusable_answer_is_replaced_by_another_targets(
    fault: Script,
) -> None:
    path = Path()
    path.transport.scripts = {ask_and_get_target_address(path): [fault]}
    reply = path.ask(request_id='r-2')
    assert (reply.status, reply.body) == (200, b'whole')
    assert len(set(path.sent_to())) == 2


@pytest.mark.parametrize('fault', [Script(headers=()), Script(cut=True), LOST])
def test_unusable_answer_of_an_order_is_no_success(fault: Script) -> None:
    path = Path()
    path.transport.default = fault
    reply = path.ask(**ORDER_REQUEST)
    assert reply.status == 502
    assert header(reply.headers, b'server-stamp') == b''


def test_failure_keeps_the_targets_status() -> None:
    path = Path()
    path.transport.default = replace(FAILED, headers=(STAMP,))
    reply = path.ask(**ORDER_REQUEST)
    assert reply.status == 500
    assert header(reply.headers, b'server-stamp') == b'stamp'


def test_request_is_forwarded_unchanged() -> None:
    path = Path()
    path.ask(
        **ORDER_REQUEST | {'path': '/order/1?x=%20y'}, request_id='own-id'
    )
    sent = path.transport.requests[0]
    assert (sent.method, sent.path) == ('POST', b'/order/1?x=%20y')
    assert sent.body == b'two posts'
    assert header(sent.headers, b'request-id') == b'own-id'
    assert header(sent.headers, b'content-length') == b'9'


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    path = Path()
    path.ask(headers={'connection': 'keep-alive, x-own', 'x-own': '1'})
    names = {name for name, _ in path.transport.requests[0].headers}
    assert not names & {b'connection', b'x-own'}


@pytest.mark.parametrize('fault', [LOST, SILENT, FAILED, Script(cut=True)])
def test_order_that_may_have_run_is_not_retried(
    fault: Script,
) -> None:
    path = Path()
    path.transport.default = fault
    reply = path.ask(**ORDER_REQUEST)
    assert len(path.transport.requests) == 1
    assert reply.status not in NOT_RUN_STATUSES


@pytest.mark.parametrize('fault', [SHED, REFUSED])
def test_order_that_did_not_run_is_retried(fault: Script) -> None:
    path = Path()
    first = ask_and_get_target_address(path, **ORDER_REQUEST)
    path.transport.scripts = {first: [fault]}
    reply = path.ask(**ORDER_REQUEST | {'request_id': 'r-2'})
    assert reply.status == 200


def test_refusal_says_not_run_only_when_true() -> None:
    path = Path()
    path.transport.default = SHED
    reply = path.ask(**ORDER_REQUEST)
    assert reply.status == 503
    assert float(header(reply.headers, b'retry-after')) > 0
    path.transport.default = LOST
    assert path.ask(**ORDER_REQUEST).status == 502


@pytest.mark.parametrize('status', [503, 429, 421])
def test_refusal_that_names_no_request_does_not_say_not_run(
    status: int,
) -> None:
    path = Path()
    path.transport.default = replace(SHED, status=status, names_request=False)
    reply = path.ask(**ORDER_REQUEST)
    assert reply.status == 502
    assert len(path.transport.requests) == 1


def test_failure_that_names_no_request_is_not_passed_on() -> None:
    path = Path()
    path.transport.default = replace(
        FAILED, headers=(STAMP,), names_request=False
    )
    reply = path.ask(**ORDER_REQUEST)
    assert reply.status == 502
    assert header(reply.headers, b'server-stamp') == b''


def test_refusal_after_lost_answer_and_rejection_is_502() -> None:
    path = Path()
    first = ask_and_get_target_address(path)
    path.transport.scripts = {first: [LOST]}
    path.transport.default = SHED
    assert path.ask(request_id='r-2').status == 502


def test_request_without_configuration_is_503() -> None:
    path = Path()
    path.cluster_view.table = None
    assert path.ask().status == 503


def test_unknown_route_is_404() -> None:
    assert Path().ask(path='/none/1').status == 404


def test_unusable_route_is_refused_as_not_run() -> None:
    path = Path()
    path.put_table(2, UnusableRoute('/read/hidden/'), READ)
    assert path.ask(path='/read/hidden/1').status == 503
    assert path.ask(path='/read/1').status == 200
    assert len(path.sent_to()) == 1


def test_budget_limits_attempts_of_a_request() -> None:
    path = Path(targets=5)
    path.transport.default = SHED
    path.ask()
    assert len(path.transport.requests) == READ.max_attempts


def test_budget_limits_retries_of_all_requests() -> None:
    path = Path(targets=5, retry_slack=8, retry_ratio=0.1)
    path.transport.default = SHED
    for number in range(40):
        path.ask(request_id=f'r-{number}')
    retries = len(path.transport.requests) - 40
    # At most this node's part of the slack, with four nodes assumed, and a
    # tenth of the requests.
    assert 0 < retries <= 8 / 4 + 0.1 * 40


def test_targets_get_the_time_that_is_left() -> None:
    path = Path()
    first = ask_and_get_target_address(path)
    path.transport.scripts = {first: [replace(LOST, after_s=0.9)]}
    path.ask(request_id='r-2', deadline_ms=1_200)
    lefts = [
        int(header(request.headers, b'deadline-ms'))
        for request in path.transport.requests[1:]
    ]
    assert lefts[0] == 1_200
    assert lefts[1] <= 300


@pytest.mark.parametrize('head', [{}, ORDER_REQUEST])
def test_gone_caller_cancels_the_request_to_the_target(
    head: dict[str, Any],
) -> None:
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
def test_request_always_gets_an_answer(fault: Script) -> None:
    path = Path()
    path.transport.default = fault
    for head in ({}, ORDER_REQUEST):
        assert path.ask(**head).complete


def test_stopping_node_serves_and_closes_connections() -> None:
    path = Path()
    path.stopping = True
    reply = path.ask()
    assert reply.status == 200
    assert header(reply.headers, b'connection') == b'close'


def test_stopping_node_refuses_new_requests_later() -> None:
    path = Path()
    path.proxy.refuse_new_requests()
    assert path.ask().status == 503
    assert not path.transport.requests


def test_request_whose_body_comes_late_in_a_stop_is_not_passed_on() -> None:
    path = Path()
    caller = Caller(path.loop, **ORDER_REQUEST)
    caller.send_parts(b'two ', b'posts')
    caller.part_delay_s = 0.4

    async def serve() -> None:
        task = asyncio.create_task(path.proxy.serve(caller.exchange()))
        await asyncio.sleep(0.5)
        path.proxy.refuse_new_requests()
        await task

    path.run(serve())
    assert caller.reply.status == 503
    assert not path.transport.requests


@pytest.mark.parametrize(
    ('head', 'timeout_ms'), [({}, 1_500), (ORDER_REQUEST, 2_000)]
)
def test_timeout_of_the_route_ends_a_request(
    head: dict[str, Any], timeout_ms: float
) -> None:
    path = Path()
    path.transport.default = SILENT
    began_ms = path.loop.now_ms()
    reply = path.ask(**head, deadline_ms=60_000)
    assert reply.at_ms - began_ms == pytest.approx(timeout_ms, abs=20)
    assert reply.status == 504


def test_route_without_measurements_is_served() -> None:
    path = Path()
    late = replace(
        READ, name='new', prefix='/new/', latency_objective_ms=3_000
    )
    path.put_table(2, READ, ORDER, late)
    reply = path.ask(path='/new/1', deadline_ms=800)
    assert reply.status == 200


def test_config_of_an_older_version_is_ignored() -> None:
    path = Path()
    path.put_table(5, READ)
    path.put_table(4, READ, ORDER)
    assert path.ask(**ORDER_REQUEST).status == 404


def test_split_gives_each_service_its_weight() -> None:
    path = Path(targets=4)
    path.put_target('post-5', service='post')
    parts = (SplitPart('desk', 3), SplitPart('post', 1))
    path.put_table(2, replace(READ, parts=parts))
    for number in range(80):
        path.ask(request_id=f'r-{number}', key=str(number))
    assert path.sent_to().count('post-5') == pytest.approx(20, abs=1)


def test_split_service_without_targets_is_not_replaced() -> None:
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


def test_misdirected_target_is_avoided() -> None:
    path = Path(targets=2)
    misdirected = Script(status=421, headers=(), after_s=0.002)
    first = ask_and_get_target_address(path)
    path.transport.scripts = {first: [misdirected] * 9}
    path.transport.requests.clear()
    for number in range(5):
        assert path.ask(request_id=f'r-{number}').status == 200
    addresses = [request.address for request in path.transport.requests]
    assert addresses.count(first) == 1


@pytest.mark.parametrize('headers', [(), ((b'not-executed', b'1'),)])
def test_target_that_another_one_answers_for_is_avoided_for_a_while(
    headers: tuple[tuple[bytes, bytes], ...],
) -> None:
    path = Path(targets=1)
    path.transport.default = Script(status=421, headers=headers)
    path.ask(**ORDER_REQUEST)
    (target,) = path.cluster_view.targets.values()
    assert target.is_suspect(path.loop.now_ms())


def test_draining_target_gets_nothing() -> None:
    path = Path()
    for name in ('desk-1', 'desk-2'):
        path.put_target(name, draining=True)
    path.ask_many([{'request_id': f'r-{n}', 'key': str(n)} for n in range(4)])
    assert set(path.sent_to()) == {'desk-3'}


def test_doubtful_target_is_used_only_alone() -> None:
    path = Path(targets=2)
    path.cluster_view.mark_target_unconfirmed('desk-1')
    for number in range(6):
        path.ask(request_id=f'r-{number}', key=str(number))
    assert set(path.sent_to()) == {'desk-2'}
    path.cluster_view.remove_target('desk-2', path.loop.now_ms())
    assert path.ask(request_id='r-9').status == 200


def test_cold_target_gets_its_allowance_only() -> None:
    path = Path(targets=1)
    path.put_target('desk-1', cold_left_ms=3_000.0, slots=100)
    heads = [{'request_id': f'r-{n}', 'key': str(n)} for n in range(40)]
    path.ask_many(heads)
    # The allowance of 7 requests per second times 1.5, plus 5, is shared by
    # at least four nodes.
    assert 1 <= len(path.transport.requests) <= 15.5 / 4 + 1


def test_home_regions_exclude_other_targets() -> None:
    path = Path(targets=2)
    path.put_target('desk-3', failure_domain='west-1')
    path.put_table(2, replace(READ, home_regions=frozenset({'west'})))
    for number in range(6):
        path.ask(request_id=f'r-{number}', key=str(number))
    assert set(path.sent_to()) == {'desk-3'}


def test_evacuated_targets_get_nothing() -> None:
    path = Path(targets=2)
    path.put_target('desk-3', failure_domain='east-2')
    path.cluster_view.set_evacuated_domains(
        frozenset({'east-1'}), path.loop.now_ms()
    )
    for number in range(6):
        path.ask(request_id=f'r-{number}', key=str(number))
    assert set(path.sent_to()) == {'desk-3'}


def test_evacuated_targets_that_come_back_are_cold() -> None:
    path = Path(targets=1)
    path.cluster_view.set_evacuated_domains(
        frozenset({'east-1'}), path.loop.now_ms()
    )
    path.cluster_view.set_evacuated_domains(frozenset(), path.loop.now_ms())
    target = path.cluster_view.targets['desk-1']
    assert target.is_cold(path.loop.now_ms())


def test_node_serves_without_other_nodes() -> None:
    path = Path(targets=0)
    path.cluster_view.table = None
    assert path.ask().status == 503
    path.put_table()
    path.put_target('desk-1')
    assert path.ask(request_id='r-2').status == 200


def test_body_too_large_is_refused() -> None:
    path = Path()
    reply = path.ask(
        **ORDER_REQUEST | {'headers': {'content-length': '1000001'}}
    )
    assert reply.status == 413
    assert not path.transport.requests


def upload(path: Path, *parts: bytes, **changes: Any) -> Caller:
    """Return a caller that sends a body without a declared length."""
    path.put_table(2, replace(ORDER, large=True))
    headers = {'transfer-encoding': 'chunked'}
    caller = Caller(
        path.loop, path='/order/1', method='POST', headers=headers, **changes
    )
    caller.send_parts(*parts)
    return caller


def test_body_that_stalls_is_given_up_in_time_as_not_run() -> None:
    path = Path()
    caller = upload(path, b'first', b'')
    begin_ms = path.loop.now_ms()
    path.run(path.proxy.serve(caller.exchange()))
    assert caller.reply.status == 408
    assert caller.reply.at_ms - begin_ms == ORDER.timeout_ms
    assert header(caller.reply.headers, b'connection') == b'close'
    assert not path.transport.requests


@pytest.mark.parametrize('parts', [20, 5_000])
def test_body_without_end_is_refused_by_its_size(parts: int) -> None:
    path = Path()
    path.transport.reads_bodies = True
    caller = upload(path, *[b'x' * 60_000] * parts, b'')
    path.run(path.proxy.serve(caller.exchange()))
    assert caller.reply.status == 413
    assert header(caller.reply.headers, b'connection') == b'close'
    assert caller.unread_parts >= parts - 20


def test_gone_caller_is_noticed_after_a_streamed_body() -> None:
    path = Path()
    path.transport.default = SILENT
    caller = upload(path, *[b'x' * 100_000] * 3, b'end')
    path.transport.reads_bodies = True

    async def leave_later() -> None:
        task = asyncio.create_task(path.proxy.serve(caller.exchange()))
        await asyncio.sleep(0.3)
        assert not task.done()
        caller.gone.set()
        await asyncio.sleep(0.01)
        assert task.done()

    path.run(leave_later())
    assert len(path.transport.given_up) == 1


def test_body_too_large_to_hold_is_sent_as_it_comes() -> None:
    path = Path()
    body = b'x' * 300_000
    reply = path.ask(**ORDER_REQUEST | {'body': body})
    assert reply.status == 200
    sent = path.transport.requests[0]
    assert header(sent.headers, b'content-length') == b'300000'


def test_answer_too_large_to_hold_is_passed_on() -> None:
    path = Path()
    path.transport.default = Script(body=b'y' * 2_000_000)
    reply = path.ask()
    assert (reply.status, len(reply.body)) == (200, 2_000_000)


def ask_and_get_target_address(path: Path, /, **head: Any) -> str:
    """Send a request and return the address of its last target."""
    path.ask(**head)
    return path.transport.requests[-1].address


def test_returning_caller_is_served_before_new_ones() -> None:
    path = Path(targets=1)
    path.ask(deadline_ms=3_000)
    path.transport.default = replace(Script(), after_s=0.3)
    # Two requests run and one is queued; new callers are then refused.
    first = [{'request_id': f'a-{n}'} for n in range(5)]
    back = {'request_id': 'b-1', 'deadline_ms': 2_500}
    replies = path.ask_many([*first, back])
    assert [r.status for r in replies[:5]].count(503) >= 1
    assert replies[5].status == 200


def test_busy_region_refuses_what_the_targets_of_an_object_cannot_take() -> (
    None
):
    """Load: a burst on one object while other objects use most slots."""
    path = Path(targets=10)
    others = [{'request_id': f'o-{n}', 'key': str(n)} for n in range(60)]
    burst = [{'request_id': f'r-{n}'} for n in range(8)]
    path.transport.default = replace(Script(), after_s=0.39)

    async def ask_in_turn() -> None:
        callers = [Caller(path.loop, **head) for head in others]
        tasks = [
            asyncio.create_task(path.proxy.serve(caller.exchange()))
            for caller in callers
        ]
        # Shares and loads of the regions are worked out from time to time.
        await asyncio.sleep(0.3)
        late = [Caller(path.loop, **head) for head in burst]
        await asyncio.gather(
            *(path.proxy.serve(caller.exchange()) for caller in late)
        )
        assert sum(caller.reply.status == 503 for caller in late) >= 2
        assert all(
            caller.reply.at_ms - path.loop.now_ms() < 1 for caller in late
        )
        await asyncio.gather(*tasks)

    path.run(ask_in_turn())
