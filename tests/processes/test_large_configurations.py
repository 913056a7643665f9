"""Real nodes on slow links that get large configurations."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from gentianbank_standins.soak.world import SoakNode
from gentianbank_standins.soak.world import SoakWorld

if TYPE_CHECKING:
    from pathlib import Path

NODES = 2
PATIENCE_S = 30.0
LINK_BYTES_PER_S = 5_000_000 / 8
# The largest value that the store takes, and one of 1,400 routes.
LARGEST_BYTES = 1_048_576
LARGE_BYTES = 277_000
VERSIONS = 6
GAP_S = 0.33


def version_in_force(world: SoakWorld, node: SoakNode) -> int:
    """Return the version that a node said last to be in force."""
    text = (world.folder / f'{node.vm}.log').read_text()
    lines = [json.loads(line) for line in text.splitlines()]
    versions = [
        line['version']
        for line in lines
        if line['message'] == 'configuration in force'
    ]
    return int(versions[-1]) if versions else 0


async def wait_in_force(world: SoakWorld) -> None:
    """Wait until the last version is in force on every node.

    The store keeps its history, without which the nodes would list anew.
    """
    async with asyncio.timeout(PATIENCE_S):
        for node in world.nodes:
            while version_in_force(world, node) < world.version:
                await asyncio.sleep(0.05)


def test_large_configurations_reach_nodes_on_slow_links(
    tmp_path: Path,
) -> None:
    # A limit on the whole answer ended each read, which was begun again.
    async def play() -> None:
        world = SoakWorld(tmp_path, NODES, 0, seed=0)
        try:
            await world.start()
            for node in world.nodes:
                node.link.bytes_per_s = LINK_BYTES_PER_S
            for _ in range(VERSIONS):
                world.write_configuration(LARGE_BYTES)
                await asyncio.sleep(GAP_S)
            await wait_in_force(world)
            world.write_configuration(LARGEST_BYTES)
            await wait_in_force(world)
            # A node that starts lists it.
            node = world.nodes[0]
            await world.kill(node)
            node.log.truncate(0)
            await world.launch(node)
            await wait_in_force(world)
        finally:
            await world.stop()

    asyncio.run(play())
