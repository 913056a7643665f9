"""A small deployment on loopback: the store, upstreams, nodes, a record."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
from pathlib import Path
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / 'target/deps'), str(ROOT / 'src')]

try:
    from gentianbank_standins.serving import build_quiet_server
    from gentianbank_standins.users_store import UsersStore
except ImportError as missing:
    print(f'not built: {missing!r}', file=sys.stderr)
    sys.exit(2)

HOST = 'shop.example'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
_used_ports: set[int] = set()


def free_port() -> int:
    """Return a port that is free now and was not returned before."""
    while True:
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            port = probe.getsockname()[1]
        if port not in _used_ports:
            _used_ports.add(port)
            return port


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time since the begin."""
        line = f'{time.monotonic() - self._began_s:8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()


class Node:
    """One node of the system, started as the deploy file says."""

    def __init__(self, world: World, name: str, extra: dict) -> None:
        self.name = name
        self.world = world
        self.front = f'127.0.0.1:{free_port()}'
        self.ready = f'127.0.0.1:{free_port()}'
        self.directory = f'127.0.0.1:{free_port()}'
        self.folder = world.temp / name
        self.folder.mkdir()
        self.settings = self.folder / 'boot.yaml'
        self.document = {
            'interface': 'platform',
            'vm': name,
            'region': 'regina',
            'failure_domain': 'regina-a',
            'regions': {'regina-a': 'regina', 'regina-b': 'regina'},
            'addresses': {
                'callers': self.front,
                'readiness': self.ready,
                'lookups': self.directory,
                'peers': f'127.0.0.1:{free_port()}',
                'metrics': f'127.0.0.1:{free_port()}',
            },
            'store': {'address': world.store_address},
            'bounds': {'stop_s': 6},
            'logging': {'json': True},
            **extra,
        }
        self.write_settings()
        self.process: subprocess.Popen | None = None

    def write_settings(self) -> None:
        """Write the settings file; YAML contains JSON."""
        self.settings.write_text(json.dumps(self.document))

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        self.process = subprocess.Popen(
            [
                'python3',
                'src/gentianbankd.py',
                f'--settings={self.settings}',
            ],
            cwd=ROOT,
            env=environment,
            stdout=(self.folder / 'log.txt').open('a'),
            stderr=subprocess.STDOUT,
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def wait_ready(self, timeout_s: float = 20.0) -> bool:
        """Wait until the readiness check answers 200."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                status, _, _ = await request(
                    self.ready, b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n'
                )
                if status == 200:
                    return True
            await asyncio.sleep(0.1)
        return False


class World:
    """Everything that a case starts."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder).resolve().parent
        self.record = Record(self.folder)
        self.temp = Path(tempfile.mkdtemp(prefix='case-'))
        self.store = UsersStore()
        self.store_address = f'127.0.0.1:{free_port()}'
        self.nodes: list[Node] = []
        self._servers: list[tuple[object, asyncio.Task]] = []
        self._upstreams: list[asyncio.Server] = []

    async def start_store(self) -> None:
        """Serve the store."""
        server = build_quiet_server(self.store, self.store_address)
        task = asyncio.create_task(server.serve())
        while not server.started:
            await asyncio.sleep(0.01)
        self._servers.append((server, task))

    async def start_upstream(self, handler) -> str:
        """Serve an upstream; return its address."""
        server = await asyncio.start_server(
            handler, '127.0.0.1', 0, limit=1 << 22
        )
        self._upstreams.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    def register(
        self, target_id: str, service: str, address: str, **fields
    ) -> None:
        """Write the entry of an upstream."""
        entry = {
            'service': service,
            'address': address,
            'zone': 'regina-a',
            'version': 'v1',
            'slots': 64,
            'state': 'ready',
            'coldLeftMs': 0,
            'sequence': 1,
            'born': 1_700_000_000_000,
            **fields,
        }
        self.store.put(f'servers/{target_id}', entry)

    def add_node(self, name: str, **extra) -> Node:
        """Add a node, which is not started yet."""
        node = Node(self, name, extra)
        self.nodes.append(node)
        return node

    async def close(self) -> None:
        """End every process and keep the logs of the nodes."""
        for node in self.nodes:
            process = node.process
            if process is not None:
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await asyncio.to_thread(process.wait)
        for server in self._upstreams:
            server.close()
        for server, _ in self._servers:
            server.should_exit = True
            server.force_exit = True
        await asyncio.gather(
            *(task for _, task in self._servers), return_exceptions=True
        )
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


async def read_head(reader: asyncio.StreamReader):
    """Return first line and headers of a message; ``None`` at the end."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data[:-4].split(b'\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(b':')
        headers[name.strip().lower().decode()] = value.strip().decode()
    return first.decode(), headers


async def read_body(reader: asyncio.StreamReader, headers: dict) -> bytes:
    """Return a body with a length or in chunks."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        data = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return data
            data += part[:-2]
    return await reader.readexactly(int(headers.get('content-length', '0')))


async def request(address: str, data: bytes, timeout_s: float = 30.0):
    """Send bytes on a new connection; return status, headers and body."""
    host, port = address.split(':')
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(data)
            head = await read_head(reader)
            if head is None:
                raise asyncio.IncompleteReadError(b'', None)
            first, headers = head
            body = await read_body(reader, headers)
            return int(first.split()[1]), headers, body
        finally:
            writer.close()


def head_of(
    method: str, path: str, request_id: str, deadline_ms: int, **more
) -> bytes:
    """Return the head of a client's request."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {request_id}',
        f'Deadline-Ms: {deadline_ms}',
        *(f'{k.replace("_", "-")}: {v}' for k, v in more.items()),
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def run_case(main) -> None:
    """Run a case and exit with its result."""
    try:
        code = asyncio.run(main())
    except Exception as error:  # noqa: BLE001
        print(f'case did not run: {error!r}', file=sys.stderr)
        code = NOT_RUN
    sys.exit(code)
