"""Tests of the limits on connections, over real sockets on loopback."""

from __future__ import annotations

import asyncio
from collections import Counter
import socket
import time
from typing import Any
from typing import TYPE_CHECKING

from absl import logging

from gentianbank.dataplane import connection_ledger
from gentianbank.dataplane.bounded_protocol import BoundedConfig
from gentianbank.dataplane.bounded_protocol import REQUEST_LINE_BYTES
from gentianbank.dataplane.connection_ledger import ConnectionLedger
from gentianbank.dataplane.connection_ledger import MAX_LOG_LINES_PER_S
from gentianbank.dataplane.exchange import Exchange
from gentianbank.dataplane.server import CallerProtocol
from gentianbank.dataplane.server import HttpServer
from gentianbank.domain.connection_limits import ConnectionLimits
from gentianbank.domain.route_table import CallerLimits

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    import pytest

TEST_TIMEOUT_S = 20.0
HEAD_BYTES = 2_048
SHORT_MS = 300.0
FROZEN_S = 1.6
HEAD = b'POST /p HTTP/1.1\r\nHost: h\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
GET = b'GET /%d HTTP/1.1\r\nHost: h\r\n\r\n'
LIMITS = ConnectionLimits(
    max_connections=16, max_connections_per_address=12, framing_bytes=2_048
)


class EchoApp:
    """Answers with path and body, and keeps what it was given."""

    def __init__(self) -> None:
        self.headers: list[list[tuple[bytes, bytes]]] = []
        self.paths: list[bytes] = []
        self.wait = asyncio.Event()
        self.wait.set()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        exchange = Exchange(scope, receive, send)
        self.paths.append(exchange.path)
        body = b''.join([chunk async for chunk in exchange.body()])
        await self.wait.wait()
        self.headers.append(list(exchange.raw_headers))
        await exchange.answer(200, [], exchange.path + b' ' + body)


class Caller:
    """A plain socket to the server."""

    def __init__(self, address: Any) -> None:
        self._socket = socket.create_connection(address)
        self._socket.setblocking(False)
        self.received = b''

    async def send(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self._socket, data)

    async def read_until(self, part: bytes, count: int = 1) -> None:
        loop = asyncio.get_running_loop()
        while self.received.count(part) < count:
            data = await loop.sock_recv(self._socket, 65_536)
            assert data, self.received
            self.received += data

    async def read_to_end(self) -> bytes:
        loop = asyncio.get_running_loop()
        try:
            while data := await loop.sock_recv(self._socket, 65_536):
                self.received += data
        except ConnectionError:
            # Closed while bytes of the caller were unread.
            pass
        return self.received

    def close(self) -> None:
        self._socket.close()


class Node:
    """A server with its ledger, and callers of it."""

    def __init__(
        self, caller_limits: CallerLimits, limits: ConnectionLimits
    ) -> None:
        self.app = EchoApp()
        self.cuts: Counter[str] = Counter()
        self.ledger = ConnectionLedger(
            limits, 'test', lambda: caller_limits, self._on_cut
        )
        self.callers: list[Caller] = []
        self._listener = socket.create_server(('127.0.0.1', 0))
        config = BoundedConfig(
            self.app,
            self.ledger,
            http=CallerProtocol,
            lifespan='off',
            log_config=None,
        )
        self.server = HttpServer(config)

    def connect(self) -> Caller:
        caller = Caller(self._listener.getsockname())
        self.callers.append(caller)
        return caller

    async def play(self, test: Callable[[Node], Awaitable[None]]) -> None:
        serving = asyncio.create_task(self.server.serve([self._listener]))
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await test(self)
        finally:
            for caller in self.callers:
                caller.close()
            self.server.should_exit = self.server.force_exit = True
            await serving

    def _on_cut(self, port: str, reason: str) -> None:
        assert port == 'test'
        self.cuts[reason] += 1


def play(
    test: Callable[[Node], Awaitable[None]],
    *,
    header_timeout_ms: float = 60_000,
    idle_timeout_ms: float = 60_000,
    limits: ConnectionLimits = LIMITS,
) -> None:
    caller_limits = CallerLimits(
        max_body_bytes=100_000,
        idle_timeout_ms=idle_timeout_ms,
        max_header_bytes=HEAD_BYTES,
        header_timeout_ms=header_timeout_ms,
    )

    async def run() -> None:
        await Node(caller_limits, limits).play(test)

    asyncio.run(run())


