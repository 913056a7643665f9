"""The processes, stand-ins and links of a soak, on loopback."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from dataclasses import field
import json
import os
from pathlib import Path
import signal
import sys
import time
from typing import Any
from typing import IO

import yaml

from gentianbank_standins.fleet import Ports
from gentianbank_standins.serving import build_quiet_server
from gentianbank_standins.soak.links import Link
from gentianbank_standins.users_store import UsersStore
from gentianbank_standins.users_targets import Journal
from gentianbank_standins.users_targets import UsersTarget

SERVICE = 'desk'
HOST = 'soak.example'
DOMAINS = {'east-1': 'east', 'east-2': 'east', 'west-1': 'west'}
STOP_S = 4.0
SLOTS = 4
WORK_MS = 40.0
COLD_START_S = 1.0
COLD_PER_S = 4.0
COLD_SLACK = 5.0
# Factor of the settings of the nodes, which they have by default.
COLD_FACTOR = 1.5
READ_TIMEOUT_MS = 1_500
ORDER_TIMEOUT_MS = 2_000
START_TIMEOUT_S = 60.0
_MS_PER_S = 1_000


@dataclass
class SoakNode:
    """One node, as a process.

    Parameters
    ----------
    disturbed_s
        Time until which the node counts as disturbed.
    starts, freezes
        How often a process of the node was started and was paused.
    """

    vm: str
    settings: Path
    callers: str
    lookups: str
    log: IO[bytes]
    link: Link
    process: asyncio.subprocess.Process | None = None
    disturbed_s: float = 0.0
    stopping: bool = False
    starts: int = 0
    freezes: int = 0

    @property
    def run(self) -> str:
        """Return a name for the time since the last start or pause."""
        return f'{self.vm}/{self.starts}/{self.freezes}'


@dataclass
class SoakTarget:
    """One target with its server and the link in front of it."""

    app: UsersTarget
    server: Any
    link: Link
    failure_domain: str
    sequence: int = 0
    state: str = 'ready'
    leaving: bool = False
    restarting: bool = False

    @property
    def cold_left_ms(self) -> int:
        """Return for how long the target is still cold."""
        left_s = self.app.cold_until_s - asyncio.get_running_loop().time()
        return max(0, round(left_s * _MS_PER_S))


@dataclass
class SoakWorld:
    """Starts everything, and ends only what it has started.

    Parameters
    ----------
    folder
        Takes settings and logs.
    extra_settings
        Sections that each node's settings get beside those of the soak.
    store_settings
        What each node's settings have of the store beside its address.
    domains
        Region of each failure domain.
    """

    folder: Path
    node_count: int
    target_count: int
    seed: int
    nodes: list[SoakNode] = field(default_factory=list)
    targets: list[SoakTarget] = field(default_factory=list)
    store: UsersStore = field(default_factory=UsersStore)
    journal: Journal = field(default_factory=Journal)
    version: int = 1
    extra_settings: dict[str, Any] = field(default_factory=dict)
    store_settings: dict[str, Any] = field(default_factory=dict)
    domains: dict[str, str] = field(default_factory=DOMAINS.copy)
    _configuration: bytes = b''
    _ports: Ports = field(init=False)
    _servers: list[Any] = field(default_factory=list)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _begin_s: float = 0.0

    def __post_init__(self) -> None:
        self._ports = Ports(self.seed)

    async def start(self) -> None:
        """Start the stand-ins and the nodes, and wait until they serve."""
        store_address = self._ports.address('store')
        self._serve(self.store, store_address)
        self.write_configuration()
        for _ in range(self.target_count):
            self.register(await self.add_target())
        for number in range(self.node_count):
            await self._add_node(number, store_address)
        await self._wait_ready()
        self._begin_s = time.monotonic()

    async def stop(self) -> None:
        """End what was started."""
        for node in self.nodes:
            await self.kill(node)
            node.log.close()
            await node.link.close()
        for target in self.targets:
            await target.link.close()
        for server in self._servers:
            server.should_exit = True
            server.force_exit = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def now_s(self) -> float:
        """Return the time since the start of traffic."""
        return time.monotonic() - self._begin_s

    def disturb(self, node: SoakNode, until_s: float) -> None:
        """Count a node as disturbed for a while."""
        node.disturbed_s = max(node.disturbed_s, until_s)

    def write_configuration(self, size_bytes: int = 0) -> None:
        """Write the next version of the configuration, as the operator.

        Its last route, which no other version has, is named after it.

        Parameters
        ----------
        size_bytes
            Size up to which the document is padded.
        """
        self.version += 1
        limits = {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 1_000_000,
            'headerTimeoutMs': 5_000,
            'idleTimeoutMs': 15_000,
        }
        service = {
            'name': SERVICE,
            'healthPath': '/health',
            'maxConns': 300,
            'coldStartS': COLD_START_S,
            'coldPerS': COLD_PER_S,
        }
        document = {
            'version': self.version,
            'limits': limits,
            'services': [service],
            'virtualHosts': [
                {
                    'host': HOST,
                    'paths': [
                        _route('read', 'idempotent', READ_TIMEOUT_MS),
                        _route('order', 'non_idempotent', ORDER_TIMEOUT_MS),
                        _route(
                            f'version-{self.version}',
                            'idempotent',
                            READ_TIMEOUT_MS,
                        ),
                    ],
                }
            ],
        }
        data = json.dumps(document).encode()
        self._configuration = data.ljust(size_bytes)
        self.store.write('op/config', self._configuration)

    def register(self, target: SoakTarget, state: str = 'ready') -> None:
        """Write the entry of a target, as the target does."""
        target.sequence += 1
        target.state = state
        entry = {
            'service': SERVICE,
            'address': target.link.address,
            'zone': target.failure_domain,
            'version': 'v1',
            'slots': SLOTS,
            'state': state,
            'coldLeftMs': target.cold_left_ms,
            'sequence': target.sequence,
            'born': target.app.born,
        }
        self.store.put(f'servers/{target.app.target_id}', entry)

    def write_again(self) -> None:
        """Write what operator and targets wrote, as after a restore."""
        self.store.write('op/config', self._configuration)
        for target in self.targets:
            if not target.restarting:
                self.register(target, target.state)

    async def add_target(self) -> SoakTarget:
        """Start one more target, which has no entry yet."""
        number = len(self.targets)
        name = f'desk-{number}'
        domain = sorted(self.domains)[number % len(self.domains)]
        app = UsersTarget(name, SERVICE, SLOTS, WORK_MS, self.journal)
        address = self._ports.address(name)
        server = self._serve(app, address)
        link = Link(self._ports.address(name), address)
        await link.start()
        target = SoakTarget(app, server, link, domain)
        self.targets.append(target)
        return target

    async def launch(self, node: SoakNode) -> None:
        """Start the process of a node."""
        node.stopping = False
        node.starts += 1
        node.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'gentianbank.daemon',
            f'--settings={node.settings}',
            stdout=node.log,
            stderr=node.log,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )

    def send_signal(self, node: SoakNode, number: signal.Signals) -> None:
        """Send a signal to the process of a node if it runs."""
        if node.process is not None and node.process.returncode is None:
            node.freezes += number == signal.SIGSTOP
            node.process.send_signal(number)

    async def kill(self, node: SoakNode) -> None:
        """Kill the process of a node and wait for its end."""
        if node.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            node.process.kill()
        await node.process.wait()

    async def _add_node(self, number: int, store_address: str) -> None:
        vm = f'vm-{number}'
        domain = sorted(self.domains)[number % len(self.domains)]
        link = Link(self._ports.address(f'link-{vm}'), store_address)
        await link.start()
        names = ('callers', 'readiness', 'lookups', 'peers', 'metrics')
        addresses = {name: self._ports.address(vm) for name in names}
        settings = self.folder / f'{vm}.yaml'
        document = {
            'interface': 'platform',
            'vm': vm,
            'region': self.domains[domain],
            'failure_domain': domain,
            'regions': self.domains,
            'addresses': addresses,
            'store': {'address': link.address, **self.store_settings},
            'bounds': {'stop_s': STOP_S, 'cold_slack': COLD_SLACK},
            'logging': {'json': True},
            **self.extra_settings,
        }
        settings.write_text(yaml.safe_dump(document))
        node = SoakNode(
            vm,
            settings,
            addresses['callers'],
            addresses['lookups'],
            (self.folder / f'{vm}.log').open('ab'),
            link,
        )
        self.nodes.append(node)
        await self.launch(node)

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while len(self.store.keys('nodes/')) < self.node_count:
                await asyncio.sleep(0.05)

    def _serve(self, app: Any, address: str) -> Any:
        server = build_quiet_server(app, address)
        self._servers.append(server)
        self._tasks.append(asyncio.create_task(server.serve()))
        return server


def _route(name: str, kind: str, timeout_ms: int) -> dict[str, Any]:
    return {
        'name': name,
        'prefix': f'/{name}/',
        'service': SERVICE,
        'kind': kind,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': 400,
        'priority': 1,
        'maxAttempts': 3,
        'sticky': True,
    }
