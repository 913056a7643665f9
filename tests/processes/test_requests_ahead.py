"""Real nodes whose callers send requests ahead on one connection."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
import json
import signal
import socket
from typing import TYPE_CHECKING

from gentianbank_standins.soak.world import HOST
from gentianbank_standins.soak.world import SoakWorld
from tests.processes.test_endless_answers import peak_memory_mb
from tests.processes.test_endless_answers import VM_MEMORY_MB

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

PATIENCE_S = 30.0
TARGETS = 3
READS = 5
# Work of 400 ms, within the time that the routes allow.
SLOW_FACTOR = 10.0
POLL_S = 0.01
_STATUS_INDEX = 1
# Requests and answers are more than the sockets of both sides can buffer.
FLOOD_REQUESTS = 150_000
FLOODING_CALLERS = 8
FLOOD_S = 4.0
BUFFER_BYTES = 4_096


@dataclass(frozen=True)
class Answer:
    """An answer as a caller reads it."""

    request_id: str
    status: int
    closes: bool


def request(path: str, name: str) -> bytes:
    """Return the bytes of a request."""
    lines = (
        f'GET {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {name}',
        f'Affinity-Key: {path}',
        'Deadline-Ms: 4000',
    )
    return '\r\n'.join((*lines, '', '')).encode()


class Caller:
    """A connection on which requests are sent ahead."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self.writer = writer

    def send(self, *names: str) -> None:
        """Send requests at once; their ids begin with the route."""
        for number, name in enumerate(names):
            route = name.partition('-')[0]
            self.writer.write(request(f'/{route}/{number}', name))

    async def read_answer(self) -> Answer | None:
        """Read one answer; ``None`` at the end of the connection."""
        try:
            raw = await self._reader.readuntil(b'\r\n\r\n')
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        status_line, *lines = raw.decode().lower().split('\r\n')[:-2]
        headers = dict(line.split(': ', 1) for line in lines)
        await self._reader.readexactly(int(headers['content-length']))
        return Answer(
            headers['request-id'],
            int(status_line.split()[_STATUS_INDEX]),
            headers.get('connection') == 'close',
        )


@contextlib.asynccontextmanager
async def play(folder: Path) -> AsyncIterator[tuple[SoakWorld, Caller]]:
    """Run one node over slow targets, and a caller of it."""
    world = SoakWorld(folder, 1, TARGETS, seed=0)
    try:
        await world.start()
        for target in world.targets:
            target.app.faults.slow_factor = SLOW_FACTOR
        host, _, port = world.nodes[0].callers.rpartition(':')
        async with asyncio.timeout(PATIENCE_S):
            caller = Caller(*await asyncio.open_connection(host, int(port)))
            yield world, caller
            caller.writer.close()
    finally:
        await world.stop()


async def flood(address: str) -> asyncio.StreamWriter:
    """Send requests that are answered 404, and read no answer."""
    host, _, port = address.rpartition(':')
    connection = socket.socket()
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        connection.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (host, int(port)))
    # The limit stops the reading of answers early.
    _, writer = await asyncio.open_connection(sock=connection, limit=1)
    writer.write(request('/missing/1', 'missing') * FLOOD_REQUESTS)
    return writer


async def watch_running(world: SoakWorld) -> int:
    """Return the most requests that ran at once, until it is cancelled."""
    most = 0
    with contextlib.suppress(asyncio.CancelledError):
        while True:
            most = max(most, world.journal.running.total())
            await asyncio.sleep(POLL_S)
    return most


async def wait_runs(world: SoakWorld, count: int) -> None:
    while world.journal.runs.total() < count:
        await asyncio.sleep(POLL_S)


def test_reads_sent_ahead_overlap_and_are_answered_in_order(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        names = [f'read-{number}' for number in range(READS)]
        async with play(tmp_path) as (world, caller):
            watch = asyncio.create_task(watch_running(world))
            caller.send(*names)
            answers = [await caller.read_answer() for _ in names]
            watch.cancel()
            assert answers == [Answer(name, 200, False) for name in names]
            assert await watch > 1
            assert set(world.journal.runs.values()) == {1}

    asyncio.run(test())


def test_orders_sent_ahead_run_one_after_the_other(tmp_path: Path) -> None:
    async def test() -> None:
        names = ['order-0', 'order-1', 'read-2']
        async with play(tmp_path) as (world, caller):
            watch = asyncio.create_task(watch_running(world))
            caller.send(*names)
            answers = [await caller.read_answer() for _ in names]
            watch.cancel()
            assert answers == [Answer(name, 200, False) for name in names]
            assert await watch == 1
            assert world.journal.runs == dict.fromkeys(names, 1)

    asyncio.run(test())


def test_planned_stop_answers_what_was_passed_on_and_then_closes(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        reads = [f'read-{number}' for number in range(3)]
        async with play(tmp_path) as (world, caller):
            (node,) = world.nodes
            caller.send(*reads, 'order-3', 'read-4')
            await wait_runs(world, len(reads))
            world.send_signal(node, signal.SIGTERM)
            answers = [await caller.read_answer() for _ in reads]
            assert answers == [
                Answer(name, 200, name == reads[-1]) for name in reads
            ]
            assert await caller.read_answer() is None
            assert node.process is not None
            assert await node.process.wait() == 0
            # Both were read ahead only, and the caller may send them again.
            assert world.journal.runs == dict.fromkeys(reads, 1)

    asyncio.run(test())


def test_callers_that_read_no_answer_leave_the_node_its_memory(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with play(tmp_path) as (world, caller):
            (node,) = world.nodes
            flooding = [
                await flood(node.callers) for _ in range(FLOODING_CALLERS)
            ]
            await asyncio.sleep(FLOOD_S)
            caller.send('read-ordinary')
            assert await caller.read_answer() is not None
            assert peak_memory_mb(node) < VM_MEMORY_MB
            for writer in flooding:
                # The node has not read all of it.
                assert writer.transport.get_write_buffer_size()
                writer.transport.abort()

    asyncio.run(test())


def test_caller_that_leaves_ends_all_of_its_requests(tmp_path: Path) -> None:
    async def test() -> None:
        reads = [f'read-{number}' for number in range(READS)]
        async with play(tmp_path) as (world, caller):
            (node,) = world.nodes
            caller.send(*reads)
            await wait_runs(world, READS)
            caller.writer.close()
            while world.journal.running.total():
                await asyncio.sleep(POLL_S)
            left: set[str] = set()
            while left != set(reads):
                await asyncio.sleep(POLL_S)
                text = (tmp_path / f'{node.vm}.log').read_text()
                lines = [json.loads(line) for line in text.splitlines()]
                left = {
                    line['request']
                    for line in lines
                    if line['message'] == 'caller left'
                }

    asyncio.run(test())
