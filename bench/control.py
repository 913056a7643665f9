"""Cost of control by the size of the fleet, on a virtual clock.

Real agents, keepers and borrowers run over fakes; their messages are
encoded and counted. Processor time is that of one process which runs all
nodes, so it holds the fakes' share, too.
"""

from __future__ import annotations

import gc
import time

from bench.client_map import resident_bytes
from bench.slopes import fit_line
from gentianbank.cli.tables import render_table
from tests.support.control_world import build_fleet_configuration
from tests.support.control_world import change_cache
from tests.support.control_world import ControlWorld

REGIONS = 3
SIZES = (7, 70, 700)
REGION_COUNTS = (3, 9, 27)
NODES_PER_REGION = 4
SETTLE_S = 15.0
STEADY_S = 10.0
_BYTES_PER_KB = 1_000


def run() -> None:
    """Measure fleets of several sizes and the spread of a change."""
    rows = []
    points = []
    for nodes in SIZES:
        values = measure(nodes)
        points.append(values)
        rows.append([nodes, *(f'{value:.4g}' for value in values)])
    titles = (
        'nodes',
        'store calls/s',
        'messages/s per node',
        'mean B/s per node',
        'highest B/s of a node',
        'cpu ms/s per node',
        'state KB per node',
        'change in force s',
        'highest B of a node for a change',
    )
    print(render_table(titles, rows))
    print('\nfour nodes a region, by the number of regions')
    rows = []
    for regions in REGION_COUNTS:
        values = measure(regions * NODES_PER_REGION, regions)
        rows.append([regions, *(f'{value:.4g}' for value in values)])
    print(render_table(('regions', *titles[1:]), rows))
    calls = fit_line(SIZES, [point[0] for point in points])
    print(f'store calls/s per node added: {calls.slope:.5f} (slope)')
    state = fit_line(SIZES, [point[5] for point in points])
    print(f'state: {state.slope * _BYTES_PER_KB:.0f} bytes per node known')


def measure(nodes: int, regions: int = REGIONS) -> list[float]:
    """Return the figures of one size."""
    per_region = [nodes // regions] * regions
    per_region[0] += nodes - sum(per_region)
    sizes = {f'region-{i}': n for i, n in enumerate(per_region)}
    gc.collect()
    before = resident_bytes()
    world = ControlWorld(sizes)
    world.start_all()
    configuration = build_fleet_configuration(sizes)
    world.accept(configuration)
    world.advance(SETTLE_S)
    gc.collect()
    state_kb = (resident_bytes() - before) / nodes / _BYTES_PER_KB
    for node in world.nodes.values():
        node.store.calls.clear()
    world.sent_messages.clear()
    world.count_bytes = True
    started_s = time.process_time()
    world.advance(STEADY_S)
    cpu_s = time.process_time() - started_s
    calls = world.store_calls().total() / STEADY_S
    messages = world.sent_messages.total() / STEADY_S / nodes
    total = sum(world.bytes_by_node.values())
    mean_bytes = total / STEADY_S / nodes
    highest = max(world.bytes_by_node.values()) / STEADY_S
    world.bytes_by_node.clear()
    world.accept(change_cache(configuration, 5_000))
    changed_s = world.now_s()
    while set(world.revisions_in_force().values()) != {2}:
        world.advance(0.05)
    in_force_s = world.now_s() - changed_s
    change_bytes = max(world.bytes_by_node.values(), default=0)
    world.close()
    cpu_ms = cpu_s / STEADY_S / nodes * 1_000
    return [
        calls,
        messages,
        mean_bytes,
        highest,
        cpu_ms,
        state_kb,
        in_force_s,
        change_bytes,
    ]