def test_head_of_the_longest_size_is_served() -> None:
    async def test(node: Node) -> None:
        caller = node.connect()
        line = b'X-Long: %s\r\n\r\n'
        room = HEAD_BYTES - len(HEAD) - len(line)
        await caller.send(HEAD + line % (b'a' * room))
        await caller.read_until(b'/p ')
        assert not node.cuts

    play(test)


def test_head_without_end_is_answered_by_431() -> None:
    async def test(node: Node) -> None:
        caller = node.connect()
        size = HEAD_BYTES + REQUEST_LINE_BYTES + 4_096
        await caller.send(HEAD + b'X-Long: ' + b'a' * size)
        assert (await caller.read_to_end()).startswith(b'HTTP/1.1 431 ')
        assert node.cuts == {'head too large': 1}

    play(test)


def test_head_that_drips_in_is_answered_by_408() -> None:
    async def test(node: Node) -> None:
        caller = node.connect()
        await caller.send(HEAD)
        assert (await caller.read_to_end()).startswith(b'HTTP/1.1 408 ')
        assert node.cuts == {'head too slow': 1}

    play(test, header_timeout_ms=SHORT_MS)


def test_time_in_which_the_node_was_frozen_does_not_count() -> None:
    # What the caller sent meanwhile is not read yet when the node wakes.
    async def test(node: Node) -> None:
        caller = node.connect()
        await caller.send(HEAD)
        await asyncio.sleep(0.1)
        time.sleep(FROZEN_S)
        await asyncio.sleep(0.05)
        await caller.send(b'\r\n')
        await caller.read_until(b'/p ')

    play(test, header_timeout_ms=SHORT_MS)


