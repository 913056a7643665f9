"""Look-ups per second of one node, and its memory, with the full map."""

from __future__ import annotations

import asyncio
from dataclasses import replace
import json
import time
from typing import Any

from bench.client_map import build_chunks
from bench.client_map import resident_bytes
from gentianbank.cli.tables import render_table
from gentianbank.dataplane.app import build_app
from gentianbank.dataplane.lookups import Lookups
from gentianbank.domain import client_map
from gentianbank.domain.configuration import Configuration
from gentianbank.domain.configuration import Site
from gentianbank.domain.member import Member
from gentianbank.domain.member import MemberTable
from gentianbank.domain.member import READY
from gentianbank.domain.revision import Head
from gentianbank.domain.revision import Snapshot
from tests.support.control_world import build_fleet_configuration
from tests.support.fakes import SilentMetrics

BLOCKS = 2_000_000
MEMBERS = (7, 700, 7_200)
ROUNDS = 100_000
REGIONS = 27
NEEDED_PER_S = 4_900_000 / 7_200
GOAL_PER_S = 5_000
_SITES = 2_000


def run() -> None:
    """Measure the pure answer, then whole HTTP answers in one process."""
    before = resident_bytes()
    chunks = build_chunks(BLOCKS)
    clients = client_map.build_client_map(chunks)
    map_mb = (resident_bytes() - before) / 1e6
    rows = []
    for count in MEMBERS:
        lookups = _lookups(count, clients, chunks)
        started_s = time.perf_counter()
        for number in range(ROUNDS):
            lookups.find(f'0.{number % 200}.{number % 250}.1')
        pure = ROUNDS / (time.perf_counter() - started_s)
        http = asyncio.run(_measure_http(lookups))
        rows.append([count, f'{pure:.0f}', f'{http:.0f}'])
    titles = ('members', 'answers/s per core', 'HTTP answers/s per core')
    print(render_table(titles, rows))
    print(f'map and chunks of {BLOCKS} blocks: {map_mb:.1f} MB')
    print(f'needed {NEEDED_PER_S:.0f}/s per node, goal {GOAL_PER_S}/s')


async def _measure_http(lookups: Lookups) -> float:
    """Call the application as its server does, without sockets."""
    app = _build_app(lookups)
    sent: list[bytes] = []

    async def receive() -> dict[str, object]:
        return {'type': 'http.request', 'body': b''}

    async def send(message: Any) -> None:
        if message['type'] == 'http.response.body':
            sent.append(message['body'])

    rounds = ROUNDS // 10
    started_s = time.perf_counter()
    for number in range(rounds):
        query = f'client=0.{number % 200}.{number % 250}.1'.encode()
        await app(_scope(query), receive, send)
    rate = rounds / (time.perf_counter() - started_s)
    assert json.loads(sent[-1])['entries']
    return rate


def _build_app(lookups: Lookups) -> Any:
    return build_app(
        forwarder=None,  # type: ignore[arg-type]
        lookups=lookups,
        metrics=SilentMetrics(),
        revision=lambda: 1,
        is_stopping=lambda: False,
        epoch_of=lambda _: 0,
    )


def _scope(query: bytes) -> dict[str, object]:
    return {
        'type': 'http',
        'asgi': {'version': '3.0'},
        'http_version': '1.1',
        'method': 'GET',
        'path': '/lookup',
        'raw_path': b'/lookup',
        'query_string': query,
        'root_path': '',
        'scheme': 'http',
        'headers': [],
        'client': ('127.0.0.1', 1),
        'server': ('127.0.0.1', 2),
    }


def _lookups(
    count: int, clients: client_map.ClientMap, chunks: list[bytes]
) -> Lookups:
    sizes = {f'region-{i}': max(1, count // REGIONS) for i in range(REGIONS)}
    configuration = build_fleet_configuration(sizes)
    sites = {f's{i}': f'region-{i % REGIONS}' for i in range(_SITES)}
    table = MemberTable()
    table.merge(
        Member(
            vm=f'vm-{number}',
            region=f'region-{number % REGIONS}',
            failure_domain='a',
            http='10.0.0.1:80',
            peer='10.0.0.1:81',
            incarnation=f'{number:016x}',
            generation=1,
            version=1,
            state=READY,
        )
        for number in range(count)
    )
    lookups = Lookups('region-0', table)
    snapshot = Snapshot(
        1, Head(1, {}), {}, _with_sites(configuration, sites), clients
    )
    lookups.update(snapshot)
    return lookups


def _with_sites(
    configuration: Configuration, sites: dict[str, str]
) -> Configuration:
    named = {name: Site(region=region) for name, region in sites.items()}
    return replace(configuration, sites=named)
