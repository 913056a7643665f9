"""Tests of the connection pool, over real sockets on loopback."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
import socket
import struct
from typing import Any
from typing import TYPE_CHECKING

from expression import Result
import h11
import pytest

from gentianbank.targets import connection as connection_module
from gentianbank.targets.pool import ConnectionPool
from gentianbank.targets.transport import MaybeSent
from gentianbank.targets.transport import NotSent
from gentianbank.targets.transport import SendError
from gentianbank.targets.transport import TargetAnswer
from gentianbank.targets.transport import TargetRequest
from gentianbank.targets.transport import TruncatedBodyError
from gentianbank.targets.turns import BYTES_PER_EVENT
from gentianbank.targets.turns import EVENTS_PER_TURN

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

TEST_TIMEOUT_S = 10.0
# Actions in a script: reset or close the connection after the data before the
# action, or send nothing until the client closes.
RESET = b'RESET'
CLOSE = b'CLOSE'
HANG = b'HANG'


def answer(request_id: str, body: str = 'whole', more: str = '') -> bytes:
    """Return an answer with a Content-Length header."""
    head = f'HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n{more}'
    return f'{head}Content-Length: {len(body)}\r\n\r\n{body}'.encode()


@dataclass
class Server:
    """HTTP server with scripted answers.

    Parameters
    ----------
    scripts
        Answers by connection; the last script also serves any further
        connections.
    heads
        Heads of the requests received, in order.
    connections
        Number of connections accepted.
    ended
        Set when a connection has ended.
    pause_s
        Time that the end of a connection comes later.
    """

    scripts: list[list[bytes]]
    heads: list[bytes] = field(default_factory=list)
    connections: int = 0
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    address: str = ''
    pause_s: float = 0.0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer each request of a connection by its script."""
        script = self.scripts[min(self.connections, len(self.scripts) - 1)]
        self.connections += 1
        try:
            for data in script:
                self.heads.append(await reader.readuntil(b'\r\n\r\n'))
                await self._send_scripted(data, reader, writer)
            await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.ended.set()
            writer.close()

    async def _send_scripted(
        self,
        data: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if data == HANG:
            await reader.read()
            return
        if data.endswith((RESET, CLOSE)):
            writer.write(data[:-5])
            await writer.drain()
            await asyncio.sleep(0.05 + self.pause_s)
            if data.endswith(RESET):
                _reset(writer)
            else:
                writer.close()
            raise ConnectionError
        writer.write(data)
        await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    linger = struct.pack('ii', 1, 0)
    connection = writer.get_extra_info('socket')
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def build_request(address: str, name: str = 'r-1', **changes: Any) -> Any:
    """Return a request that accepts only the answer with its request id."""

    def owns_answer(headers: list[tuple[bytes, bytes]]) -> bool:
        names = {name.lower(): value for name, value in headers}
        return names.get(b'request-id') == name.encode()

    fields: dict[str, Any] = {
        'address': address,
        'method': 'GET',
        'path': b'/a?b=c',
        'headers': [(b'host', b'h'), (b'request-id', name.encode())],
        'body': None,
        'max_connections': 8,
        'connect_timeout_ms': 2_000,
        'headers_timeout_ms': 5_000,
        'owns_answer': owns_answer,
    }
    return TargetRequest(**(fields | changes))


async def read_body(sent: Result[TargetAnswer, SendError]) -> bytes:
    """Return the whole body of an answer."""
    match sent:
        case Result(tag='ok', ok=found):
            return b''.join([chunk async for chunk in found.chunks()])
        case Result(error=error):
            raise AssertionError(error)


def run_with_server(
    scripts: list[list[bytes]],
    test: Callable[[ConnectionPool, Server], Coroutine[Any, Any, None]],
    on_idle_lost: Callable[[str], None] = lambda _: None,
) -> Server:
    """Run a test against a scripted server."""
    scripted_server = Server(scripts)

    async def body() -> None:
        listener = await asyncio.start_server(
            scripted_server.serve, '127.0.0.1', 0
        )
        host, port = listener.sockets[0].getsockname()
        scripted_server.address = f'{host}:{port}'
        pool = ConnectionPool(on_idle_lost)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await test(pool, scripted_server)
        await pool.close()
        listener.close()

    asyncio.run(body())
    return scripted_server


def test_connection_is_reused_for_the_next_request() -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        for name in ('r-1', 'r-2'):
            sent = await pool.send(build_request(server.address, name))
            assert await read_body(sent) == b'whole'

    server = run_with_server([[answer('r-1'), answer('r-2')]], test)
    assert server.connections == 1
    assert server.heads[0].startswith(b'GET /a?b=c HTTP/1.1\r\n')


@pytest.mark.parametrize(
    'first',
    [
        answer('r-1', more='Connection: close\r\n'),
        answer('r-1', more='Keep-Alive: timeout=1\r\n'),
        answer('r-1') + answer('r-0', 'other'),
        answer('r-1') + b'noise',
    ],
    ids=['close', 'short idle time', 'second answer', 'noise'],
)
def test_connection_in_doubtful_state_is_not_reused(first: bytes) -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        for name in ('r-1', 'r-2'):
            sent = await pool.send(build_request(server.address, name))
            assert await read_body(sent) == b'whole'

    assert run_with_server([[first], [answer('r-2')]], test).connections == 2


def test_idle_connection_closed_by_the_target_is_not_reused() -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        await read_body(await pool.send(build_request(server.address)))
        await server.ended.wait()
        await asyncio.sleep(0.05)
        sent = await pool.send(build_request(server.address, 'r-2'))
        assert await read_body(sent) == b'whole'

    closing = answer('r-1') + CLOSE
    assert run_with_server([[closing], [answer('r-2')]], test).connections == 2


@pytest.mark.parametrize(
    ('last', 'wait_s', 'is_lost'),
    [
        (RESET, 0.0, True),
        (CLOSE, 0.0, True),
        (b'noise', 0.0, False),
        (CLOSE, 0.2, False),
    ],
    ids=['reset', 'closed', 'bytes without a request', 'idle for long'],
)
def test_idle_connection_lost_soon_after_its_use_is_reported(
    last: bytes, wait_s: float, is_lost: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_module, 'RECENT_USE_S', 0.2)
    lost: list[str] = []

    async def test(pool: ConnectionPool, server: Server) -> None:
        server.pause_s = wait_s
        await read_body(await pool.send(build_request(server.address)))
        await server.ended.wait()
        await asyncio.sleep(0.1)
        assert lost == [server.address] * is_lost

    run_with_server([[answer('r-1') + last]], test, lost.append)


def test_connection_that_this_side_closes_is_not_lost() -> None:
    lost: list[str] = []

    async def test(pool: ConnectionPool, server: Server) -> None:
        await read_body(await pool.send(build_request(server.address)))
        await pool.close()
        await server.ended.wait()
        await asyncio.sleep(0.05)

    run_with_server([[answer('r-1')]], test, lost.append)
    assert lost == []


def test_answer_to_another_request_is_skipped() -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        sent = await pool.send(build_request(server.address))
        assert await read_body(sent) == b'whole'

    run_with_server([[answer('r-0', 'other') + answer('r-1')]], test)


def refusal(request_id: str) -> bytes:
    """Return an answer that says that its request has not run."""
    return (
        'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n'
        f'Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n'
    ).encode()


@pytest.mark.parametrize('repeats', [1, 3])
def test_refusal_of_an_earlier_request_is_not_taken_for_the_next(
    repeats: int,
) -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        for name, status in (('r-1', 503), ('r-2', 200)):
            sent = await pool.send(build_request(server.address, name))
            assert sent.ok.status == status
            await read_body(sent)

    late = refusal('r-1') * repeats
    run_with_server([[refusal('r-1'), late + answer('r-2')]], test)


@pytest.mark.parametrize('behind', [b'', answer('r-1'), b'noise'])
def test_bytes_behind_an_answer_are_noticed(behind: bytes) -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        sent = await pool.send(build_request(server.address))
        await read_body(sent)
        assert sent.ok.is_followed is bool(behind)

    run_with_server([[refusal('r-1') + behind]], test)


def test_answer_with_a_length_and_chunks_is_no_answer() -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        sent = await pool.send(build_request(server.address))
        assert isinstance(sent.error, MaybeSent)

    both = refusal('r-1').replace(
        b'Content-Length: 0\r\n\r\n',
        b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    )
    run_with_server([[both]], test)


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        (b'200 OK', b'600 OK'),
        (b'200 OK', b'999 OK'),
        (b'Request-Id', b'X-Cause: a\x01b\r\nRequest-Id'),
        (b'Request-Id', b'X-Cause: a\x7fb\r\nRequest-Id'),
    ],
)
def test_head_that_cannot_be_sent_on_is_no_answer(
    old: bytes, new: bytes
) -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        sent = await pool.send(build_request(server.address))
        assert isinstance(sent.error, MaybeSent)

    run_with_server([[answer('r-1').replace(old, new)]], test)


