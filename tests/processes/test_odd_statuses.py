"""Real nodes over targets whose answers have a status that does not exist."""

from __future__ import annotations

import asyncio
import json
import signal
from typing import TYPE_CHECKING

import httpx

from gentianbank_standins.fleet import TARGETS
from gentianbank_standins.soak.world import SoakWorld
from tests.support.raw_targets import Callers
from tests.support.raw_targets import raw_targets

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from gentianbank_standins.fleet import Fleet
    from tests.support.raw_targets import Answer
    from tests.support.raw_targets import RawRequest

ODD_STATUSES = ('000', '001', '099', '600', '999', '', 'abc', '2e2', '0200')
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
NODES = 2
CALLERS = 10
DURATION_S = 4.0
SETTLE_S = 1.0
VM = 'kingston-1'
PATIENCE_S = 30.0
REQUESTS = 30
# A target counts as failing after two checks, one each second at most.
CHECKS_S = 5.0


def odd_head(status: str, request_id: str, body: bytes = b'') -> bytes:
    return (
        f'HTTP/1.1 {status} S\r\nRequest-Id: {request_id}\r\n'
        f'Server-Stamp: s.{request_id}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


def odd_answer(status: str, before: bytes) -> Answer:
    async def answer(request: RawRequest) -> AsyncIterator[bytes | None]:
        yield before + odd_head(status, request.request_id, b'text')

    return answer


def test_answer_with_an_odd_status_reaches_no_caller(tmp_path: Path) -> None:
    faults = [odd_answer(status, b'') for status in ODD_STATUSES]
    faults += [odd_answer(status, INTERIM) for status in ODD_STATUSES]

    async def play() -> None:
        world = SoakWorld(tmp_path, NODES, 0, seed=0)
        try:
            await world.start()
            async with raw_targets(world, *faults) as targets:
                await asyncio.sleep(SETTLE_S)
                callers = Callers(world)
                await callers.send(CALLERS, DURATION_S)
                runs, spoiled = targets[0].runs, targets[0].spoiled
                statuses = {callers.statuses[name] for name in spoiled}
                assert statuses == {502}
                assert max(runs[name] for name in spoiled) == 1
                whole = set(runs) - spoiled
                assert {callers.statuses[name] for name in whole} == {200}
        finally:
            await world.stop()

    asyncio.run(play())


class OddTarget:
    """A target of the own interface whose answers have an odd status."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.status = '000'
        self.health_status = '200'
        self.runs = 0

    async def start(self) -> asyncio.Server:
        """Listen on the address of the target."""
        host, port = self.address.split(':')
        return await asyncio.start_server(self._serve, host, int(port))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                writer.write(self._answer(head))
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    def _answer(self, head: bytes) -> bytes:
        if head.startswith(b'GET /healthz'):
            body = json.dumps({'status': 'pass'}).encode()
            return odd_head(self.health_status, 'health', body)
        self.runs += 1
        return odd_head(self.status, 'any', b'text')


def test_own_interface_passes_on_no_odd_status(fleet: Fleet) -> None:
    places = fleet.configuration['services']['ordering']['places']
    targets = [
        OddTarget(target['address'])
        for place in places
        for target in place['targets']
    ]
    # Less than half of the targets of its place.
    failing = targets[0]

    async def ask(client: httpx.AsyncClient, name: str) -> httpx.Response:
        path = f'/services/ordering/stock/{name}?token={name}'
        return await client.get(f'http://{fleet.nodes[VM].http}{path}')

    async def play() -> None:
        fleet.signal(TARGETS, signal.SIGKILL)
        fleet.wait_exit(TARGETS)
        servers = [await target.start() for target in targets]
        async with httpx.AsyncClient(timeout=PATIENCE_S) as client:
            await asyncio.sleep(CHECKS_S)
            for status in ODD_STATUSES:
                for target in targets:
                    target.status = status
                answer = await ask(client, f'r{status}')
                assert answer.status_code == 502
                assert answer.json()['outcome'] == 'unknown'
            for target in targets:
                target.status = '200'
            # A check that is no answer fails, whatever its body says.
            failing.health_status = '000'
            await asyncio.sleep(CHECKS_S)
            before = sum(target.runs for target in targets)
            runs = failing.runs
            for number in range(REQUESTS):
                answer = await ask(client, f'later-{number}')
                assert answer.status_code == 200
            assert sum(t.runs for t in targets) == before + REQUESTS
            assert failing.runs == runs
        for server in servers:
            server.close()

    asyncio.run(play())
