"""Real nodes over targets whose answers never end."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path
import socket
from typing import TYPE_CHECKING

import pytest

from gentianbank_standins.soak.world import HOST
from gentianbank_standins.soak.world import SoakWorld
from tests.support.raw_targets import Callers
from tests.support.raw_targets import head
from tests.support.raw_targets import raw_targets

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from gentianbank_standins.soak.world import SoakNode
    from tests.support.raw_targets import Answer
    from tests.support.raw_targets import RawRequest

# Memory of the smallest VM that a node runs on.
VM_MEMORY_MB = 200
STALLED_CALLERS = 200
READING_CALLERS = 30
ORDER_CALLERS = 10
DURATION_S = 5.0
# Targets are cold at first.
SETTLE_S = 4.0
# Many times what it takes until callers have such answers, and the timeout of
# their route.
END_LIMIT_S = 30.0
# So many that the node sends on all of the answers at once.
SLOTS = 200
NEVER = 10**9
RECEIVE_BUFFER_BYTES = 4_096
PART = b'x' * 60_000
CHUNK = b'%x\r\n%s\r\n' % (len(PART), PART)


async def send_chunks(request: RawRequest) -> AsyncIterator[bytes | None]:
    """Answer a success in chunks without end."""
    stamp = f'Server-Stamp: {request.target_id}.{request.request_id}'
    yield request.head(200, stamp, 'Transfer-Encoding: chunked')
    while True:
        yield CHUNK
        await asyncio.sleep(0)


async def send_until_closed(
    request: RawRequest,
) -> AsyncIterator[bytes | None]:
    """Answer a success without a length that never ends."""
    stamp = f'Server-Stamp: {request.target_id}.{request.request_id}'
    yield request.head(200, stamp, 'Connection: close')
    while True:
        yield PART
        await asyncio.sleep(0)


async def send_failure(request: RawRequest) -> AsyncIterator[bytes | None]:
    """Answer a failure in chunks without end."""
    yield request.head(500, 'Transfer-Encoding: chunked')
    while True:
        yield CHUNK
        await asyncio.sleep(0)


async def send_foreign(request: RawRequest) -> AsyncIterator[bytes | None]:
    """Answer another request, in chunks without end."""
    yield head(200, 'Request-Id: another', 'Transfer-Encoding: chunked')
    while True:
        yield CHUNK
        await asyncio.sleep(0)


class EndlessCallers:
    """Callers that read no answer, or read one after the other."""

    def __init__(self, node: SoakNode) -> None:
        self._address = node.callers
        self._tasks: list[asyncio.Task[None]] = []
        self._sockets: list[socket.socket] = []
        self._sent = 0
        self.read_to_end = 0

    async def send(self, count: int, *, read: bool) -> None:
        """Send a read for each caller."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            connection = await self._send()
            if read:
                self._tasks.append(loop.create_task(self._read_on(connection)))

    async def _send(self) -> socket.socket:
        host, _, port = self._address.rpartition(':')
        loop = asyncio.get_running_loop()
        connection = socket.socket()
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        connection.setblocking(False)
        self._sockets.append(connection)
        await loop.sock_connect(connection, (host, int(port)))
        number = self._sent
        self._sent += 1
        lines = (
            f'GET /read/{number} HTTP/1.1',
            f'Host: {HOST}',
            f'Request-Id: endless-{number}',
            f'Affinity-Key: {number}',
            'Deadline-Ms: 60000',
        )
        await loop.sock_sendall(
            connection, '\r\n'.join((*lines, '', '')).encode()
        )
        return connection

    async def _read_on(self, connection: socket.socket) -> None:
        """Read an answer until the node ends it, and ask again."""
        while True:
            await _read_all(connection)
            connection.close()
            self.read_to_end += 1
            connection = await self._send()

    async def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in self._sockets:
            connection.close()


