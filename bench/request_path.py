"""The request path through one node against the target alone."""

from __future__ import annotations

import asyncio
import time

import httpx

from bench.fleet import memory_mb
from bench.fleet import processor_s
from bench.fleet import start_fleet
from bench.fleet import VM
from gentianbank.cli.tables import render_table

REQUESTS = 1_600
IDLE_S = 10.0
CONCURRENCY = (1, 8, 32)
WORK_MS = 1.0
MAX_IN_FLIGHT = 4_000
PATH = '/stock/1?token=t'


def run() -> None:
    """Measure both ways in turns, in one run."""
    with start_fleet(WORK_MS, MAX_IN_FLIGHT) as fleet:
        place = fleet.configuration['services']['ordering']['places'][0]
        targets = [target['address'] for target in place['targets']]
        node = fleet.nodes[VM].http
        direct = [f'http://{address}{PATH}' for address in targets]
        through = [f'http://{node}/services/ordering{PATH}']
        pid = fleet.pid_of(VM)
        idle_s = processor_s(pid)
        time.sleep(IDLE_S)
        idle_s = processor_s(pid) - idle_s
        print(f'idle node: {idle_s / IDLE_S:.1%} of a core')
        rows = []
        for concurrency in CONCURRENCY:
            asyncio.run(_load(through, concurrency, 500))
            alone = asyncio.run(_load(direct, concurrency, REQUESTS))
            used_s = processor_s(pid)
            passed = asyncio.run(_load(through, concurrency, REQUESTS))
            used_s = processor_s(pid) - used_s
            rows.append(
                [
                    concurrency,
                    f'{_at(alone, 0.5):.2f}',
                    f'{_at(passed, 0.5):.2f}',
                    f'{_at(passed, 0.5) - _at(alone, 0.5):.2f}',
                    f'{_at(passed, 0.99) - _at(alone, 0.99):.2f}',
                    f'{REQUESTS / used_s:.0f}',
                ]
            )
        titles = (
            'at once',
            'direct p50 ms',
            'through p50 ms',
            'added p50 ms',
            'added p99 ms',
            'requests/s per core of the node',
        )
        print(render_table(titles, rows))
        print(f'resident memory of the node: {memory_mb(pid):.0f} MB')


async def _load(
    urls: list[str], concurrency: int, requests: int
) -> list[float]:
    durations_ms: list[float] = []
    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(limits=limits, trust_env=False) as client:

        async def work(worker: int) -> None:
            for number in range(requests // concurrency):
                url = urls[(worker + number) % len(urls)]
                started_s = time.perf_counter()
                answer = await client.get(url)
                answer.raise_for_status()
                duration_s = time.perf_counter() - started_s
                durations_ms.append(duration_s * 1_000)

        await asyncio.gather(*(work(w) for w in range(concurrency)))
    return sorted(durations_ms)


def _at(ordered: list[float], fraction: float) -> float:
    return ordered[int(len(ordered) * fraction)]