def test_lines_about_callers_that_are_cut_off_are_few(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[Any] = []
    monkeypatch.setattr(
        logging,
        'warning',
        lambda message, extra: lines.append((message, extra)),
    )

    async def test(node: Node) -> None:
        caller = node.connect()
        await caller.send(b'no request\r\n\r\n')
        assert b' 400 ' in await caller.read_to_end()
        assert [line[0] for line in lines] == ['caller cut off']
        await node.connect().send(GET % 1)
        await asyncio.sleep(0.1)
        (connection,) = node.server.server_state.connections
        assert isinstance(connection, CallerProtocol)
        for _ in range(100):
            node.ledger.on_cut_off(connection, connection_ledger.MALFORMED)
        # The calls may lie in two seconds.
        assert len(lines) <= 1 + 2 * MAX_LOG_LINES_PER_S
        assert node.cuts == {'malformed': 101}

    play(test)


def test_idle_connection_is_closed_no_earlier_than_stated() -> None:
    async def test(node: Node) -> None:
        loop = asyncio.get_running_loop()
        caller = node.connect()
        await caller.send(GET % 1)
        await caller.read_until(b'/1 ')
        begin_s = loop.time()
        await caller.read_to_end()
        assert loop.time() - begin_s >= SHORT_MS / 1_000
        assert node.cuts == {'idle': 1}

    play(test, idle_timeout_ms=SHORT_MS)


def test_empty_line_after_a_body_begins_no_head() -> None:
    # Some callers send one; it must not start the timeout of a head.
    async def test(node: Node) -> None:
        caller = node.connect()
        await caller.send(HEAD + b'Content-Length: 2\r\n\r\nhi')
        await caller.read_until(b'/p hi')
        await caller.send(b'\r\n')
        await asyncio.sleep(1.5)
        await caller.send(GET % 2)
        await caller.read_until(b'/2 ')

    play(test, header_timeout_ms=SHORT_MS)


def test_running_request_is_not_idle() -> None:
    async def test(node: Node) -> None:
        node.app.wait.clear()
        caller = node.connect()
        await caller.send(GET % 1)
        await asyncio.sleep(1.5)
        node.app.wait.set()
        await caller.read_until(b'/1 ')

    play(test, idle_timeout_ms=SHORT_MS)


def test_trailers_are_no_headers_of_the_request() -> None:
    async def test(node: Node) -> None:
        caller = node.connect()
        data = CHUNKED + b'2\r\nhi\r\n0\r\nTenant: other\r\n\r\n'
        await caller.send(data)
        await caller.read_until(b'/p hi')
        names = [name for name, _ in node.app.headers[0]]
        assert b'tenant' not in names
        # The next request on the connection is not disturbed.
        await caller.send(GET % 2)
        await caller.read_until(b'/2 ')
        assert node.app.headers[1] == [(b'host', b'h')]

    play(test)


def test_trailers_without_end_are_cut_off() -> None:
    async def test(node: Node) -> None:
        node.app.wait.clear()
        caller = node.connect()
        await caller.send(CHUNKED + b'2\r\nhi\r\n0\r\n' + b'A: b\r\n' * 4_000)
        assert (await caller.read_to_end()).startswith(b'HTTP/1.1 400 ')
        assert node.cuts == {'framing too large': 1}

    play(test)


def test_requests_ahead_are_answered_in_order() -> None:
    async def test(node: Node) -> None:
        caller = node.connect()
        count = 1_000
        await caller.send(b''.join(GET % n for n in range(count)))
        await caller.read_until(b'HTTP/1.1 200', count)
        await caller.read_until(b'/%d ' % (count - 1))
        assert node.app.paths == [b'/%d' % n for n in range(count)]

    play(test)


def test_few_requests_ahead_are_parsed() -> None:
    async def test(node: Node) -> None:
        node.app.wait.clear()
        caller = node.connect()
        sending = asyncio.create_task(caller.send((GET % 1) * 20_000))
        await asyncio.sleep(0.5)
        (connection,) = node.server.server_state.connections
        assert isinstance(connection, CallerProtocol)
        assert len(connection.pipeline) < 100
        assert connection.held.ahead < 600_000
        sending.cancel()

    play(test)


def test_bodies_pass_in_any_slices() -> None:
    async def test(node: Node) -> None:
        caller = node.connect()
        body = bytes(range(97, 123)) * 3_000
        chunk = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
        data = CHUNKED + chunk + GET % 2
        for begin in range(0, len(data), 7_001):
            await caller.send(data[begin : begin + 7_001])
            await asyncio.sleep(0)
        await caller.read_until(b'/2 ')
        assert body in caller.received

    play(test)


def test_malformed_request_ahead_gets_no_answer_of_an_earlier_one() -> None:
    async def test(node: Node) -> None:
        node.app.wait.clear()
        caller = node.connect()
        await caller.send(GET % 1 + b'\x00\x01 garbage\r\n\r\n')
        await asyncio.sleep(0.2)
        node.app.wait.set()
        answers = await caller.read_to_end()
        assert answers.startswith(b'HTTP/1.1 200')
        assert answers.count(b'HTTP/1.1') == 1
        assert node.cuts == {'malformed': 1}

    play(test)


def test_newcomer_replaces_the_oldest_that_sent_no_whole_head(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_ledger, 'NEW_CONNECTION_S', 0.0)

    async def test(node: Node) -> None:
        kept = node.connect()
        await kept.send(GET % 1)
        await kept.read_until(b'/1 ')
        silent = [node.connect() for _ in range(11)]
        await asyncio.sleep(0.1)
        newcomer = node.connect()
        await newcomer.send(GET % 2)
        await newcomer.read_until(b'/2 ')
        assert await silent[0].read_to_end() == b''
        await kept.send(GET % 3)
        await kept.read_until(b'/3 ')
        assert sum(node.cuts.values()) == 1
        assert node.ledger.connection_count == 12

    play(test)


def test_connections_that_are_in_use_are_not_replaced() -> None:
    async def test(node: Node) -> None:
        for number in range(12):
            caller = node.connect()
            await caller.send(GET % number)
            await caller.read_until(b'/%d ' % number)
        assert await node.connect().read_to_end() == b''
        assert node.cuts == {'too many connections of the address': 1}

    play(test)


def test_largest_holder_is_cut_off_when_memory_is_short() -> None:
    async def test(node: Node) -> None:
        node.app.wait.clear()
        running = node.connect()
        await running.send(
            HEAD + b'Content-Length: 90000\r\n\r\n' + b'a' * 90_000
        )
        holders = [node.connect() for _ in range(11)]
        with_room = b'Content-Length: 99999\r\n\r\n' + b'a' * 99_000
        for _ in range(20):
            await asyncio.sleep(0.02)
        for holder in holders:
            await holder.send(HEAD + with_room)
            await asyncio.sleep(0.02)
        assert node.cuts['too much memory'] >= 1
        assert node.ledger.held_bytes <= 1_048_576
        node.app.wait.set()
        await running.read_until(b'/p aaa')

    limits = ConnectionLimits(
        max_connections=16,
        max_connections_per_address=12,
        max_held_bytes=1_048_576,
    )
    play(test, limits=limits)
