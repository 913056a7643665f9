"""Memory of a node while a caller reads a large answer slowly."""

from __future__ import annotations

import time

import httpx

from bench.fleet import memory_mb
from bench.fleet import start_fleet
from bench.fleet import VM
from gentianbank.cli.tables import render_table

SIZES_MB = (50, 200, 1_000)
RATE_MB_PER_S = 60
WORK_MS = 1.0
MAX_IN_FLIGHT = 4_000
_BYTES_PER_MB = 1_000_000


def run() -> None:
    """Download three sizes at a limited rate."""
    rows = []
    with start_fleet(WORK_MS, MAX_IN_FLIGHT) as fleet:
        pid = fleet.pid_of(VM)
        base = f'http://{fleet.nodes[VM].http}/services/documents/drawings'
        for size_mb in SIZES_MB:
            before_mb = memory_mb(pid)
            highest_mb = before_mb
            received = 0
            started_s = time.monotonic()
            url = f'{base}/{size_mb * _BYTES_PER_MB}?token=t'
            with httpx.stream('GET', url, timeout=30) as answer:
                for number, chunk in enumerate(answer.iter_raw()):
                    received += len(chunk)
                    rate = RATE_MB_PER_S * _BYTES_PER_MB
                    due_s = started_s + received / rate
                    time.sleep(max(0.0, due_s - time.monotonic()))
                    if number % 100 == 0:
                        highest_mb = max(highest_mb, memory_mb(pid))
            assert received == size_mb * _BYTES_PER_MB
            rows.append(
                [size_mb, f'{before_mb:.1f}', f'{highest_mb - before_mb:.1f}']
            )
    titles = ('size MB', 'before MB', 'added MB')
    print(render_table(titles, rows))
