"""Resident memory of a node for each connection of a caller."""

from __future__ import annotations

import asyncio
from pathlib import Path
import tempfile

from gentianbank.cli.tables import render_table
from gentianbank_standins.soak.world import HOST
from gentianbank_standins.soak.world import SoakNode
from gentianbank_standins.soak.world import SoakWorld
from tests.support.hostile_callers import HostileCrowd
from tests.support.hostile_callers import HostileForm
from tests.support.hostile_callers import ProcessWatch

CALLERS = 1_000
SETTLE_S = 2.0
_GET = f'GET /missing HTTP/1.1\r\nHost: {HOST}\r\n\r\n'.encode()
_ORDER = f'POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\n'.encode()
_IDS = b'Request-Id: r\r\nDeadline-Ms: 60000\r\nAffinity-Key: 1\r\n'
_BODY = _ORDER + _IDS + b'Content-Length: 200000\r\n\r\n'
# Connections that have just been opened, or answered once, are idle; one with
# a body on its way is active; the others go to the edge of their limits.
FORMS = (
    HostileForm('idle, silent'),
    HostileForm('idle, answered once', _GET),
    HostileForm('active, 1 KB of a body', _BODY + b'a' * 1_000),
    HostileForm('hostile, 16 KB of a head', _ORDER + b'X: ' + b'a' * 16_000),
    HostileForm('hostile, 16 KB in headers', _ORDER + b'X: a\r\n' * 2_600),
    HostileForm('hostile, 150 KB of a body', _BODY + b'a' * 150_000),
    HostileForm('hostile, 50 KB of requests ahead', _GET * 1_000),
)


def run() -> None:
    """Measure the growth of a node's resident memory for each form."""
    rows = [asyncio.run(_measure(form)) for form in FORMS]
    print(render_table(['connection', 'bytes', 'peak bytes', 'open'], rows))


async def _measure(form: HostileForm) -> list[object]:
    with tempfile.TemporaryDirectory() as folder:
        limits = {'max_held_bytes': 1_000_000_000}
        world = SoakWorld(
            Path(folder), 1, 1, 0, extra_settings={'caller_limits': limits}
        )
        try:
            await world.start()
            return await _measure_node(world.nodes[0], form)
        finally:
            await world.stop()


async def _measure_node(node: SoakNode, form: HostileForm) -> list[object]:
    assert node.process is not None
    await asyncio.sleep(SETTLE_S)
    watch = ProcessWatch(node.process.pid)
    watch.begin()
    crowd = HostileCrowd(node.callers)
    try:
        await crowd.send(form, CALLERS, watch)
        grown = watch.growth_mb * 1_048_576 / CALLERS
        peak = watch.peak_growth_mb * 1_048_576 / CALLERS
        count = watch.extra_descriptors
        return [form.name, f'{grown:.0f}', f'{peak:.0f}', count]
    finally:
        crowd.close()
