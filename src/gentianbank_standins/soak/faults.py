"""The faults that a soak plays, each from outside the nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import signal
from typing import TYPE_CHECKING

from gentianbank_standins.soak.links import LinkState
from gentianbank_standins.soak.promises import NOT_RUN_STATUSES
from gentianbank_standins.soak.world import COLD_FACTOR
from gentianbank_standins.soak.world import COLD_PER_S
from gentianbank_standins.soak.world import COLD_SLACK
from gentianbank_standins.soak.world import COLD_START_S
from gentianbank_standins.soak.world import STOP_S
from gentianbank_standins.users_targets import ColdPeriod
from gentianbank_standins.users_targets import LimitPeriod

if TYPE_CHECKING:
    from gentianbank_standins.soak.schedule import Fault
    from gentianbank_standins.soak.world import SoakNode
    from gentianbank_standins.soak.world import SoakTarget
    from gentianbank_standins.soak.world import SoakWorld

# A node counts as disturbed for so long after a fault at it has ended.
SETTLE_S = 3.0
RESTART_S = 0.3
SLOW_FACTOR = 6.0
FEW_REQUESTS = 5
# Time in which nodes without a fault learn that a target leaves.
DRAIN_S = 3.0
SLOW_STORE_MS = 300.0
# Time for which a target is down before it starts again.
DOWN_S = (0.05, 0.5, 2.0)
NO_NUMBERS = ('inf', 'nan', '0', '-100', '1e400', '9' * 400)
LIMITS_PER_S = (0.2, 2.5, 4.0)
# Long enough that the limit binds for a while.
LIMITED_S = 6.0

Play = Callable[['SoakWorld', 'Fault'], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class FaultKind:
    """A kind of fault and how often it comes, relative to the others."""

    play: Play
    weight: float


FAULTS: dict[str, FaultKind] = {}


def register_fault(kind: str, weight: float = 1.0) -> Callable[[Play], Play]:
    """Register how a kind of fault is played."""

    def register(play: Play) -> Play:
        FAULTS[kind] = FaultKind(play, weight)
        return play

    return register


@register_fault('node stopped', 2.0)
async def stop_node(world: SoakWorld, fault: Fault) -> None:
    """Ask a node to stop and start it again after its end."""
    node = _node(world, fault)
    if node.stopping or node.process is None:
        return
    node.stopping = True
    world.send_signal(node, signal.SIGTERM)
    try:
        async with asyncio.timeout(STOP_S + 1.0):
            await node.process.wait()
    except TimeoutError:
        world.disturb(node, world.now_s() + SETTLE_S)
        await world.kill(node)
    await asyncio.sleep(RESTART_S)
    await world.launch(node)


@register_fault('node killed')
async def kill_node(world: SoakWorld, fault: Fault) -> None:
    """Kill a node and start it again."""
    node = _node(world, fault)
    if node.stopping:
        return
    node.stopping = True
    world.disturb(node, world.now_s() + fault.for_s + SETTLE_S)
    await world.kill(node)
    await asyncio.sleep(fault.for_s)
    await world.launch(node)


@register_fault('node paused')
async def pause_node(world: SoakWorld, fault: Fault) -> None:
    """Let a node stand still for a while."""
    node = _node(world, fault)
    if node.stopping:
        return
    world.disturb(node, world.now_s() + fault.for_s + SETTLE_S)
    world.send_signal(node, signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    world.send_signal(node, signal.SIGCONT)


@register_fault('settings read again', 0.5)
async def hang_up_node(world: SoakWorld, fault: Fault) -> None:
    """Tell a node that its settings have changed, twice."""
    node = _node(world, fault)
    if node.stopping:
        return
    for _ in range(2):
        world.send_signal(node, signal.SIGHUP)
        await asyncio.sleep(0.05)


@register_fault('store cut off')
async def cut_store(world: SoakWorld, fault: Fault) -> None:
    """Cut one node off from the store, in one of three ways."""
    node = _node(world, fault)
    ways = (LinkState.SILENT, LinkState.DEAF, LinkState.REFUSING)
    node.link.set_state(ways[fault.subject % len(ways)])
    world.disturb(node, world.now_s() + fault.for_s + SETTLE_S)
    await asyncio.sleep(fault.for_s)
    node.link.set_state(LinkState.WHOLE)


@register_fault('store connections reset')
async def reset_store(world: SoakWorld, fault: Fault) -> None:
    """Reset the connections of all nodes to the store."""
    for node in world.nodes:
        node.link.reset()


@register_fault('store busy')
async def busy_store(world: SoakWorld, fault: Fault) -> None:
    """Let the store refuse every call."""
    await spoil_store(world, fault, 'busy')


@register_fault('store silent')
async def silent_store(world: SoakWorld, fault: Fault) -> None:
    """Let the store answer nothing."""
    await spoil_store(world, fault, 'silent')


@register_fault('store slow')
async def slow_store(world: SoakWorld, fault: Fault) -> None:
    """Let the store answer late."""
    world.store.faults.delay_ms = SLOW_STORE_MS
    await asyncio.sleep(fault.for_s)
    world.store.faults.delay_ms = 0.0


@register_fault('store history gone')
async def forget_history(world: SoakWorld, fault: Fault) -> None:
    """Let the store drop its history."""
    world.store.forget_history()


@register_fault('configuration changed')
async def change_configuration(world: SoakWorld, fault: Fault) -> None:
    """Write several versions in quick succession."""
    for _ in range(1 + fault.subject % 4):
        world.write_configuration()
        await asyncio.sleep(0.1)


@register_fault('entry unreadable', 0.5)
async def write_nonsense(world: SoakWorld, fault: Fault) -> None:
    """Write an entry that nobody can read, and remove it."""
    key = f'servers/nonsense-{fault.subject}'
    world.store.write(key, b'\xff{"service":')
    await asyncio.sleep(fault.for_s)
    world.store.remove(key)


@register_fault('target leaves', 1.5)
async def drain_target(world: SoakWorld, fault: Fault) -> None:
    """Let a target say that it leaves, and come back later."""
    target = pick_target(world, fault)
    if target.leaving:
        return
    target.leaving = True
    loop = asyncio.get_running_loop()
    world.register(target, 'draining')
    if _is_calm(world):
        target.app.closed_s = loop.time() + DRAIN_S
    await asyncio.sleep(DRAIN_S + fault.for_s)
    target.app.closed_s = 0.0
    world.register(target)
    target.leaving = False


@register_fault('target loses answers')
async def lose_answers(world: SoakWorld, fault: Fault) -> None:
    """Let a target run requests and break off the connections."""
    pick_target(world, fault).app.faults.lose_next = FEW_REQUESTS


@register_fault('target rejects')
async def reject_requests(world: SoakWorld, fault: Fault) -> None:
    """Let a target reject requests as not run."""
    pick_target(world, fault).app.faults.refuse_next = FEW_REQUESTS


@register_fault('target slow')
async def slow_target(world: SoakWorld, fault: Fault) -> None:
    """Let the work of a target take longer."""
    faults = pick_target(world, fault).app.faults
    faults.slow_factor = SLOW_FACTOR
    await asyncio.sleep(fault.for_s)
    faults.slow_factor = 1.0


@register_fault('target limited')
async def limit_target(world: SoakWorld, fault: Fault) -> None:
    """Let a target name a limit on the requests of all nodes."""
    app = pick_target(world, fault).app
    if app.faults.limit_per_s:
        return
    loop = asyncio.get_running_loop()
    begin_s = loop.time()
    limit_per_s = LIMITS_PER_S[fault.subject % len(LIMITS_PER_S)]
    app.faults.limit_per_s = limit_per_s
    await asyncio.sleep(LIMITED_S + fault.for_s)
    app.faults.limit_per_s = 0.0
    world.journal.limit_periods.append(
        LimitPeriod(app.target_id, limit_per_s, begin_s, loop.time())
    )


@register_fault('target cut off', 1.5)
async def cut_target(world: SoakWorld, fault: Fault) -> None:
    """Cut a target off, in one of three ways."""
    link = pick_target(world, fault).link
    ways = (LinkState.SILENT, LinkState.DEAF, LinkState.REFUSING)
    link.set_state(ways[fault.subject % len(ways)])
    await asyncio.sleep(fault.for_s)
    link.set_state(LinkState.WHOLE)


@register_fault('target restarted', 1.5)
async def restart_target(world: SoakWorld, fault: Fault) -> None:
    """End a target and start it again under its id, cold.

    Its entry comes late, as if the store had been slow to take it.
    """
    target = pick_target(world, fault)
    if target.restarting or target.leaving:
        return
    target.restarting = True
    await start_again(world, target, fault)
    await asyncio.sleep(fault.for_s)
    world.register(target)
    target.restarting = False


@register_fault('target reports no number')
async def spoil_reports(world: SoakWorld, fault: Fault) -> None:
    """Let the load reports of a target have a figure that is no number."""
    faults = pick_target(world, fault).app.faults
    faults.slowdown = NO_NUMBERS[fault.subject % len(NO_NUMBERS)]
    await asyncio.sleep(fault.for_s)
    faults.slowdown = '100'


@register_fault('target answers without end')
async def answer_without_end(world: SoakWorld, fault: Fault) -> None:
    """Let a target send bodies that go on until the caller closes."""
    pick_target(world, fault).app.faults.endless_next = FEW_REQUESTS


@register_fault('target fails what ran')
async def fail_after_run(world: SoakWorld, fault: Fault) -> None:
    """Let a target answer requests that ran by a promise of "not run"."""
    faults = pick_target(world, fault).app.faults
    statuses = sorted(NOT_RUN_STATUSES)
    faults.failure_status = statuses[fault.subject % len(statuses)]
    faults.fail_next = FEW_REQUESTS


@register_fault('target far', 0.5)
async def delay_target(world: SoakWorld, fault: Fault) -> None:
    """Let bytes to and from a target take longer."""
    link = pick_target(world, fault).link
    link.delay_ms = SLOW_STORE_MS
    await asyncio.sleep(fault.for_s)
    link.delay_ms = 0.0


@register_fault('target connections reset')
async def reset_target(world: SoakWorld, fault: Fault) -> None:
    """Reset the connections to a target."""
    pick_target(world, fault).link.reset()


async def start_again(
    world: SoakWorld, target: SoakTarget, fault: Fault
) -> None:
    """End a target and start it again, cold; its entry stays as it is."""
    app = target.app
    target.link.set_state(LinkState.REFUSING)
    await asyncio.sleep(DOWN_S[fault.subject % len(DOWN_S)])
    loop = asyncio.get_running_loop()
    begin_s = loop.time()
    app.cold_until_s = begin_s + COLD_START_S
    app.faults.says_leaving = False
    app.born += 1
    target.link.set_state(LinkState.WHOLE)
    world.journal.cold_periods.append(
        ColdPeriod(
            app.target_id,
            COLD_PER_S * COLD_FACTOR + COLD_SLACK,
            begin_s,
            app.cold_until_s,
        )
    )


async def spoil_store(world: SoakWorld, fault: Fault, answers: str) -> None:
    """Let the store answer otherwise for the time of a fault."""
    for node in world.nodes:
        world.disturb(node, world.now_s() + fault.for_s + SETTLE_S)
    world.store.faults.answers = answers
    await asyncio.sleep(fault.for_s)
    world.store.faults.answers = ''
    # Connections that got no answer are given up by their callers.


def _is_calm(world: SoakWorld) -> bool:
    """Tell whether every node should hear of a change at once."""
    faults = world.store.faults
    if faults.answers or faults.delay_ms:
        return False
    now_s = world.now_s()
    return all(node.disturbed_s < now_s for node in world.nodes)


def _node(world: SoakWorld, fault: Fault) -> SoakNode:
    return world.nodes[fault.subject % len(world.nodes)]


def pick_target(world: SoakWorld, fault: Fault) -> SoakTarget:
    """Return the target of a fault."""
    return world.targets[fault.subject % len(world.targets)]
