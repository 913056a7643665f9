"""A small deployment on loopback: a store, upstreams and nodes.

The nodes are the project's own program, started with the command of the
deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
from pathlib import Path
import random
import signal
import socket
import sys
import tempfile
import time
from typing import Any

from http1 import Server
from store import Store
from upstream import Upstream

REPOSITORY = Path(__file__).resolve().parents[2]
ZONES = {
    'kgn-portmore': 'kgn-metro',
    'kgn-hwt': 'kgn-metro',
    'mby-ironshore': 'west-coast',
    'mby-reading': 'west-coast',
}
HOST = 'shop.example'
GRACE_S = 6
RESTART_DELAY_S = 0.5
# ``run.sh`` maps these to its own codes; Python itself ends with 1 on errors.
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 3, 2
MAX_RUN_S = 112
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._begin_s = time.monotonic()

    def write(self, line: str) -> None:
        """Write one line with the time since the start."""
        elapsed_s = time.monotonic() - self._begin_s
        self._file.write(f'{elapsed_s:8.3f} {line}\n')

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Node:
    """One node, as a process, which the platform starts again if it ends."""

    def __init__(self, vm: str, zone: str, host: str, record: Record) -> None:
        self.vm = vm
        self.zone = zone
        self.host = host
        self.ports = free_ports(host, 5)
        self.exits: list[tuple[float, int]] = []
        self.process: asyncio.subprocess.Process | None = None
        self._record = record
        self._keeper: asyncio.Task[None] | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for clients."""
        return self.host, self.ports[0]

    def settings(self, store: str) -> str:
        """Return the settings file, as the deploy file's template yields."""
        names = ('callers', 'readiness', 'lookups', 'peers', 'metrics')
        addresses = {
            name: f'{self.host}:{port}'
            for name, port in zip(names, self.ports, strict=True)
        }
        document = {
            'interface': 'platform',
            'vm': self.vm,
            'region': ZONES[self.zone],
            'failure_domain': self.zone,
            'regions': ZONES,
            'addresses': addresses,
            'store': {'address': store},
            'bounds': {
                'retry_ratio': 0.2,
                'retry_slack': 56,
                'retry_window_s': 10,
                'cold_factor': 1.5,
                'cold_slack': 5,
                'max_region_shift': 0.15,
                'stop_s': GRACE_S,
                'max_cache_s': 5,
            },
            'logging': {'json': True},
        }
        # JSON is YAML.
        return json.dumps(document, indent=1)

    async def start(self, settings: Path, log: Path) -> None:
        """Start the process and keep it running."""
        self._keeper = asyncio.create_task(self._keep(settings, log))

    async def _keep(self, settings: Path, log: Path) -> None:
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(REPOSITORY / 'target' / 'deps')
        while True:
            with log.open('ab') as output:
                self.process = await asyncio.create_subprocess_exec(
                    'python3',
                    'src/gentianbankd.py',
                    f'--settings={settings}',
                    cwd=REPOSITORY,
                    env=environment,
                    stdout=output,
                    stderr=output,
                )
                code = await self.process.wait()
            self.exits.append((time.monotonic(), code))
            self._record.write(f'exit of {self.vm}, code {code}')
            await asyncio.sleep(RESTART_DELAY_S)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._record.write(f'{signal.Signals(number).name} to {self.vm}')
        self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        if self._keeper is not None:
            self._keeper.cancel()
            await asyncio.gather(self._keeper, return_exceptions=True)
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


