"""Processes, stand-ins and clients of the review's scripts.

The nodes are the project's own program, started as the deploy file says. The
store, the upstreams and the clients run in the process of the script and
follow the users' pages. Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
from dataclasses import dataclass
from dataclasses import field
import json
import os
from pathlib import Path
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any
from urllib.parse import parse_qs

REPOSITORY = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
START_LIMIT_S = 30.0
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._start_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line with the time since the start."""
        line = f'{time.monotonic() - self._start_s:8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()

    def say(self, text: str) -> None:
        """Write one line and print it."""
        self.note(text)
        print(text, flush=True)


class Addresses:
    """Hands out free loopback addresses, one host for each machine."""

    def __init__(self) -> None:
        self._prefix = f'127.{random.randrange(2, 250)}.{random.randrange(250)}'
        self._hosts = 0
        self._given: set[tuple[str, int]] = set()

    def new_host(self) -> str:
        self._hosts += 1
        return f'{self._prefix}.{self._hosts}'

    def port(self, host: str) -> int:
        while True:
            with socket.socket() as probe:
                probe.bind((host, 0))
                port = probe.getsockname()[1]
            if (host, port) not in self._given:
                self._given.add((host, port))
                return port


@dataclass
class Head:
    """Head of a message, with lower-case header names."""

    first: list[str]
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read a head; ``None`` at the end of the connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, sep, value = line.partition(':')
        if sep:
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0].split(' ', 2), headers)


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read the body of a request."""
    if head.headers.get('transfer-encoding', '').lower() == 'chunked':
        data = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return data
            data += part[:-2]
    return await reader.readexactly(int(head.headers.get('content-length', 0)))


@dataclass
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


@dataclass
class _Copy:
    time_s: float
    revision: int
    items: dict[str, _Item]
    leases: dict[int, tuple[int, float]]
    next_lease: int


class Store:
    """The platform's store, which can come back from an older copy."""

    PAGE = 50

    def __init__(self, host: str, port: int, record: Record) -> None:
        self.address = f'{host}:{port}'
        self._host, self._port = host, port
        self._record = record
        self.era = 1
        self.revision = 100
        self.items: dict[str, _Item] = {}
        self._leases: dict[int, tuple[int, float]] = {}
        self._next_lease = 1000
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._copies: list[_Copy] = []
        self._is_away = False
        self._is_silent = False
        self._outage = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._keeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, backlog=512
        )
        self._keeper = asyncio.create_task(self._keep())

    async def _keep(self) -> None:
        """End leases and keep copies of the last seconds."""
        while True:
            self._expire()
            if not self._is_away:
                self._copies.append(
                    _Copy(
                        time.monotonic(),
                        self.revision,
                        dict(self.items),
                        dict(self._leases),
                        self._next_lease,
                    )
                )
                del self._copies[:-400]
            await asyncio.sleep(0.05)

    def put(self, key: str, document: Any) -> int:
        """Write as the operator or an upstream; return the revision."""
        return self._write(key, json.dumps(document).encode(), 0)

    def delete(self, key: str) -> None:
        """Remove as the operator or an upstream."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add(
                {'key': key, 'revision': self.revision, 'removed': True}
            )

    def go_away(self, *, silent: bool = False) -> None:
        """Be down: reset connections, or answer nothing on them.

        A connection on which an answer was lost returns nothing further.
        """
        self._is_away = True
        self._is_silent = silent
        self._outage += 1
        self._record.note(f'store: away, {"silent" if silent else "reset"}')
        if not silent:
            for writer in list(self._writers):
                writer.transport.abort()

    def come_back(self, copy_age_s: float) -> int:
        """Come back from a copy; return the revision before."""
        before = self.revision
        limit_s = time.monotonic() - copy_age_s
        copy = [c for c in self._copies if c.time_s <= limit_s][-1]
        self.revision = copy.revision
        self.items = dict(copy.items)
        now_s = time.monotonic()
        # A lease of the copy runs anew from here; later ones are gone.
        self._leases = {
            lease: (ttl, now_s + ttl / 1000)
            for lease, (ttl, _) in copy.leases.items()
        }
        self._next_lease = copy.next_lease
        self._events = [
            e for e in self._events if e['revision'] <= copy.revision
        ]
        self.era += 1
        self._is_away = False
        self._record.note(
            f'store: back, era {self.era}, revision {before} -> '
            f'{self.revision}, copy {now_s - copy.time_s:.2f} s old'
        )
        return before

    def come_back_whole(self) -> None:
        """Come back with everything, as after an ordinary outage."""
        self._is_away = False
        self._record.note(f'store: back, nothing lost, {self.revision}')

    def _write(self, key: str, value: bytes, lease: int) -> int:
        self.revision += 1
        old = self.items.get(key)
        created = old.created if old else self.revision
        self.items[key] = _Item(value, self.revision, created, lease)
        self._add(self._show(key))
        return self.revision

    def _add(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _show(self, key: str) -> dict[str, Any]:
        item = self.items[key]
        return {
            'key': key,
            'value': base64.b64encode(item.value).decode(),
            'revision': item.revision,
            'created': item.created,
            'lease': item.lease,
        }

    def _expire(self) -> None:
        now_s = time.monotonic()
        if self._is_away:
            return
        for lease, (_, end_s) in list(self._leases.items()):
            if end_s <= now_s:
                self._end(lease)

    def _end(self, lease: int) -> bool:
        if self._leases.pop(lease, None) is None:
            return False
        for key, item in list(self.items.items()):
            if item.lease == lease:
                self.delete(key)
        return True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_away and not self._is_silent:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                outage = self._outage
                if not self._is_away:
                    status, document = await self._call(head, body)
                if self._is_away or outage != self._outage:
                    # The answer is lost, and all later ones.
                    await reader.read()
                    break
                data = json.dumps(document).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nStore-Era: {self.era}\r\n'
                    f'Content-Length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        except (
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _call(self, head: Head, body: bytes) -> tuple[int, Any]:
        path, _, query_text = head.first[1].partition('?')
        query = {
            k: v[0]
            for k, v in parse_qs(query_text, keep_blank_values=True).items()
        }
        document = json.loads(body) if body else {}
        name, _, argument = path.strip('/').partition('/')
        if name == 'kv-key':
            if query['key'] not in self.items:
                return 404, {'currentRev': self.revision}
            return 200, self._show(query['key']) | {
                'currentRev': self.revision
            }
        if name == 'kv-range':
            after = query.get('after', '')
            keys = sorted(
                k
                for k in self.items
                if k.startswith(query['prefix']) and k > after
            )
            return 200, {
                'items': [self._show(k) for k in keys[: self.PAGE]],
                'hasMore': len(keys) > self.PAGE,
                'currentRev': self.revision,
            }
        if name == 'kv-watch':
            return await self._watch(query)
        if name == 'kv-txn':
            return self._commit(document)
        if name == 'kv-lease':
            lease = self._next_lease
            self._next_lease += 1
            ttl = int(document['ttlMs'])
            self._leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {'lease': lease, 'ttlMs': ttl}
        if name == 'kv-keep':
            lease = int(argument)
            if lease not in self._leases:
                return 404, {}
            ttl, _ = self._leases[lease]
            self._leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {'ttlMs': ttl}
        if name == 'kv-lease-end':
            return (200 if self._end(int(argument)) else 404), {}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query['after'])
        end_s = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            if after > self.revision:
                # A revision that this store does not have.
                return 410, {}
            events = [
                e
                for e in self._events
                if e['revision'] > after
                and e['key'].startswith(query['prefix'])
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'currentRev': self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()

    def _commit(self, document: dict[str, Any]) -> tuple[int, Any]:
        for row in document.get('expectedRev', ()):
            item = self.items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                return 412, {'items': []}
        writes = document.get('writes', ())
        for write in writes:
            if write['key'].startswith(('op/', 'servers/')):
                return 403, {}
            if write.get('lease', 0) not in (0, *self._leases):
                return 404, {}
        for write in writes:
            self._write(
                write['key'],
                base64.b64decode(write['value']),
                write.get('lease', 0),
            )
        for key in document.get('deletes', ()):
            self.delete(key)
        return 200, {'revision': self.revision}


@dataclass
class Run:
    """A request that reached an upstream and was run."""

    time_s: float
    server: str
    service: str
    request_id: str
    path: str
    left_s: float = 0.0
    end_s: float = 0.0


class Upstream:
    """An upstream; ``respond`` may be replaced to send other bodies."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        host: str,
        port: int,
        record: Record,
        runs: list[Run],
        slots: int = 12,
        work_s: float = 0.03,
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.host, self.port = host, port
        self.slots, self.work_s = slots, work_s
        self.record, self.runs = record, runs
        self.running = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512
        )

    def entry(self, state: str = 'ready') -> dict[str, Any]:
        self.sequence += 1
        return {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'coldLeftMs': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    @property
    def key(self) -> str:
        return f'servers/{self.name}'

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                if not await self._handle(head, body, writer):
                    break
        except (
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            pass
        finally:
            writer.close()

    async def _handle(
        self, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        method, path, _ = head.first
        if path == '/health':
            await self.send(writer, 200, {'Instance-Id': self.name}, b'')
            return True
        request_id = head.headers.get('request-id', '')
        echo = {'Request-Id': request_id}
        if head.headers.get('expect-instance', self.name) != self.name:
            echo |= {'Instance-Id': self.name, 'Not-Executed': '1'}
            await self.send(writer, 421, echo, b'')
            return True
        left_s = float(head.headers.get('deadline-ms', 60000)) / 1000
        run = Run(
            time.monotonic(), self.name, self.service, request_id, path, left_s
        )
        self.runs.append(run)
        self.record.note(f'run {request_id} {method} {path} at {self.name}')
        self.running += 1
        try:
            return await self.respond(run, body, echo, writer)
        finally:
            self.running -= 1
            run.end_s = time.monotonic()

    async def respond(
        self,
        run: Run,
        body: bytes,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Work and answer; return whether the connection stays open."""
        await asyncio.sleep(self.work_s)
        stamp = f'{self.name}.{run.request_id}'
        await self.send(
            writer, 200, headers | {'Server-Stamp': stamp}, stamp.encode()
        )
        return True

    def head(
        self, status: int, headers: dict[str, str], size: int
    ) -> bytes:
        load = f'{self.running},0,{self.slots},100'
        lines = [
            f'HTTP/1.1 {status} X',
            f'Server-Load: {load}',
            f'Content-Length: {size}',
        ]
        lines += [f'{name}: {value}' for name, value in headers.items()]
        return ('\r\n'.join(lines) + '\r\n\r\n').encode()

    async def send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        writer.write(self.head(status, headers, len(body)) + body)
        await writer.drain()


SETTINGS = """\
interface: platform
vm: {vm}
region: {region}
failure_domain: {zone}
regions: {zones}
addresses:
  callers: "{host}:{front}"
  readiness: "{host}:{ready}"
  lookups: "{host}:{directory}"
  peers: "{host}:{internal}"
  metrics: "{host}:{metrics}"
store:
  address: "{store}"
  followers_per_region: 2
bounds:
  retry_ratio: 0.2
  retry_slack: 56
  retry_window_s: 10
  cold_factor: 1.5
  cold_slack: 5
  max_region_shift: 0.15
  stop_s: {grace_s}
  max_cache_s: 5
first_start: true
gossip:
  messages_per_s: 150
logging:
  json: true
"""


@dataclass
class Node:
    """A machine with one process of the system."""

    vm: str
    zone: str
    host: str
    front: int
    ready: int
    directory: int
    settings: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None
    exit_s: float | None = field(default=None)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    'src/gentianbankd.py',
                    f'--settings={self.settings}',
                ],
                cwd=REPOSITORY,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'LANG': os.environ.get('LANG', 'C.UTF-8'),
                    'PYTHONPATH': str(REPOSITORY / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                },
            )

    def send_signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)


class Deployment:
    """A store, upstreams and nodes of one script."""

    def __init__(self, folder: Path, zones: dict[str, str]) -> None:
        self.record = Record(folder)
        self.zones = zones
        self.addresses = Addresses()
        self.temporary = tempfile.TemporaryDirectory()
        self.runs: list[Run] = []
        host = self.addresses.new_host()
        self.store = Store(host, self.addresses.port(host), self.record)
        self.nodes: list[Node] = []
        self.upstreams: list[Upstream] = []
        self._ids = 0

    def add_upstream(
        self, name: str, service: str, zone: str, kind: type = Upstream,
        **options: Any,
    ) -> Upstream:
        host = self.addresses.new_host()
        upstream = kind(
            name, service, zone, host, self.addresses.port(host),
            self.record, self.runs, **options,
        )
        self.upstreams.append(upstream)
        return upstream

    def add_node(self, vm: str, zone: str, grace_s: float = 6) -> Node:
        host = self.addresses.new_host()
        port = lambda: self.addresses.port(host)  # noqa: E731
        folder = Path(self.temporary.name)
        node = Node(
            vm, zone, host, port(), port(), port(),
            folder / f'{vm}.yaml', folder / f'{vm}.log',
        )
        node.settings.write_text(
            SETTINGS.format(
                vm=vm,
                region=self.zones[zone],
                zone=zone,
                zones=json.dumps(self.zones),
                host=host,
                front=node.front,
                ready=node.ready,
                directory=node.directory,
                internal=port(),
                metrics=port(),
                store=self.store.address,
                grace_s=grace_s,
            )
        )
        self.nodes.append(node)
        return node

    async def start(self) -> None:
        """Start everything and wait until all nodes are ready."""
        await self.store.start()
        for upstream in self.upstreams:
            await upstream.start()
            self.store.put(upstream.key, upstream.entry())
        for node in self.nodes:
            node.start()
        end_s = time.monotonic() + START_LIMIT_S
        for node in self.nodes:
            while not await self.is_ready(node):
                if time.monotonic() > end_s:
                    raise CannotRun(f'{node.vm} is not ready')
                await asyncio.sleep(0.1)
        self.record.note('all nodes are ready')

    async def is_ready(self, node: Node) -> bool:
        try:
            answer = await request(
                node.host, node.ready, 'GET', '/ready', {}, timeout_s=1
            )
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    def new_id(self) -> str:
        self._ids += 1
        return f'{random.getrandbits(32):08x}{self._ids:08x}'

    def stop(self) -> None:
        """End all processes that were started."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait(10)
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for node in self.nodes:
                if node.log.exists():
                    (Path(keep) / node.log.name).write_bytes(
                        node.log.read_bytes()
                    )
        self.temporary.cleanup()


class CannotRun(Exception):
    """The case could not be brought about."""


@dataclass
class Answer:
    """What a client got: status 0 if no head arrived."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


async def request(
    host: str, port: int, method: str, path: str, headers: dict[str, str],
    body: bytes = b'', timeout_s: float = 10.0,
) -> Answer:
    """Send one request on a new connection and read the answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f'{method} {path} HTTP/1.1']
            lines += [f'{k}: {v}' for k, v in headers.items()]
            if 'Host' not in headers:
                lines.append(f'Host: {host}:{port}')
            if body:
                lines.append(f'Content-Length: {len(body)}')
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
            return await read_answer(reader)
        finally:
            writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read an answer with a length or in chunks."""
    head = await read_head(reader)
    if head is None:
        return Answer(0, {}, b'', is_complete=False)
    status = int(head.first[1])
    data = b''
    try:
        if head.headers.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                line = await reader.readuntil(b'\r\n')
                size = int(line.split(b';')[0], 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    return Answer(status, head.headers, data, True)
                data += part[:-2]
        length = int(head.headers.get('content-length', 0))
        data = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        return Answer(status, head.headers, data + error.partial, False)
    except ConnectionError:
        return Answer(status, head.headers, data, False)
    return Answer(status, head.headers, data, True)


def route(
    name: str, prefix: str, service: str, kind: str = 'idempotent',
    timeout_ms: int = 3000,
) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return {
        'name': name, 'prefix': prefix, 'kind': kind,
        'timeoutMs': timeout_ms, 'targetLatencyMs': 400, 'priority': 1,
        'service': service, 'maxAttempts': 2, 'sticky': False,
        'homeRegions': [],
    }


def configuration(
    version: int, host: str, services: list[str], routes: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return the operator's configuration."""
    return {
        'version': version,
        'services': [
            {
                'name': name, 'healthPath': '/health', 'maxConns': 330,
                'protocol': 'h1', 'tls': False, 'coldStartS': 0.0,
                'coldPerS': 7.0,
            }
            for name in services
        ],
        'limits': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 67108864,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
        },
        'virtualHosts': [{'host': host, 'paths': routes}],
    }


def main(case: Any, folder: Path) -> None:
    """Run a case and exit with its result."""
    try:
        code = asyncio.run(case(folder))
    except Exception as error:  # noqa: BLE001
        print(f'cannot run: {type(error).__name__}: {error}', flush=True)
        code = CANNOT_RUN
    sys.exit(code)
