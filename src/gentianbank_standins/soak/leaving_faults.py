"""Faults of a soak in which targets say in their answers that they leave."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from gentianbank_standins.soak.faults import pick_target
from gentianbank_standins.soak.faults import register_fault
from gentianbank_standins.soak.faults import spoil_store
from gentianbank_standins.soak.faults import start_again
from gentianbank_standins.soak.leaving import DRAIN_S

if TYPE_CHECKING:
    from gentianbank_standins.soak.schedule import Fault
    from gentianbank_standins.soak.world import SoakTarget
    from gentianbank_standins.soak.world import SoakWorld

# Time for which an outage of the store lasts beside the fault itself.
OUTAGE_S = DRAIN_S + 3.0


@register_fault('target says it leaves and ends')
async def leave_for_good(world: SoakWorld, fault: Fault) -> None:
    """Let a target leave; another one starts at its address.

    Its entry says so late, or is only removed.
    """
    target = pick_target(world, fault)
    if not _begin(target):
        return
    key = f'servers/{target.app.target_id}'
    await asyncio.sleep(fault.for_s)
    if fault.subject % 2:
        world.register(target, 'draining')
    else:
        world.store.remove(key)
    await asyncio.sleep(DRAIN_S + fault.for_s)
    world.store.remove(key)
    name = target.app.target_id.partition('+')[0]
    target.app.target_id = f'{name}+{target.app.born}'
    await start_again(world, target, fault)
    world.register(target)
    target.leaving = False


@register_fault('target says it leaves and comes back')
async def leave_and_come_back(world: SoakWorld, fault: Fault) -> None:
    """Let a target leave and start again under its id; its entry is late."""
    target = pick_target(world, fault)
    if not _begin(target):
        return
    await asyncio.sleep(DRAIN_S + fault.for_s)
    await _come_back(world, target, fault)


@register_fault('service says it leaves', 0.5)
async def leave_together(world: SoakWorld, fault: Fault) -> None:
    """Let all targets leave at once, or all but one, and come back."""
    but_one = fault.subject % 2
    leaving = [target for target in world.targets[but_one:] if _begin(target)]
    await asyncio.sleep(fault.for_s)
    for target in leaving:
        world.register(target, 'draining')
    await asyncio.sleep(DRAIN_S)
    await asyncio.gather(
        *(_come_back(world, target, fault) for target in leaving)
    )


@register_fault('target says it leaves in an outage')
async def leave_in_outage(world: SoakWorld, fault: Fault) -> None:
    """Let a target leave and come back while the store is away."""
    outage = dataclasses.replace(fault, for_s=OUTAGE_S + fault.for_s)
    answers = 'silent' if fault.subject % 2 else 'busy'
    await asyncio.gather(
        spoil_store(world, outage, answers), leave_and_come_back(world, fault)
    )


def _begin(target: SoakTarget) -> bool:
    """Let a target say that it leaves; return whether it did not yet."""
    if target.leaving or target.restarting:
        return False
    target.leaving = True
    target.app.faults.says_leaving = True
    return True


async def _come_back(
    world: SoakWorld, target: SoakTarget, fault: Fault
) -> None:
    await start_again(world, target, fault)
    await asyncio.sleep(fault.for_s)
    world.register(target)
    target.leaving = False