@pytest.mark.parametrize('before', [b'', b'HTTP/1.1 100 Continue\r\n\r\n'])
@pytest.mark.parametrize(
    'status', ['000', '001', '099', '101', '600', '', 'abc', '2e2', '0200']
)
def test_status_that_does_not_exist_is_no_answer(
    status: str, before: bytes
) -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        sent = await pool.send(build_request(server.address))
        assert isinstance(sent.error, MaybeSent)

    odd = answer('r-1').replace(b' 200 ', f' {status} '.encode())
    run_with_server([[before + odd]], test)


def test_copy_of_a_refusal_is_not_taken_for_the_answer_to_a_retry() -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        for status in (503, 200):
            request = build_request(server.address, request_id=b'r-1')
            sent = await pool.send(request)
            assert sent.ok.status == status
            await read_body(sent)

    late = refusal('r-1') + answer('r-1')
    run_with_server([[refusal('r-1'), late], [answer('r-1')]], test)


def test_answer_whose_head_is_cut_at_any_byte_is_no_answer() -> None:
    whole = answer('r-1')
    cuts = range(whole.index(b'\r\n\r\n') + 4)

    async def test(pool: ConnectionPool, server: Server) -> None:
        for _ in cuts:
            match await pool.send(build_request(server.address)):
                case Result(tag='error', error=MaybeSent()):
                    pass
                case _:
                    raise AssertionError('answered')

    run_with_server([[whole[:cut] + CLOSE] for cut in cuts], test)


