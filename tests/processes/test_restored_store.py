"""Real nodes while the store comes back from an older copy."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import httpx
import pytest

from gentianbank.domain.addresses import parse_address
from gentianbank_standins.soak.restores import AWAY_S
from gentianbank_standins.soak.restores import exceed_revision
from gentianbank_standins.soak.restores import restored_store
from gentianbank_standins.soak.world import HOST
from gentianbank_standins.soak.world import SoakNode
from gentianbank_standins.soak.world import SoakWorld

if TYPE_CHECKING:
    from pathlib import Path

    from gentianbank_standins.soak.world import SoakTarget
    from gentianbank_standins.users_store import StoreBackup

NODES = 3
TARGETS = 3
# Nodes of one region of which some read the store for the others.
REGION_NODES = 9
FOLLOWERS = 2
LOST_VERSIONS = 12
# Time in which requests must follow a version: configApplyMs and maxStretchMs
# of the users' rules.
FOLLOW_S = 2.0 + 6.0
# Time after a restore at which a node counts as in touch again.
SETTLE_S = 3.0
LEARN_S = 4.0
# Short enough that nodes go on to believe those that read the store for them.
SILENT_S = 1.0


class RestoredStore:
    """Real nodes that know versions which the backup does not have."""

    def __init__(self, world: SoakWorld) -> None:
        self.world = world
        self.backup: StoreBackup = world.store.take_backup()

    async def begin(self) -> None:
        """Start the nodes and let them follow versions that get lost."""
        await self.world.start()
        await self.wait_followed()
        self.backup = self.world.store.take_backup()
        for _ in range(LOST_VERSIONS):
            self.world.write_configuration()
        await self.wait_followed()

    async def restore(
        self,
        *,
        is_past: bool = False,
        away_s: float = AWAY_S,
        is_silent: bool = False,
    ) -> None:
        """Restore the store; the operator writes the next version at once.

        Parameters
        ----------
        is_past
            Whether the targets write so much before a node asks that the
            revision exceeds the one that the nodes know.
        """
        known = self.world.store.revision
        async with restored_store(
            self.world, self.backup, away_s=away_s, is_silent=is_silent
        ):
            if is_past:
                self.world.write_configuration()
                targets = self.world.targets
                exceed_revision(self.world, known, targets)
        if not is_past:
            self.world.write_configuration()

    async def refuse(self, node: SoakNode) -> None:
        """Let the store refuse the calls of a node."""
        host = parse_address(node.link.address).host
        self.world.store.faults.refused_hosts = frozenset((host,))
        node.link.reset()

    async def wait_followed(self, within_s: float = FOLLOW_S) -> None:
        """Wait until each node serves what only the newest version has."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + within_s
        while behind := await self._nodes_behind():
            left_s = end_s - loop.time()
            version = self.world.version
            assert left_s > 0, f'version {version} not followed by {behind}'
            await asyncio.sleep(0.1)

    async def wait_reached(self, target: SoakTarget) -> None:
        """Wait until a target got a request from each node."""
        target_id = target.app.target_id
        async with asyncio.timeout(FOLLOW_S):
            for node in self.world.nodes:
                while not any(
                    event.request_id.startswith(node.vm)
                    for event in self.world.journal.arrivals
                    if event.target_id == target_id
                ):
                    await self.ask(node, f'{node.vm}:{target_id}', '/read/1')
                    await asyncio.sleep(0.1)

    async def ask(self, node: SoakNode, request_id: str, path: str) -> int:
        """Return the status of an answer; 0 if the node does not listen."""
        headers = {
            'host': HOST,
            'request-id': request_id,
            'deadline-ms': '4000',
        }
        async with httpx.AsyncClient() as client:
            try:
                answer = await client.get(
                    f'http://{node.callers}{path}', headers=headers
                )
            except httpx.ConnectError:
                return 0
        return answer.status_code

    async def _nodes_behind(self) -> dict[str, int]:
        name = f'version-{self.world.version}'
        nodes = self.world.nodes
        statuses = [
            await self.ask(node, f'{name}-{node.vm}', f'/{name}/1')
            for node in nodes
        ]
        return {
            node.vm: status
            for node, status in zip(nodes, statuses, strict=True)
            if status != 200
        }


