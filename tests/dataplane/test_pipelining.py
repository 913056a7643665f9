"""Tests of requests that callers send ahead."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from typing import TYPE_CHECKING

import pytest
import uvicorn

from gentianbank.dataplane import bounded_protocol
from gentianbank.dataplane.pipelining import PipeliningProtocol
from gentianbank.dataplane.server import caller_protocol
from gentianbank.dataplane.server import HttpServer
from tests.support.pipelines import ahead_node
from tests.support.pipelines import Connection
from tests.support.pipelines import MAX_PER_CONNECTION
from tests.support.pipelines import request
from tests.support.pipelines import ScriptedApp
from tests.support.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterator

    from gentianbank.dataplane.pipelining import AheadNode

FLOOD = 20_000
# More than is parsed ahead, but not more than sockets buffer: a hang-up comes
# behind the bytes that were sent before it.
SMALL_FLOOD = 4_000
TEST_TIMEOUT_S = 20.0
# More than the sockets buffer, so that a reset loses a part of it.
LARGE_BYTES = 8 << 20
READ_BYTES = 64 << 10


class Play:
    """A connection with its app on a virtual clock."""

    def __init__(self, loop: VirtualLoop, node: AheadNode | None) -> None:
        self.node = node
        self.app = ScriptedApp()
        self.connection = Connection(loop, self.app, node)

    def send(self, *requests: bytes) -> None:
        self.connection.receive(b''.join(requests))
        self.connection.settle()

    def finish(self, path: str, result: str = 'answer') -> None:
        self.app.runs[path].result.set_result(result)
        self.connection.settle()

    def begun(self) -> list[str]:
        return [run.path for run in self.app.runs.values() if run.begun]

    def cancelled(self) -> list[str]:
        return [run.path for run in self.app.runs.values() if run.cancelled]

    def answers(self) -> list[tuple[str, int, bool]]:
        return [
            (answer.path, answer.status, answer.closes)
            for answer in self.connection.answers()
        ]


@contextlib.asynccontextmanager
async def serve(
    app: ScriptedApp,
) -> AsyncIterator[
    tuple[HttpServer, asyncio.StreamReader, asyncio.StreamWriter]
]:
    """Run a server on a loopback address, with a caller's connection."""
    listener = socket.create_server(('127.0.0.1', 0))
    config = uvicorn.Config(
        app,
        http=caller_protocol(ahead_node()),
        ws='none',
        lifespan='off',
        log_config=None,
    )
    server = HttpServer(config)
    serving = asyncio.create_task(server.serve([listener]))
    streams = await asyncio.open_connection(*listener.getsockname())
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield server, *streams
    finally:
        streams[1].close()
        server.should_exit = server.force_exit = True
        await serving


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    made = VirtualLoop()
    yield made
    made.end()


@pytest.fixture
def play(loop: VirtualLoop) -> Play:
    return Play(loop, ahead_node())


def test_reads_run_side_by_side_and_are_answered_in_order(play: Play) -> None:
    play.send(*(request(f'/read/{number}') for number in range(3)))
    assert play.begun() == ['/read/0', '/read/1', '/read/2']
    play.finish('/read/2')
    play.finish('/read/1')
    assert play.answers() == []
    play.finish('/read/0')
    assert play.answers() == [
        (f'/read/{number}', 200, False) for number in range(3)
    ]


def test_order_waits_for_earlier_answers_and_holds_back_later_ones(
    play: Play,
) -> None:
    play.send(request('/read/0'), request('/order/1'), request('/read/2'))
    assert play.begun() == ['/read/0']
    play.finish('/read/0')
    assert play.begun() == ['/read/0', '/order/1']
    play.finish('/order/1')
    assert play.begun() == ['/read/0', '/order/1', '/read/2']


def test_order_that_is_refused_while_it_waits_holds_nothing_back(
    play: Play,
) -> None:
    play.send(request('/read/0'), request('/order/1'), request('/read/2'))
    play.app.runs['/order/1'].expired.set()
    play.connection.settle()
    assert play.begun() == ['/read/0', '/read/2']
    play.finish('/read/2')
    play.finish('/read/0')
    assert [answer[:2] for answer in play.answers()] == [
        ('/read/0', 200),
        ('/order/1', 503),
        ('/read/2', 200),
    ]