async def _read_all(connection: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        while await loop.sock_recv(connection, 64 * 1024):
            pass


def peak_memory_mb(node: SoakNode) -> float:
    """Return the largest resident memory of a node's process so far."""
    assert node.process is not None
    status = Path(f'/proc/{node.process.pid}/status').read_text()
    line = next(li for li in status.splitlines() if li.startswith('VmHWM'))
    return int(line.split()[1]) / 1024


@pytest.mark.parametrize('answer', [send_chunks, send_until_closed])
def test_callers_that_stop_reading_leave_the_node_its_memory(
    tmp_path: Path, answer: Answer
) -> None:
    asyncio.run(play_callers(tmp_path, answer, STALLED_CALLERS, read=False))


@pytest.mark.parametrize('answer', [send_chunks, send_until_closed])
def test_callers_that_read_without_end_leave_the_node_its_memory(
    tmp_path: Path, answer: Answer
) -> None:
    asyncio.run(play_callers(tmp_path, answer, READING_CALLERS, read=True))


@pytest.mark.parametrize('answer', [send_chunks, send_until_closed])
def test_node_ends_answers_that_their_target_does_not_end(
    tmp_path: Path, answer: Answer
) -> None:
    """Such an answer went on until its caller left (review/14)."""
    asyncio.run(play_ends(tmp_path, answer))


def test_orders_are_answered_in_time_while_failures_do_not_end(
    tmp_path: Path,
) -> None:
    asyncio.run(play_orders(tmp_path, send_failure))


def test_orders_are_answered_in_time_while_answers_to_others_do_not_end(
    tmp_path: Path,
) -> None:
    asyncio.run(play_orders(tmp_path, send_foreign))


async def play_callers(
    folder: Path, answer: Answer, count: int, *, read: bool
) -> None:
    """Let callers get answers without end, and others send orders."""
    world = SoakWorld(folder, 1, 0, seed=0)
    callers: EndlessCallers | None = None
    try:
        await world.start()
        (node,) = world.nodes
        callers = EndlessCallers(node)
        faults = (answer, answer, None)
        async with raw_targets(world, *faults, slots=SLOTS) as targets:
            await asyncio.sleep(SETTLE_S)
            for target in targets[:2]:
                target.fault_period = 1
            await callers.send(count, read=read)
            async with asyncio.timeout(END_LIMIT_S):
                while len(targets[0].spoiled) < count / 2:
                    await asyncio.sleep(0.1)
            await asyncio.sleep(DURATION_S)
            for target in targets[:2]:
                target.fault_period = NEVER
            orders = Callers(world)
            await orders.send(ORDER_CALLERS, DURATION_S)
            assert peak_memory_mb(node) < VM_MEMORY_MB
            assert orders.untrue_refusals(targets[0].runs) == {}
            assert set(orders.statuses.values()) <= {200, 503}
            assert 200 in orders.statuses.values()
            await callers.close()
    finally:
        if callers is not None:
            await callers.close()
        await world.stop()


async def play_ends(folder: Path, answer: Answer) -> None:
    """Let a caller read answers without end until some have ended."""
    world = SoakWorld(folder, 1, 0, seed=0)
    callers: EndlessCallers | None = None
    try:
        await world.start()
        callers = EndlessCallers(world.nodes[0])
        async with raw_targets(world, answer, slots=SLOTS) as targets:
            await asyncio.sleep(SETTLE_S)
            targets[0].fault_period = 1
            await callers.send(1, read=True)
            async with asyncio.timeout(END_LIMIT_S):
                while callers.read_to_end < 2:
                    await asyncio.sleep(0.1)
            assert len(targets[0].spoiled) >= 2
            await callers.close()
    finally:
        if callers is not None:
            await callers.close()
        await world.stop()


async def play_orders(folder: Path, answer: Answer) -> None:
    """Send orders, some of which are answered by bytes without end."""
    world = SoakWorld(folder, 1, 0, seed=0)
    try:
        await world.start()
        (node,) = world.nodes
        async with raw_targets(world, answer, answer, None) as targets:
            await asyncio.sleep(SETTLE_S)
            orders = Callers(world)
            await orders.send(READING_CALLERS, DURATION_S)
            assert targets[0].spoiled
            assert peak_memory_mb(node) < VM_MEMORY_MB
            assert set(orders.statuses.values()) <= {200, 502, 503}
    finally:
        await world.stop()
