"""Stand-in for targets: slots, queues, load reports and their faults.

One process runs many targets, each on an address of its own. A further
address takes faults and gives the journal of what was executed.
"""

from __future__ import annotations

import asyncio
from collections import Counter
import dataclasses
from dataclasses import dataclass
from dataclasses import field
import json
from pathlib import Path
import random
from typing import Any

import fire

from gentianbank.domain import documents
from gentianbank_standins.serving import build_server

BLOCK_BYTES = 65_536
LOST_DELAY_S = 30.0
_MS_PER_S = 1_000


@dataclass
class TargetFaults:
    """Faults of one target, each off by default.

    Parameters
    ----------
    leaving
        Whether each answer says that the target leaves.
    slow_factor
        Times by which work takes longer.
    truncate_fraction
        Fraction of answers that are cut short.
    cross_fraction
        Fraction of answers that bear another request's id and body.
    lose_fraction
        Fraction of requests that run, but whose connection is then cut.
    """

    leaving: bool = False
    failing: bool = False
    shedding: bool = False
    slow_factor: float = 1.0
    truncate_fraction: float = 0.0
    cross_fraction: float = 0.0
    lose_fraction: float = 0.0


@dataclass
class TargetSpec:
    """One target of the stand-in.

    Parameters
    ----------
    work_ms
        Mean time of a piece of work.
    delays_ms
        One-way delay from each node, by its VM.
    """

    name: str
    address: str
    slots: int
    work_ms: float
    delays_ms: dict[str, float] = field(default_factory=dict)


@dataclass
class Journal:
    """What the targets of a process have executed."""

    executions: Counter[str] = field(default_factory=Counter)
    requests: Counter[str] = field(default_factory=Counter)
    last_new_work_s: dict[str, float] = field(default_factory=dict)


class StandInTarget:
    """An ASGI application that behaves like a target."""

    def __init__(
        self, spec: TargetSpec, journal: Journal, rng: random.Random
    ) -> None:
        self.spec = spec
        self.faults = TargetFaults()
        self._journal = journal
        self._random = rng
        self._slots = asyncio.Semaphore(spec.slots)
        self._in_flight = 0
        self._last_token = ''

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        headers = {k.decode(): v.decode() for k, v in scope['headers']}
        if scope['path'] == '/healthz':
            await self._answer_health(send)
            return
        body = await _read_body(receive)
        if body is None:
            return
        via = headers.get('via', '').removeprefix('1.1 ')
        delay_s = self.spec.delays_ms.get(via, 0.0) / _MS_PER_S
        await asyncio.sleep(2 * delay_s)
        if self.faults.shedding:
            await self._refuse(send, headers)
            return
        timeout_s = float(headers.get('request-timeout-ms', 1e9)) / _MS_PER_S
        self._in_flight += 1
        try:
            try:
                await asyncio.wait_for(self._slots.acquire(), timeout_s)
            except TimeoutError:
                await self._refuse(send, headers)
                return
            try:
                await self._execute(scope, headers, body, send)
            finally:
                self._slots.release()
        finally:
            self._in_flight -= 1

    async def _execute(
        self, scope: Any, headers: dict[str, str], body: bytes, send: Any
    ) -> None:
        loop = asyncio.get_running_loop()
        self._journal.requests[self.spec.name] += 1
        self._journal.last_new_work_s[self.spec.name] = loop.time()
        work_ms = self._random.expovariate(1 / self.spec.work_ms)
        await asyncio.sleep(work_ms * self.faults.slow_factor / _MS_PER_S)
        if scope['method'] not in ('GET', 'HEAD'):
            key = headers.get('idempotency-key', '')
            self._journal.executions[f'{key} {body.decode("latin-1")}'] += 1
        if self._random.random() < self.faults.lose_fraction:
            await asyncio.sleep(LOST_DELAY_S)
            return
        query = scope['query_string'].decode()
        token = query.removeprefix('token=')
        request_id = headers.get('x-request-id', '')
        if self._random.random() < self.faults.cross_fraction:
            token, request_id = self._last_token, 'another-request'
        self._last_token = token
        await self._answer(scope, token, request_id, send)

    async def _answer(
        self, scope: Any, token: str, request_id: str, send: Any
    ) -> None:
        size = 0
        if scope['path'].startswith('/drawings/'):
            size = int(scope['path'].rsplit('/', 1)[1])
        content = json.dumps({'token': token, 'target': self.spec.name})
        whole = max(size, len(content))
        cut = self._random.random() < self.faults.truncate_fraction
        headers = [
            (b'content-length', str(whole).encode()),
            (b'content-type', b'application/octet-stream'),
            *self._reports(request_id),
        ]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        limit = whole // 2 if cut else whole
        if not size:
            data = content.encode()[:limit]
            more = {'type': 'http.response.body', 'body': data}
            await send({**more, 'more_body': cut})
            return
        block = (token.encode() + b'.' * BLOCK_BYTES)[:BLOCK_BYTES]
        sent = 0
        while sent < limit:
            piece = block[: limit - sent]
            sent += len(piece)
            more_body = sent < limit or cut
            await send(
                {
                    'type': 'http.response.body',
                    'body': piece,
                    'more_body': more_body,
                }
            )

    def _reports(self, request_id: str) -> list[tuple[bytes, bytes]]:
        metrics = {'named_metrics': {'in_flight': self._in_flight}}
        report = f'JSON {json.dumps(metrics)}'.encode()
        headers = [(b'endpoint-load-metrics', report)]
        if self.faults.leaving:
            headers.append((b'target-leaving', b'true'))
        if request_id:
            headers.append((b'x-request-id', request_id.encode()))
        return headers

    async def _refuse(self, send: Any, headers: dict[str, str]) -> None:
        await _send_whole(
            send,
            503,
            b'',
            [
                (b'request-not-run', b'true'),
                *self._reports(headers.get('x-request-id', '')),
            ],
        )

    async def _answer_health(self, send: Any) -> None:
        document = {'status': 'fail' if self.faults.failing else 'pass'}
        if self.faults.leaving:
            document['output'] = 'leaving'
        status = 503 if self.faults.failing else 200
        body = json.dumps(document).encode()
        await _send_whole(send, status, body, self._reports(''))