def test_answer_without_length_ends_with_the_connection() -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        sent = await pool.send(build_request(server.address))
        assert await read_body(sent) == b'all of it'

    head = b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n\r\nall of it'
    run_with_server([[head + CLOSE]], test)


@pytest.mark.parametrize(
    'data',
    [
        b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n\r\nsome' + RESET,
        b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n'
        b'Content-Length: 9\r\n\r\nsome' + CLOSE,
        b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n' + CLOSE,
    ],
    ids=['reset without length', 'short', 'no last chunk'],
)
def test_answer_that_ends_early_raises_truncated_body(data: bytes) -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        with pytest.raises(TruncatedBodyError):
            await read_body(await pool.send(build_request(server.address)))

    run_with_server([[data]], test)


@pytest.mark.parametrize(
    'data', [b'nonsense\r\n\r\n', RESET, CLOSE, HANG, answer('r-0') + CLOSE]
)
def test_request_without_an_answer_may_have_been_sent(data: bytes) -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        request = build_request(server.address, headers_timeout_ms=300)
        match await pool.send(request):
            case Result(tag='error', error=error):
                assert isinstance(error, MaybeSent)
            case _:
                raise AssertionError('answered')

    run_with_server([[data]], test)


def test_refused_connection_is_not_sent() -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        match await pool.send(build_request('127.0.0.1:1')):
            case Result(tag='error', error=error):
                assert isinstance(error, NotSent)
            case _:
                raise AssertionError('answered')

    run_with_server([[]], test)


def test_connection_limit_counts_only_open_connections() -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        request = build_request(server.address, max_connections=1)
        first = asyncio.create_task(pool.send(request))
        await asyncio.sleep(0.1)
        refused = await pool.send(request)
        assert isinstance(refused.error, NotSent)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        await asyncio.sleep(0.1)
        assert await read_body(await pool.send(request)) == b'whole'

    run_with_server([[HANG], [answer('r-1')]], test)