def test_caller_that_leaves_ends_all_of_its_requests(play: Play) -> None:
    play.send(*(request(f'/read/{number}') for number in range(3)))
    play.connection.leave()
    play.connection.settle()
    assert play.cancelled() == ['/read/0', '/read/1', '/read/2']
    assert play.node is not None
    assert play.node.count.used == 0


def test_close_comes_after_the_last_request_that_was_passed_on(
    play: Play,
) -> None:
    play.send(
        request('/read/0'),
        request('/read/1'),
        request('/order/2'),
        request('/read/3'),
    )
    play.app.stopping = True
    play.finish('/read/0')
    # Passed on before the connection began to close.
    play.send(request('/read/4'))
    assert play.cancelled() == ['/order/2', '/read/3']
    play.finish('/read/1')
    assert play.answers() == [('/read/0', 200, False), ('/read/1', 200, True)]
    assert play.connection.transport.closing
    assert '/read/4' not in play.app.runs


def test_request_behind_a_close_of_the_caller_is_not_read(play: Play) -> None:
    play.send(
        request('/order/0'),
        request('/read/1', 'Connection: close'),
        request('/read/2'),
    )
    play.finish('/order/0')
    play.finish('/read/1')
    assert play.answers() == [('/order/0', 200, False), ('/read/1', 200, True)]
    assert play.connection.transport.closing
    assert '/read/2' not in play.app.runs


def test_bytes_that_are_no_request_do_not_replace_an_owed_answer(
    play: Play,
) -> None:
    play.send(request('/read/0'), request('/read/1'))
    play.send(b'no request\r\n\r\n')
    play.finish('/read/1')
    play.finish('/read/0')
    assert play.answers() == [('/read/0', 200, False), ('/read/1', 200, True)]
    assert play.connection.transport.closing


def test_bytes_that_are_no_request_are_answered_400(play: Play) -> None:
    play.send(b'no request\r\n\r\n')
    assert play.answers() == [('', 400, True)]


def test_request_behind_one_for_an_upgrade_is_not_read_in_part(
    play: Play,
) -> None:
    play.send(
        request('/read/0', 'Connection: Upgrade', 'Upgrade: h2c'),
        request('/read/1'),
    )
    play.send(request('/read/2'))
    play.finish('/read/0')
    assert play.answers() == [('/read/0', 200, True)]
    assert play.connection.transport.closing


def test_answer_that_ends_early_closes_in_its_turn(play: Play) -> None:
    play.send(*(request(f'/read/{number}') for number in range(3)))
    play.finish('/read/1', 'cut')
    assert not play.connection.transport.closing
    play.finish('/read/0')
    assert play.answers()[0] == ('/read/0', 200, False)
    assert play.connection.transport.closing
    assert play.cancelled() == ['/read/2']


def test_failure_of_the_app_is_answered_in_its_turn(play: Play) -> None:
    play.send(request('/read/0'), request('/read/1'))
    logging.disable(logging.CRITICAL)
    try:
        play.app.runs['/read/1'].result.set_exception(RuntimeError('fault'))
        play.connection.settle()
        assert play.answers() == []
        play.finish('/read/0')
    finally:
        logging.disable(logging.NOTSET)
    assert play.answers() == [('/read/0', 200, False), ('', 500, True)]


def test_100_continue_is_not_sent_within_another_answer(play: Play) -> None:
    upload = request('/read/1', 'Expect: 100-continue', body=b'abcd')
    play.send(request('/read/0'), upload[:-4])
    assert play.connection.transport.written == b''
    play.finish('/read/0')
    written = play.connection.transport.written
    assert written.endswith(b'HTTP/1.1 100 Continue\r\n\r\n')
    play.send(b'abcd')
    assert play.begun() == ['/read/0', '/read/1']


def test_request_behind_an_unfinished_body_is_not_read(play: Play) -> None:
    upload = request('/read/1', body=b'abcd')
    play.send(request('/read/0'), upload[:-2])
    assert play.begun() == ['/read/0']
    play.send(upload[-2:] + request('/read/2'))
    assert play.begun() == ['/read/0', '/read/1', '/read/2']


def test_no_more_requests_begin_than_a_connection_may_have(
    loop: VirtualLoop,
) -> None:
    play = Play(loop, ahead_node(max_per_connection=2))
    play.send(*(request(f'/read/{number}') for number in range(4)))
    assert play.begun() == ['/read/0', '/read/1']
    play.finish('/read/0')
    assert play.begun() == ['/read/0', '/read/1', '/read/2']