class Steering:
    """An ASGI application that takes faults and gives the journal."""

    def __init__(
        self, targets: dict[str, StandInTarget], journal: Journal
    ) -> None:
        self._targets = targets
        self._journal = journal

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        body = await _read_body(receive)
        if scope['method'] == 'PUT' and body is not None:
            for name, faults in json.loads(body).items():
                self._targets[name].faults = TargetFaults(**faults)
            await _send_whole(send, 204, b'', [])
            return
        now_s = asyncio.get_running_loop().time()
        document = {
            'executions': dict(self._journal.executions),
            'requests': dict(self._journal.requests),
            'idle_s': {
                name: now_s - last_s
                for name, last_s in self._journal.last_new_work_s.items()
            },
        }
        await _send_whole(send, 200, json.dumps(document).encode(), [])


async def run(spec: dict[str, Any]) -> None:
    """Run the targets of a specification until a signal comes."""
    journal = Journal()
    rng = random.Random(spec.get('seed', 1))
    targets = {}
    for item in spec['targets']:
        target = StandInTarget(TargetSpec(**item), journal, rng)
        targets[target.spec.name] = target
    servers = [
        build_server(target, target.spec.address)
        for target in targets.values()
    ]
    servers.append(build_server(Steering(targets, journal), spec['steering']))
    await asyncio.gather(*(server.serve() for server in servers))


def serve(spec: str) -> None:
    """Run the targets that a YAML file specifies."""
    loaded = documents.load_yaml(Path(spec).read_bytes(), spec)
    asyncio.run(run(loaded.ok))


def main() -> None:
    """Run the command line of the stand-in."""
    fire.Fire(serve, name='gentianbank-targets')


def spec_document(spec: TargetSpec) -> dict[str, Any]:
    """Return the plain form of a target's specification."""
    return dataclasses.asdict(spec)


async def _read_body(receive: Any) -> bytes | None:
    parts = []
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return None
        parts.append(message.get('body', b''))
        if not message.get('more_body', False):
            return b''.join(parts)


async def _send_whole(
    send: Any, status: int, body: bytes, headers: list[tuple[bytes, bytes]]
) -> None:
    length = (b'content-length', str(len(body)).encode())
    start = {'type': 'http.response.start', 'status': status}
    await send({**start, 'headers': [length, *headers]})
    await send({'type': 'http.response.body', 'body': body})


if __name__ == '__main__':
    main()