def test_cancelled_request_ends_the_connection() -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        task = asyncio.create_task(pool.send(build_request(server.address)))
        await asyncio.sleep(0.1)
        task.cancel()
        await server.ended.wait()

    run_with_server([[HANG]], test)


async def endless_body() -> Any:
    while True:
        yield b'x' * 65_536


def build_upload(address: str, body: Any, length: int) -> TargetRequest:
    headers = [
        (b'host', b'h'),
        (b'request-id', b'r-1'),
        (b'content-length', str(length).encode()),
    ]
    request = build_request(address, method='POST', headers=headers, body=body)
    assert isinstance(request, TargetRequest)
    return request


def test_answer_of_a_target_that_stops_reading_is_delivered() -> None:
    """The rest of the body must not hold up an answer that is ready."""

    async def test(pool: ConnectionPool, server: Server) -> None:
        upload = build_upload(server.address, endless_body(), 10**12)
        assert await read_body(await pool.send(upload)) == b'whole'
        # The next request does not follow half a body.
        sent = await pool.send(build_request(server.address, 'r-2'))
        assert await read_body(sent) == b'whole'

    server = run_with_server([[answer('r-1')], [answer('r-2')]], test)
    assert server.connections == 2


def test_answer_before_a_reset_during_the_body_is_delivered() -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        upload = build_upload(server.address, endless_body(), 10**12)
        assert await read_body(await pool.send(upload)) == b'whole'

    run_with_server([[answer('r-1', more='Connection: close\r\n')]], test)


def test_failure_of_the_callers_body_ends_the_connection() -> None:
    async def body() -> Any:
        yield b'first'
        raise ValueError('the caller left')

    async def test(pool: ConnectionPool, server: Server) -> None:
        with pytest.raises(ValueError, match='the caller left'):
            await pool.send(build_upload(server.address, body(), 100))
        await server.ended.wait()

    run_with_server([[HANG]], test)


def test_body_shorter_than_announced_may_have_been_sent() -> None:
    async def body() -> Any:
        yield b'first'

    async def test(pool: ConnectionPool, server: Server) -> None:
        sent = await pool.send(build_upload(server.address, body(), 100))
        assert isinstance(sent.error, MaybeSent)

    run_with_server([[HANG]], test)


def test_error_after_bytes_were_written_does_not_count_as_never_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def fail(*_: Any) -> None:
        raise h11.LocalProtocolError('too late')

    async def test(pool: ConnectionPool, server: Server) -> None:
        monkeypatch.setattr(
            connection_module.TargetConnection, '_read_own_head', fail
        )
        sent = await pool.send(build_request(server.address))
        assert isinstance(sent.error, MaybeSent)

    run_with_server([[HANG]], test)


def test_invalid_head_counts_as_never_sent() -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        headers = [(b'host', b'h'), (b'request-id', b'a\nb')]
        request = build_request(server.address, headers=headers)
        sent = await pool.send(request)
        assert isinstance(sent.error, NotSent)
        assert server.heads == []

    run_with_server([[HANG]], test)


def test_foreign_answer_during_a_body_ends_the_connection() -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        upload = build_upload(server.address, endless_body(), 10**12)
        assert isinstance((await pool.send(upload)).error, MaybeSent)
        await server.ended.wait()

    run_with_server([[answer('r-0')]], test)


