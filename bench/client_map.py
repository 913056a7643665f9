"""Memory and build time of the client map, by the number of blocks."""

from __future__ import annotations

import os
import random
import subprocess
import sys
import time

from bench.slopes import fit_line
from gentianbank.cli.tables import render_table
from gentianbank.domain import client_map

SIZES = (100_000, 200_000, 400_000)
FULL_SIZE = 2_000_000
SITES = 2_000
PREFIX_LENGTH = 24
FINDS = 200_000
_BYTES_PER_MB = 1_000_000


def run() -> None:
    """Measure in a fresh process for each size, the full one at last."""
    rows = []
    points = []
    for size in (*SIZES, FULL_SIZE):
        answer = subprocess.run(
            [sys.executable, '-m', 'bench.client_map', str(size)],
            capture_output=True,
            text=True,
            check=True,
        )
        values = [float(text) for text in answer.stdout.split()]
        rows.append([size, *(f'{value:.2f}' for value in values)])
        points.append(values)
    titles = ('blocks', 'chunks MB', 'map MB', 'build s', 'find us')
    print(render_table(titles, rows))
    line = fit_line(SIZES, [point[1] for point in points[: len(SIZES)]])
    print(f'map: {line.slope * 1e6:.2f} bytes per block (slope)')
    print(f'at {FULL_SIZE} blocks the slope gives {line.at(FULL_SIZE):.1f} MB')


def measure(size: int) -> None:
    """Print the figures of one size."""
    chunks = build_chunks(size)
    before = resident_bytes()
    started_s = time.perf_counter()
    built = client_map.build_client_map(chunks)
    build_s = time.perf_counter() - started_s
    map_mb = (resident_bytes() - before) / _BYTES_PER_MB
    chunks_mb = sum(map(len, chunks)) / _BYTES_PER_MB
    rng = random.Random(1)
    clients = [f'10.{rng.randrange(64)}.1.1' for _ in range(1000)]
    started_s = time.perf_counter()
    for number in range(FINDS):
        built.site_of(clients[number % 1000])
    find_us = (time.perf_counter() - started_s) / FINDS * 1e6
    print(chunks_mb, map_mb, build_s, find_us)


def build_chunks(size: int) -> list[bytes]:
    """Return the packed chunks of many neighbouring blocks."""
    rows = [
        (
            4,
            number << (32 - PREFIX_LENGTH),
            PREFIX_LENGTH,
            f's{number % SITES}',
        )
        for number in range(size)
    ]
    step = client_map.BLOCKS_PER_CHUNK
    return [
        client_map.pack_rows(rows[start : start + step])
        for start in range(0, size, step)
    ]


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open('/proc/self/statm', encoding='ascii') as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


if __name__ == '__main__':
    measure(int(sys.argv[1]))
