"""Tests of the limits on connections whose callers send requests ahead."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from gentianbank.dataplane.bounded_protocol import REQUEST_BYTES
from gentianbank.dataplane.connection_ledger import BODY_TOO_SLOW
from gentianbank.dataplane.connection_ledger import FRAMING_TOO_LARGE
from gentianbank.dataplane.connection_ledger import HEAD_TOO_SLOW
from gentianbank.dataplane.connection_ledger import IDLE
from gentianbank.dataplane.connection_ledger import MEMORY
from gentianbank.policy.buffer_budget import BufferBudget
from tests.support.pipelines import ahead_node
from tests.support.pipelines import Connection
from tests.support.pipelines import request
from tests.support.pipelines import ScriptedApp
from tests.support.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianbank.dataplane.pipelining import PipeliningProtocol

LONG_S = 3_600.0
BODY = b'b' * 1_000
PART_OF_HEAD = b'GET /read/9 HTTP/1.1\r\nHost: h\r\nX-Long: aaa'


class Play:
    """A connection with its app on a virtual clock."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.app = ScriptedApp()
        self.connection = Connection(loop, self.app, ahead_node())

    @property
    def protocol(self) -> PipeliningProtocol:
        return self.connection.protocol

    def send(self, *requests: bytes) -> None:
        self.connection.receive(b''.join(requests))
        self.connection.settle()

    def finish(self, path: str) -> None:
        self.app.runs[path].result.set_result('answer')
        self.connection.settle()

    def answers(self) -> list[tuple[str, int, bool]]:
        return [
            (answer.path, answer.status, answer.closes)
            for answer in self.connection.answers()
        ]


@pytest.fixture
def play() -> Iterator[Play]:
    loop = VirtualLoop()
    yield Play(loop)
    loop.end()


def test_no_time_limit_passes_while_an_answer_is_owed(play: Play) -> None:
    # The last body waits for "100 Continue", which is sent in its turn.
    upload = request('/read/1', 'Expect: 100-continue', body=BODY)
    for last in (b'', PART_OF_HEAD, upload[: -len(BODY)]):
        other = Play(play.loop)
        other.send(request('/read/0'), last)
        later_s = play.loop.time() + LONG_S
        assert other.protocol.overdue(later_s) is None
        other.finish('/read/0')
        # It begins anew with the answer.
        assert other.protocol.overdue(play.loop.time()) is None


@pytest.mark.parametrize(
    ('last', 'cut'),
    [
        (b'', IDLE),
        (PART_OF_HEAD, HEAD_TOO_SLOW),
        (request('/read/1', body=BODY)[:-1], BODY_TOO_SLOW),
    ],
)
def test_time_limits_are_kept_once_answers_are_sent(
    play: Play, last: bytes, cut: object
) -> None:
    play.send(request('/read/0'), last)
    play.finish('/read/0')
    assert play.protocol.overdue(play.loop.time() + LONG_S) is cut


def test_cut_off_delivers_what_was_passed_on(play: Play) -> None:
    play.send(
        request('/read/0'),
        request('/read/1'),
        request('/order/2'),
        PART_OF_HEAD,
    )
    play.protocol.cut_off(MEMORY)
    play.finish('/read/1')
    assert not play.connection.transport.closing
    play.finish('/read/0')
    assert play.answers() == [('/read/0', 200, False), ('/read/1', 200, True)]
    assert not play.app.runs['/order/2'].begun
    assert play.connection.transport.closing


def test_cut_off_in_a_body_ends_only_that_request(play: Play) -> None:
    upload = request('/read/1', body=BODY)
    play.send(request('/read/0'), upload[:-1])
    play.protocol.cut_off(FRAMING_TOO_LARGE)
    # Would complete the body.
    play.send(upload[-1:], request('/read/2'))
    play.finish('/read/0')
    assert play.answers() == [('/read/0', 200, True)]
    assert '/read/2' not in play.app.runs
    assert not play.app.runs['/read/1'].begun


def test_cut_off_in_a_body_is_answered_if_it_is_next(play: Play) -> None:
    play.send(request('/read/0', body=BODY)[:-1])
    play.protocol.cut_off(FRAMING_TOO_LARGE)
    assert play.answers() == [('', 400, True)]
    assert play.connection.transport.closing


def test_all_requests_of_a_connection_are_counted(play: Play) -> None:
    play.send(
        request('/read/0', body=BODY),
        request('/read/1', body=BODY),
        request('/order/2', body=BODY),
        request('/read/3'),
    )
    held_back = play.protocol.held_budgets[0]
    assert isinstance(held_back, BufferBudget)
    assert held_back.try_take(500)
    play.protocol.update_held()
    held = play.protocol.held
    # The order has not been passed on, and neither has what is behind it.
    assert held.running == 2 * len(BODY) + 500
    assert held.ahead == 3 * REQUEST_BYTES + len(BODY)


def test_caller_that_sends_on_after_a_cut_off_is_not_parsed(
    play: Play,
) -> None:
    play.send(request('/read/0'), b'no request\r\n\r\n')
    play.send(*(request(f'/read/{number}') for number in range(1, 2_000)))
    assert not play.protocol.held.ahead
    assert len(play.app.runs) == 1
    assert play.connection.transport.reading