@pytest.mark.parametrize(
    'noise',
    [
        b'HTTP/1.1 103 Early Hints\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nrequest-id: r-0\r\ncontent-length: 0\r\n\r\n',
        b'x',
        b'HTTP/1.1 200 OK\r\n' + b'a: b\r\n' * 20_000,
    ],
    ids=['interim', 'foreign', 'noise', 'head'],
)
def test_bytes_without_end_instead_of_an_answer_are_cut(noise: bytes) -> None:
    """The target sends until the connection closes."""
    sent_bytes = 0

    async def flood(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal sent_bytes
        try:
            while True:
                writer.write(noise * 100)
                sent_bytes += len(noise) * 100
                await writer.drain()
        except ConnectionError:
            writer.close()

    async def run() -> None:
        listener = await asyncio.start_server(flood, '127.0.0.1', 0)
        host, port = listener.sockets[0].getsockname()
        pool = ConnectionPool()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            sent = await pool.send(build_request(f'{host}:{port}'))
        assert isinstance(sent.error, MaybeSent)
        assert 'in time' not in sent.error.cause
        listener.close()

    asyncio.run(run())


def test_answer_before_the_whole_body_keeps_the_pool_usable() -> None:
    async def body() -> Any:
        yield b'first'
        await asyncio.sleep(0.2)
        yield b'second'

    async def test(pool: ConnectionPool, server: Server) -> None:
        request = build_request(
            server.address,
            method='POST',
            headers=[(b'host', b'h'), (b'content-length', b'11')],
            body=body(),
        )
        assert await read_body(await pool.send(request)) == b'whole'
        sent = await pool.send(build_request(server.address, 'r-2'))
        assert await read_body(sent) == b'whole'

    # The rest of the first body is not sent, and nothing takes its place.
    server = run_with_server([[answer('r-1')], [answer('r-2')]], test)
    assert server.connections == 2
    assert server.heads[-1].startswith(b'GET')


def chunked_answer(chunks: int, chunk: bytes) -> bytes:
    """Return an answer whose body comes in equal chunks."""
    head = 'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nTransfer-Encoding: chunked'
    return head.encode() + b'\r\n\r\n' + chunks * chunk + b'0\r\n\r\n'


@dataclass
class LoopIterations:
    """Counts the iterations of the event loop."""

    count: int = 0

    async def run(self) -> None:
        while True:
            self.count += 1
            await asyncio.sleep(0)


@pytest.mark.parametrize(
    ('chunks', 'chunk'),
    [
        (8_000, b'1\r\nx\r\n'),
        (100, b'1;' + b'e' * 30_000 + b'\r\nx\r\n'),
    ],
    ids=['small chunks', 'long extensions'],
)
@pytest.mark.parametrize('connections', [1, 5])
def test_body_that_is_slow_to_parse_leaves_the_loop_to_others(
    chunks: int, chunk: bytes, connections: int
) -> None:
    data = chunked_answer(chunks, chunk)

    async def test(pool: ConnectionPool, server: Server) -> None:
        iterations = LoopIterations()
        counting = asyncio.create_task(iterations.run())
        requests = [build_request(server.address) for _ in range(connections)]

        async def read(request: TargetRequest) -> bytes:
            return await read_body(await pool.send(request))

        bodies = await asyncio.gather(*map(read, requests))
        counting.cancel()
        assert bodies == [b'x' * chunks] * connections
        # A turn has so many events, and others run between any two turns.
        work = chunks + len(data) // BYTES_PER_EVENT
        assert iterations.count >= connections * work // (2 * EVENTS_PER_TURN)

    run_with_server([[data]], test)


def test_whole_body_arrives_also_from_a_target_that_then_closes() -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        sent = await pool.send(build_request(server.address))
        assert await read_body(sent) == b'x' * 1_000

    data = chunked_answer(1_000, b'1\r\nx\r\n')
    run_with_server([[data + CLOSE]], test)


def test_body_in_small_chunks_is_handed_on_in_larger_ones() -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        match await pool.send(build_request(server.address)):
            case Result(tag='ok', ok=found):
                chunks = [chunk async for chunk in found.chunks()]
                assert b''.join(chunks) == b'x' * 10_000
                assert len(chunks) <= 10_000 // 16
            case _:
                raise AssertionError('no answer')

    run_with_server([[chunked_answer(10_000, b'1\r\nx\r\n')]], test)


def test_foreign_body_without_end_is_given_up_in_time() -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        request = build_request(server.address, headers_timeout_ms=500)
        sent = await pool.send(request)
        assert sent.error == MaybeSent('the target did not answer in time')

    foreign = chunked_answer(200_000, b'1\r\nx\r\n').replace(b'r-1', b'r-0')
    run_with_server([[foreign]], test)


def test_foreign_body_that_is_too_long_is_given_up_at_once() -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        sent = await pool.send(build_request(server.address))
        assert isinstance(sent.error, MaybeSent)
        assert 'too long answers to other requests' in sent.error.cause

    foreign = answer('r-0', 'x' * (connection_module.MAX_SKIPPED_BYTES + 1))
    run_with_server([[foreign + HANG]], test)
