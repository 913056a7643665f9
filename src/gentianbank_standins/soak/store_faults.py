"""Faults of the store after which its nodes must find together again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from gentianbank_standins.soak.faults import register_fault
from gentianbank_standins.soak.faults import SETTLE_S
from gentianbank_standins.soak.restores import AWAY_S
from gentianbank_standins.soak.restores import exceed_revision
from gentianbank_standins.soak.restores import restored_store

if TYPE_CHECKING:
    from gentianbank_standins.soak.schedule import Fault
    from gentianbank_standins.soak.world import SoakWorld

# Versions that the backup lacks.
LOST_VERSIONS = 3


@register_fault('store restored')
async def restore_store(world: SoakWorld, fault: Fault) -> None:
    """Let the store come back from a backup, one of two ways silently.

    The next version is written before its revision exceeds the one that the
    nodes know, or is written behind that one.
    """
    if world.store.is_away:
        return
    backup = world.store.take_backup()
    for _ in range(LOST_VERSIONS):
        world.write_configuration()
        await asyncio.sleep(fault.for_s / LOST_VERSIONS)
    known = world.store.revision
    for node in world.nodes:
        world.disturb(node, world.now_s() + AWAY_S + SETTLE_S)
    async with restored_store(world, backup, is_silent=fault.subject % 2 == 1):
        world.write_configuration()
        if fault.subject % 4 < 2:
            running = [t for t in world.targets if not t.restarting]
            exceed_revision(world, known, running)


@register_fault('store connections silent')
async def silence_connections(world: SoakWorld, fault: Fault) -> None:
    """Drop what the open connections of all nodes to the store carry."""
    for node in world.nodes:
        world.disturb(node, world.now_s() + SETTLE_S)
        node.link.stall()