def play(case: Any, world: SoakWorld) -> None:
    """Run a case around which the world is started and stopped."""

    async def body() -> None:
        restored = RestoredStore(world)
        try:
            await restored.begin()
            await case(restored)
        finally:
            await world.stop()

    asyncio.run(body())


@pytest.fixture
def world(tmp_path: Path) -> SoakWorld:
    return SoakWorld(tmp_path, NODES, TARGETS, seed=0)


@pytest.fixture
def large_world(tmp_path: Path) -> SoakWorld:
    return SoakWorld(
        tmp_path,
        REGION_NODES,
        TARGETS,
        seed=0,
        store_settings={'followers_per_region': FOLLOWERS},
        domains={'east-1': 'east'},
    )


def test_version_after_a_restore_is_followed(world: SoakWorld) -> None:
    async def case(restored: RestoredStore) -> None:
        await restored.restore()
        await restored.wait_followed()

    play(case, world)


def test_version_before_revisions_pass_the_lost_ones_is_followed(
    world: SoakWorld,
) -> None:
    # Nodes went on with their watch from a revision of the lost history.
    async def case(restored: RestoredStore) -> None:
        await restored.restore(is_past=True)
        await restored.wait_followed()

    play(case, world)


def test_passive_nodes_follow_versions_after_a_restore(
    large_world: SoakWorld,
) -> None:
    # They dropped changes whose revisions were below that of their copy.
    async def case(restored: RestoredStore) -> None:
        await restored.restore(away_s=SILENT_S, is_silent=True)
        await asyncio.sleep(SETTLE_S)
        restored.world.write_configuration()
        await restored.wait_followed()

    play(case, large_world)


def test_target_registered_after_a_restore_gets_requests(
    world: SoakWorld,
) -> None:
    async def case(restored: RestoredStore) -> None:
        known = world.store.revision
        earlier = list(world.targets)
        target = await world.add_target()
        async with restored_store(world, restored.backup):
            for other in earlier:
                world.register(other, 'draining')
            exceed_revision(world, known, earlier)
        await restored.wait_reached(target)

    play(case, world)


def test_node_started_during_a_restore_follows_the_next_version(
    world: SoakWorld,
) -> None:
    async def case(restored: RestoredStore) -> None:
        await world.kill(world.nodes[0])
        await world.launch(world.nodes[0])
        await restored.restore(is_past=True)
        await restored.wait_followed()

    play(case, world)


@pytest.mark.parametrize('is_past', [False, True])
def test_node_refused_before_a_restore_learns_versions_from_peers(
    world: SoakWorld, is_past: bool
) -> None:
    # Peers sent only changes above the revision of its copy.
    async def case(restored: RestoredStore) -> None:
        await restored.refuse(world.nodes[0])
        await restored.restore(is_past=is_past)
        await restored.wait_followed()
        world.write_configuration()
        await restored.wait_followed()

    play(case, world)


def test_node_refused_after_a_restore_learns_versions_from_peers(
    world: SoakWorld,
) -> None:
    async def case(restored: RestoredStore) -> None:
        await restored.restore()
        await restored.wait_followed()
        await restored.refuse(world.nodes[0])
        for _ in range(2):
            world.write_configuration()
            await restored.wait_followed()

    play(case, world)


def test_entries_of_nodes_are_back_after_a_restore(world: SoakWorld) -> None:
    async def case(restored: RestoredStore) -> None:
        held = set(world.store.keys('nodes/'))
        for key in held:
            world.store.remove(key)
        restored.backup = world.store.take_backup()
        await restored.restore()
        await asyncio.sleep(LEARN_S)
        assert set(world.store.keys('nodes/')) == held

    play(case, world)
