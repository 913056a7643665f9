"""Starts the stand-ins and the nodes of an example on loopback."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import json
import os
from pathlib import Path
import random
import signal
import socket
import subprocess
import sys
import time
from typing import Any
from typing import IO

import httpx
import yaml

from gentianbank.domain.addresses import Address
from gentianbank_standins.targets import spec_document
from gentianbank_standins.targets import TargetSpec

PLATFORM = 'platform'
TARGETS = 'targets'
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
FLEET_KEY = 'loopback-fleet-key-for-tests'


@dataclass(frozen=True)
class Node:
    """One node of the fleet."""

    vm: str
    region: str
    failure_domain: str
    http: str
    peer: str
    operators: str
    settings: Path


class Ports:
    """Hands out loopback addresses whose ports the OS has chosen.

    Each host of a fleet has an address of its own within 127.0.0.0/8.
    """

    def __init__(self, seed: int | None = None) -> None:
        rng = random.Random(seed)
        self._prefix = f'127.{rng.randrange(1, 255)}.{rng.randrange(0, 255)}'
        self._hosts: dict[str, str] = {}
        self._given: set[Address] = set()

    def host(self, name: str) -> str:
        """Return the IP address of a host."""
        number = len(self._hosts) + 1
        return self._hosts.setdefault(name, f'{self._prefix}.{number}')

    def address(self, name: str) -> str:
        """Return a free address on a host."""
        host = self.host(name)
        while True:
            with socket.socket() as probe:
                probe.bind((host, 0))
                address = Address(host, probe.getsockname()[1])
            # The OS may choose a port again that is not listened on yet.
            if address not in self._given:
                self._given.add(address)
                return str(address)


class Fleet:
    """The processes of an example.

    Parameters
    ----------
    example
        Folder with the configuration, the settings and the delays.
    folder
        Folder for files and logs of this run.
    overrides
        Settings that every node gets beside its own.
    """

    def __init__(
        self,
        example: Path,
        folder: Path,
        overrides: dict[str, Any] | None = None,
    ) -> None:
        self._folder = folder
        self._ports = Ports()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._logs: dict[str, IO[bytes]] = {}
        self.world = _load(example / 'world.yaml')
        self.configuration = _load(example / 'configuration.yaml')
        self.platform = self._ports.address(PLATFORM)
        self.steering = self._ports.address(TARGETS)
        self.nodes: dict[str, Node] = {}
        for path in sorted(example.glob('settings-*.yaml')):
            node = self._place_node(_load(path), overrides or {})
            self.nodes[node.vm] = node
        self._write_targets()
        self._http = httpx.Client(timeout=5.0, trust_env=False)

    def start(self) -> None:
        """Start the stand-ins and every node, and wait for them."""
        self.start_platform()
        targets = ['-m', 'gentianbank_standins.targets']
        spec = str(self._folder / 'targets.yaml')
        self._spawn(TARGETS, [*targets, '--spec', spec])
        self.wait_http(f'http://{self.steering}/')
        self.publish_vms(list(self.nodes))
        for vm in self.nodes:
            self.start_node(vm)
        for vm in self.nodes:
            self.wait_http(f'http://{self.nodes[vm].http}/healthz')

    def start_platform(self) -> None:
        """Start the platform."""
        platform = ['-m', 'gentianbank_standins.platform']
        self._spawn(PLATFORM, [*platform, '--address', self.platform])
        self.wait_http(f'http://{self.platform}/healthz')

    def start_node(self, vm: str) -> None:
        """Start a node."""
        settings = str(self.nodes[vm].settings)
        daemon = ['-m', 'gentianbank.daemon']
        self._spawn(vm, [*daemon, '--settings', settings])

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def wait_exit(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until a process has ended; return its exit code."""
        return self._processes[name].wait(timeout_s)

    def pid_of(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes[name].pid

    def set_work(self, work_ms: float) -> None:
        """Set the mean time of work of targets that are near to all nodes."""
        self.world['work_ms'] = dict.fromkeys(self.world['work_ms'], work_ms)
        self.world['failure_domain_delay_ms'] = 0.0
        for link in self.configuration['links']:
            link['one_way_delay_ms'] = 0.0
        self._write_targets()

    def stop(self) -> None:
        """End every process."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait(STOP_TIMEOUT_S)
        for log in self._logs.values():
            log.close()
        self._http.close()

    def command(
        self, *arguments: str, node: str = ''
    ) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line."""
        nodes = [self.nodes[node]] if node else list(self.nodes.values())
        addresses = ','.join(item.operators for item in nodes)
        return self.command_at(addresses, *arguments)

    def command_at(
        self, addresses: str, *arguments: str
    ) -> subprocess.CompletedProcess[str]:
        """Run the command line against operators' addresses."""
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'gentianbank.cli.main',
                *arguments,
                f'--node={addresses}',
            ],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    async def command_async(
        self, *arguments: str
    ) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line beside other tasks."""
        return await asyncio.to_thread(self.command, *arguments)

    def apply(self) -> subprocess.CompletedProcess[str]:
        """Apply the example's configuration."""
        path = self._folder / 'configuration.yaml'
        path.write_text(yaml.safe_dump(self.configuration))
        return self.command('apply', str(path), '--author=demo')

    def publish_vms(self, vms: list[str], state: str = 'live') -> None:
        """Set the platform's list of VMs."""
        groups = [
            {
                'targets': [node.peer],
                'labels': {
                    'vm': node.vm,
                    'region': node.region,
                    'failure_domain': node.failure_domain,
                    'state': state,
                },
            }
            for node in (self.nodes[vm] for vm in vms)
        ]
        self._put(f'http://{self.platform}/standin/vms', groups)

    def set_platform_faults(self, **faults: Any) -> None:
        """Switch faults of the platform; those not named are off."""
        self._put(f'http://{self.platform}/standin/faults', faults)

    def set_target_faults(self, target: str, **faults: Any) -> None:
        """Switch faults of a target; those not named are off."""
        self._put(f'http://{self.steering}/faults', {target: faults})

    def journal(self) -> dict[str, Any]:
        """Return what the targets have executed."""
        answer = self._http.get(f'http://{self.steering}/journal')
        document: dict[str, Any] = answer.json()
        return document

    def store_calls(self) -> dict[str, int]:
        """Return the calls that the platform has counted."""
        answer = self._http.get(f'http://{self.platform}/standin/calls')
        calls: dict[str, int] = answer.json()
        return calls

    def revision_of(self, vm: str) -> int:
        """Return the revision in force on a node; 0 without an answer."""
        try:
            url = f'http://{self.nodes[vm].http}/healthz'
            return int(self._http.get(url).json()['revision'])
        except (httpx.HTTPError, KeyError, ValueError):
            return 0

    def wait_revision(
        self, revision: int, vms: list[str] | None = None
    ) -> float:
        """Wait until nodes have a revision in force; return the seconds."""
        started_s = time.monotonic()
        names = list(self.nodes) if vms is None else vms
        waiting = set(names)
        while waiting:
            if time.monotonic() - started_s > START_TIMEOUT_S:
                raise TimeoutError(f'revision {revision} not on {waiting}')
            waiting = {v for v in waiting if self.revision_of(v) < revision}
            time.sleep(0.02)
        return time.monotonic() - started_s

    def wait_http(self, url: str) -> None:
        """Wait until an address answers."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                self._http.get(url)
                return
            except httpx.HTTPError:
                time.sleep(0.05)
        raise TimeoutError(f'{url} does not answer')

    def _put(self, url: str, document: Any) -> None:
        self._http.put(url, json=document).raise_for_status()

    def _spawn(self, name: str, arguments: list[str]) -> None:
        log = (self._folder / f'{name}.log').open('ab')
        self._logs[name] = log
        self._processes[name] = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=log,
            stderr=log,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )

    def _place_node(
        self, settings: dict[str, Any], overrides: dict[str, Any]
    ) -> Node:
        vm = settings['vm']
        addresses = {
            name: self._ports.address(vm) for name in settings['addresses']
        }
        settings['addresses'] = addresses
        settings['store'] = {
            'url': f'http://{self.platform}',
            'vm_list_url': f'http://{self.platform}/vms',
            'timeout_ms': 1000,
        }
        settings['fleet_key'] = FLEET_KEY
        settings['seeds'] = [node.peer for node in self.nodes.values()][:3]
        settings.update(overrides)
        path = self._folder / f'settings-{vm}.yaml'
        path.write_text(yaml.safe_dump(settings))
        return Node(
            vm=vm,
            region=settings['region'],
            failure_domain=settings['failure_domain'],
            settings=path,
            **addresses,
        )

    def _write_targets(self) -> None:
        specs = []
        for name, service in self.configuration['services'].items():
            for place in service['places']:
                for target in place['targets']:
                    target['address'] = self._ports.address(TARGETS)
                    spec = TargetSpec(
                        name=target['name'],
                        address=target['address'],
                        slots=target['slots'],
                        work_ms=self.world['work_ms'][name],
                        delays_ms=self._delays_to(place['region']),
                    )
                    specs.append(spec_document(spec))
        document = {'steering': self.steering, 'targets': specs}
        path = self._folder / 'targets.yaml'
        path.write_text(json.dumps(document))

    def _delays_to(self, region: str) -> dict[str, float]:
        delays_ms = {
            (link['source'], link['destination']): link['one_way_delay_ms']
            for link in self.configuration['links']
        }
        local_ms = self.world['failure_domain_delay_ms']
        return {
            node.vm: delays_ms.get((node.region, region), local_ms)
            for node in self.nodes.values()
        }


def _load(path: Path) -> dict[str, Any]:
    document: dict[str, Any] = yaml.safe_load(path.read_text())
    return document
