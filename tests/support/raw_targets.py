"""Targets on plain sockets that answer with any bytes, and their callers."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from dataclasses import dataclass
from dataclasses import field

import httpx

from gentianbank_standins.fleet import Ports
from gentianbank_standins.soak.promises import NOT_RUN_STATUSES
from gentianbank_standins.soak.world import HOST
from gentianbank_standins.soak.world import SERVICE
from gentianbank_standins.soak.world import SoakWorld

DEADLINE_MS = 4_000
WORK_S = 0.01
OBJECTS = 30
SLOTS = 6
_HEALTH_PATH = b'/health'
_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class RawRequest:
    """A request that a target has read.

    Parameters
    ----------
    previous_id
        Id of the request before it on the same connection, if any.
    """

    target_id: str
    request_id: str
    previous_id: str = ''

    def head(self, status: int, *more: str, request_id: str = '') -> bytes:
        """Return a head that names this request, or another one."""
        lines = (f'Request-Id: {request_id or self.request_id}', *more)
        return head(status, *lines)

    def success(self) -> bytes:
        """Return a whole success."""
        body = f'{self.target_id}/{self.request_id}'.encode()
        stamp = f'Server-Stamp: {self.target_id}.{self.request_id}'
        return self.head(200, stamp, f'Content-Length: {len(body)}') + body


# Parts of the bytes that answer a request that has run; a target closes the
# connection after the last part if that is ``None``.
Answer = Callable[[RawRequest], AsyncIterator[bytes | None]]


def head(status: int, *lines: str) -> bytes:
    """Return the head of an answer."""
    return '\r\n'.join((f'HTTP/1.1 {status} S', *lines, '', '')).encode()


@dataclass
class RawTarget:
    """A target that runs each request and answers by a fault or a success.

    Parameters
    ----------
    fault
        Answers one in ``fault_period`` requests; ``None`` for no fault.
    runs
        How often each request ran, over all targets.
    spoiled
        Requests that were answered by the fault.
    leaves
        Whether status checks are told that the target leaves.
    """

    target_id: str
    address: str
    fault: Answer | None
    runs: Counter[str]
    spoiled: set[str]
    fault_period: int = 4
    leaves: bool = False
    _count: int = 0
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on the address of the target."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._accept, host, int(port)
        )

    async def stop(self) -> None:
        """End all connections."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        previous_id = ''
        try:
            while True:
                start, headers = await _read_head(reader)
                length = int(headers.get(b'content-length', b'0'))
                await reader.readexactly(length)
                if start.split()[1] == _HEALTH_PATH:
                    writer.write(self._health())
                    continue
                name = headers[b'request-id'].decode()
                request = RawRequest(self.target_id, name, previous_id)
                if not await self._answer(request, writer):
                    return
                previous_id = name
        except (ConnectionError, asyncio.IncompleteReadError):
            # The node has closed the connection.
            pass
        finally:
            writer.close()

    async def _answer(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Run a request and answer; return whether the connection stays."""
        self.runs[request.request_id] += 1
        await asyncio.sleep(WORK_S)
        self._count += 1
        if self.fault is None or self._count % self.fault_period:
            writer.write(request.success())
            return True
        self.spoiled.add(request.request_id)
        async for part in self.fault(request):
            if part is None:
                return False
            writer.write(part)
            await writer.drain()
        return True

    def _health(self) -> bytes:
        lines = (f'Instance-Id: {self.target_id}', 'Cold-Ms: 0')
        if self.leaves:
            return head(503, *lines, 'Server-Leaving: 1', 'Content-Length: 0')
        return head(200, *lines, 'Content-Length: 0')


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[bytes, dict[bytes, bytes]]:
    raw = await reader.readuntil(b'\r\n\r\n')
    start, *lines = raw[:-4].split(b'\r\n')
    pairs = (line.split(b':', 1) for line in lines)
    return start, {key.lower(): value.strip() for key, value in pairs}


@contextlib.asynccontextmanager
async def raw_targets(
    world: SoakWorld, *faults: Answer | None, slots: int = SLOTS
) -> AsyncIterator[list[RawTarget]]:
    """Run a target for each fault, registered in the store of a world."""
    ports = Ports(world.seed + 1)
    runs: Counter[str] = Counter()
    spoiled: set[str] = set()
    targets = []
    try:
        for number, fault in enumerate(faults):
            name = f'raw-{number}'
            target = RawTarget(name, ports.address(name), fault, runs, spoiled)
            await target.start()
            targets.append(target)
            world.store.put(f'servers/{name}', _entry(target, slots))
        yield targets
    finally:
        for target in targets:
            await target.stop()


def _entry(target: RawTarget, slots: int) -> dict[str, object]:
    return {
        'service': SERVICE,
        'address': target.address,
        'zone': 'east-1',
        'version': 'v1',
        'slots': slots,
        'state': 'ready',
        'coldLeftMs': 0,
        'sequence': 1,
        'born': 1,
    }


@dataclass
class Callers:
    """Callers that send orders one after the other over kept connections.

    Parameters
    ----------
    statuses
        Status that each order was answered with; 0 for none.
    """

    world: SoakWorld
    statuses: dict[str, int] = field(default_factory=dict)

    async def send(self, callers: int, duration_s: float) -> None:
        """Send orders for a while."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        work = (self._run(number, end_s) for number in range(callers))
        await asyncio.gather(*work)

    def untrue_refusals(self, runs: Counter[str]) -> dict[str, int]:
        """Return the orders that ran and were answered as not run."""
        return {
            name: status
            for name, status in self.statuses.items()
            if status in NOT_RUN_STATUSES and runs[name]
        }

    async def _run(self, number: int, end_s: float) -> None:
        loop = asyncio.get_running_loop()
        sent = 0
        timeout_s = DEADLINE_MS / _MS_PER_S
        # Loading certificates takes longer than an order.
        async with httpx.AsyncClient(
            timeout=timeout_s, verify=False
        ) as client:
            while loop.time() < end_s:
                node = self.world.nodes[sent % len(self.world.nodes)]
                name = f'order-{number}-{sent}'
                self.statuses[name] = 0
                with contextlib.suppress(httpx.HTTPError):
                    # No answer; the status stays 0.
                    answer = await client.post(
                        f'http://{node.callers}/order/{sent % OBJECTS}',
                        headers={
                            'host': HOST,
                            'request-id': name,
                            'affinity-key': str(sent % OBJECTS),
                            'deadline-ms': str(DEADLINE_MS),
                        },
                        content=name.encode(),
                    )
                    self.statuses[name] = answer.status_code
                sent += 1