def test_limit_of_the_node_leaves_each_connection_one_request(
    loop: VirtualLoop,
) -> None:
    node = ahead_node(max_per_node=1)
    first, second = Play(loop, node), Play(loop, node)
    for play in (first, second):
        play.send(*(request(f'/read/{number}') for number in range(3)))
    assert first.begun() == ['/read/0', '/read/1']
    assert second.begun() == ['/read/0']
    second.finish('/read/0')
    assert second.begun() == ['/read/0', '/read/1']


def test_no_request_begins_while_held_answers_fill_the_memory(
    play: Play,
) -> None:
    play.send(request('/read/0'))
    held = play.connection.protocol.held_budgets[0]
    assert held.try_take(held.limit_bytes)
    play.send(request('/read/1'))
    assert play.begun() == ['/read/0']
    play.finish('/read/0')
    assert play.begun() == ['/read/0', '/read/1']


def test_caller_that_reads_nothing_is_not_read_on(play: Play) -> None:
    play.send(request('/read/0'))
    play.connection.protocol.pause_writing()
    numbers = range(1, FLOOD)
    for start in range(0, FLOOD, FLOOD // 10):
        part = numbers[start : start + FLOOD // 10]
        play.send(*(request(f'/read/{number}') for number in part))
    assert not play.connection.transport.reading
    held_bytes = len(play.connection.protocol._unparsed)
    part_bytes = FLOOD // 10 * len(request(f'/read/{FLOOD}'))
    assert held_bytes < bounded_protocol.MAX_UNPARSED_BYTES + part_bytes
    assert len(play.app.runs) == 1
    play.connection.protocol.resume_writing()
    play.connection.settle()
    assert len(play.begun()) == MAX_PER_CONNECTION


def test_flood_of_requests_does_not_become_a_flood_of_tasks(
    play: Play,
) -> None:
    play.connection.receive(
        b''.join(request(f'/read/{number}') for number in range(FLOOD))
    )
    play.connection.settle()
    one_slice = (
        bounded_protocol.HEAD_SLICE_BYTES // len(request('/read/0')) + 1
    )
    assert len(play.app.runs) <= one_slice
    assert not play.connection.transport.reading


def test_serial_connection_serves_one_request_after_the_other(
    loop: VirtualLoop,
) -> None:
    play = Play(loop, None)
    play.send(request('/read/0'), request('/read/1'))
    assert play.begun() == ['/read/0']
    play.finish('/read/0')
    play.finish('/read/1')
    assert [path for path, *_ in play.answers()] == ['/read/0', '/read/1']


def test_caller_that_leaves_while_it_is_not_read_ends_its_requests() -> None:
    async def test() -> None:
        app = ScriptedApp()
        async with serve(app) as (server, _, writer):
            numbers = range(SMALL_FLOOD)
            writer.write(b''.join(request(f'/read/{n}') for n in numbers))
            while not app.runs or not _is_held(server):
                await asyncio.sleep(0.01)
            writer.transport.abort()
            while not all(run.ended for run in app.runs.values()):
                await asyncio.sleep(0.01)

    asyncio.run(test())


def test_last_answer_arrives_although_the_caller_goes_on_sending() -> None:
    async def test() -> None:
        app = ScriptedApp()
        app.body = b'x' * LARGE_BYTES
        async with serve(app) as (_, reader, writer):
            writer.write(request('/read/0') + request('/read/1'))
            while len(app.runs) < 2:
                await asyncio.sleep(0.01)
            app.stopping = True
            for run in app.runs.values():
                run.result.set_result('answer')
            sending = asyncio.create_task(send_on(writer))
            read = bytearray()
            while part := await reader.read(READ_BYTES):
                read += part
                await asyncio.sleep(0.001)
            sending.cancel()
            assert read.count(app.body) == 2
            assert set(app.runs) == {'/read/0', '/read/1'}

    asyncio.run(test())


async def send_on(writer: asyncio.StreamWriter) -> None:
    """Send requests that the node does not expect."""
    while True:
        writer.write(request('/read/later'))
        await asyncio.sleep(0.001)


def _is_held(server: HttpServer) -> bool:
    (connection,) = server.server_state.connections
    assert isinstance(connection, PipeliningProtocol)
    return connection.flow.is_held