class World:
    """Everything that a case starts; ends it all."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / 'record.txt')
        self.store = Store()
        self.nodes: list[Node] = []
        self.upstreams: dict[str, Upstream] = {}
        self._servers: list[Server] = []
        self._temporary = tempfile.TemporaryDirectory()
        self._prefix = f'127.{random.randrange(1, 255)}.{random.randrange(255)}'
        self._hosts = 0
        self._store_address = ''
        self._configuration: dict[str, Any] = {}

    def new_host(self) -> str:
        """Return a loopback address that nothing else here uses."""
        self._hosts += 1
        return f'{self._prefix}.{self._hosts}'

    async def serve(self, handler: Any) -> str:
        """Start a stand-in and return its address."""
        host = self.new_host()
        port = free_ports(host, 1)[0]
        server = Server(handler)
        await server.start(host, port)
        self._servers.append(server)
        return f'{host}:{port}'

    async def start_store(self) -> None:
        """Start the platform's store."""
        self._store_address = await self.serve(self.store.handle)

    def configure(self, services: list[str], routes: list[dict]) -> None:
        """Write a configuration, as the operator does."""
        document = {
            'version': 7,
            'limits': {
                'maxHeaderBytes': 16_384,
                'maxBodyBytes': 67_108_864,
                'headerTimeoutMs': 3_000,
                'idleTimeoutMs': 15_000,
            },
            'services': [
                {
                    'name': name,
                    'healthPath': '/health',
                    'maxConns': 330,
                    'protocol': 'h1',
                    'tls': False,
                    'coldStartS': 3.0,
                    'coldPerS': 7.0,
                }
                for name in services
            ],
            'virtualHosts': [{'host': HOST, 'paths': routes}],
        }
        self.store.put('op/config', document)

    async def add_upstream(
        self, upstream: Upstream, service: str, zone: str
    ) -> None:
        """Start an upstream and write its entry."""
        address = await self.serve(upstream.handle)
        self.upstreams[upstream.name] = upstream
        entry = {
            'service': service,
            'address': address,
            'zone': zone,
            'version': 'v1',
            'slots': upstream.slots,
            'state': 'ready',
            'coldLeftMs': 0,
            'sequence': 4,
            'born': int(time.time() * 1_000) - 60_000,
        }
        self.store.put(f'servers/{upstream.name}', entry)

    async def add_node(self, zone: str) -> Node:
        """Start a node."""
        vm = f'front-{zone}-{len(self.nodes) + 1}'
        node = Node(vm, zone, self.new_host(), self.record)
        folder = Path(self._temporary.name)
        settings = folder / f'{vm}.yaml'
        settings.write_text(node.settings(self._store_address))
        self.nodes.append(node)
        await node.start(settings, folder / f'{vm}.log')
        return node

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until every node says that it is ready."""
        end_s = time.monotonic() + timeout_s
        for node in self.nodes:
            while await self.ready_status(node) != 200:
                if time.monotonic() > end_s:
                    raise NotRunError(f'{node.vm} is not ready')
                await asyncio.sleep(0.1)
        self.record.write('all nodes are ready')

    async def ready_status(self, node: Node) -> int:
        """Ask a node whether it is ready; 0 without an answer."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    node.host, node.ports[1]
                )
                writer.write(b'GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n')
                line = await reader.readline()
                writer.close()
                return int(line.split()[1])
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0

    def node_log(self, node: Node) -> str:
        """Return the log of a node."""
        path = Path(self._temporary.name) / f'{node.vm}.log'
        return path.read_text(errors='replace') if path.exists() else ''

    async def stop(self) -> None:
        """End all that was started."""
        for node in self.nodes:
            await node.stop()
        for server in self._servers:
            await server.close()
        self.record.close()
        self._temporary.cleanup()


def route(name: str, service: str, kind: str, **fields: Any) -> dict:
    """Return a route of the configuration."""
    return {
        'name': f'r-{name}',
        'prefix': f'/{name}/',
        'service': service,
        'kind': kind,
        'timeoutMs': 3_000,
        'targetLatencyMs': 500,
        'priority': 1,
        'maxAttempts': 2,
        'sticky': False,
        'homeRegions': [],
    } | fields


def free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free on a host now."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((host, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def run_case(folder: Path, case: Any) -> None:
    """Run a case; its result becomes the exit code of the process.

    Parameters
    ----------
    case
        Takes the world; returns whether the rule held.
    """

    async def run() -> int:
        world = World(folder)
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            await world.start_store()
            async with asyncio.timeout(MAX_RUN_S):
                held = await case(world)
        except (NotRunError, TimeoutError, asyncio.CancelledError) as error:
            world.record.write(f'the case could not run: {error!r}')
            print(f'the case could not run: {error!r}')
            return EXIT_NOT_RUN
        finally:
            await world.stop()
        return EXIT_HELD if held else EXIT_BROKEN

    sys.exit(asyncio.run(run()))
