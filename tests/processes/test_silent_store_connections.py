"""Real nodes whose connections to the store fall silent without a reset."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import httpx
import pytest

from gentianbank_standins.soak.world import HOST
from gentianbank_standins.soak.world import SoakNode
from gentianbank_standins.soak.world import SoakWorld

if TYPE_CHECKING:
    from pathlib import Path

NODES = 2
PATIENCE_S = 30.0
# stableWindowMs of the users' rules: so long after the silence began a node
# counts as in touch again.
SETTLE_S = 3.0
# Time after a change in which the nodes' next watches have begun.
PHASES_S = (0.6, 1.2)


async def version_status(world: SoakWorld, node: SoakNode) -> int:
    """Return the status of a request that only the newest version allows."""
    name = f'version-{world.version}'
    headers = {
        'host': HOST,
        'request-id': f'{name}-{node.vm}-{world.now_s():.3f}',
        'deadline-ms': '4000',
    }
    async with httpx.AsyncClient() as client:
        answer = await client.get(
            f'http://{node.callers}/{name}/1', headers=headers
        )
    return answer.status_code


async def wait_followed(world: SoakWorld) -> None:
    async with asyncio.timeout(PATIENCE_S):
        for node in world.nodes:
            while await version_status(world, node) != 200:
                await asyncio.sleep(0.05)


@pytest.mark.parametrize('phase_s', PHASES_S)
def test_watch_on_a_silent_connection_delays_no_version(
    tmp_path: Path, phase_s: float
) -> None:
    # A node noticed the silence after the wait of its watch, up to 5.1 s.
    async def play() -> None:
        world = SoakWorld(tmp_path, NODES, 1, seed=0)
        try:
            await world.start()
            await asyncio.sleep(SETTLE_S)
            world.write_configuration()
            await wait_followed(world)
            await asyncio.sleep(phase_s)
            for node in world.nodes:
                node.link.stall()
            world.write_configuration()
            await asyncio.sleep(SETTLE_S)
            statuses = [
                await version_status(world, node) for node in world.nodes
            ]
            assert statuses == [200] * NODES
            for node in world.nodes:
                text = (world.folder / f'{node.vm}.log').read_text()
                lines = [json.loads(line) for line in text.splitlines()]
                assert any(line['message'] == 'store lost' for line in lines)
        finally:
            await world.stop()

    asyncio.run(play())
