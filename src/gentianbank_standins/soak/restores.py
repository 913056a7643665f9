"""A restore of the store from a backup, while the nodes go on."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

    from gentianbank_standins.soak.world import SoakTarget
    from gentianbank_standins.soak.world import SoakWorld
    from gentianbank_standins.users_store import StoreBackup

AWAY_S = 0.5


@asynccontextmanager
async def restored_store(
    world: SoakWorld,
    backup: StoreBackup,
    *,
    away_s: float = AWAY_S,
    is_silent: bool = False,
) -> AsyncIterator[None]:
    """Let the store go away and come back with the content of a backup.

    What the body of the context writes is there when it answers again, after
    what operator and targets had written. A silent store leaves connections
    open on which nothing comes any more.
    """
    world.store.go_away(is_silent=is_silent)
    if not is_silent:
        for node in world.nodes:
            node.link.reset()
    await asyncio.sleep(away_s)
    world.store.restore(backup)
    world.write_again()
    yield
    world.store.come_back()


def exceed_revision(
    world: SoakWorld, revision: int, targets: Sequence[SoakTarget]
) -> None:
    """Let targets write their entries until a revision is exceeded."""
    while world.store.revision <= revision:
        for target in targets:
            world.register(target, target.state)
