"""Real nodes over targets whose answers say that they leave."""

from __future__ import annotations

import asyncio
import statistics
from typing import Any
from typing import TYPE_CHECKING

import httpx
import pytest

from gentianbank_standins.soak.callers import Caller
from gentianbank_standins.soak.leaving import DRAIN_S
from gentianbank_standins.soak.links import LinkState
from gentianbank_standins.soak.world import HOST
from gentianbank_standins.soak.world import READ_TIMEOUT_MS
from gentianbank_standins.soak.world import SoakWorld
from gentianbank_standins.users_targets import TargetEvent
from tests.support.leaving_nodes import COUNTED_S
from tests.support.leaving_nodes import PATIENCE_S
from tests.support.leaving_nodes import Play
from tests.support.raw_targets import raw_targets

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable
    from pathlib import Path

    from gentianbank_standins.soak.world import SoakNode
    from tests.support.raw_targets import RawRequest

    Test = Callable[[Play], Awaitable[None]]

NODES = 2
TARGETS = 3
# So many, and work so slow, that each target gets requests of each node.
CALLERS = 20
SLOW_FACTOR = 4.0
# So many that requests wait for room.
MANY_CALLERS = 40
WARM_UP_S = 1.0
ALWAYS = 1_000_000
# Work that outlasts the requests.
BUSY_FACTOR = 60.0
HELD_REQUESTS = 3
RAW_SLOTS = 20
LEAVING_LINE = 'Server-Leaving: 1'
# Idle connections to a target are closed by then.
IDLE_S = 7.0
SILENT_S = 2.0
_MS_PER_S = 1_000


@pytest.fixture
def run(tmp_path: Path) -> Callable[..., None]:
    """Run a test over a world with callers on kept connections."""

    async def start(
        test: Test, play: Play, callers: int, targets: int
    ) -> None:
        world = play.world
        tasks = []
        try:
            await world.start()
            for target in world.targets:
                target.app.faults.slow_factor = SLOW_FACTOR
            tasks = [
                asyncio.create_task(
                    Caller(world, play.promises, number).run(float('inf'))
                )
                for number in range(callers)
            ]
            if targets:
                await asyncio.sleep(WARM_UP_S)
            await test(play)
            for task in tasks:
                # A caller that has failed would send nothing more.
                assert not task.done()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await world.stop()

    def play(
        test: Test, *, callers: int = CALLERS, targets: int = TARGETS
    ) -> None:
        world = SoakWorld(tmp_path, NODES, targets, seed=0)
        asyncio.run(start(test, Play(world), callers, targets))

    return play


def test_drain_kept_connections_carry_no_requests(run: Any) -> None:
    async def test(play: Play) -> None:
        await play.leave(0)
        await play.count()
        assert play.late() == []

    run(test)


@pytest.mark.parametrize('kind', ['rejected', 'failed', 'cut'])
def test_drain_answers_that_are_no_success_count(run: Any, kind: str) -> None:
    async def test(play: Play) -> None:
        faults = play.world.targets[0].app.faults
        if kind == 'rejected':
            faults.refuse_next = ALWAYS
        elif kind == 'failed':
            faults.failure_status = 500
            faults.fail_next = ALWAYS
        else:
            faults.lose_next = ALWAYS
        await play.leave(0)
        await play.count()
        assert play.late() == []

    run(test, targets=1)


def test_drain_interim_answers_count(run: Any) -> None:
    async def test(play: Play) -> None:
        async def answer(request: RawRequest) -> AsyncIterator[bytes]:
            _note_arrival(play, request, says_leaving=True)
            yield request.head(103, LEAVING_LINE) + request.success()

        async with raw_targets(play.world, answer, None) as targets:
            targets[0].fault_period = 1
            targets[0].leaves = True
            await play.wait_heard('raw-0')
            await play.count()
            assert play.late() == []

    run(test, targets=0)


def test_drain_retries_of_rejected_requests_go_elsewhere(run: Any) -> None:
    async def test(play: Play) -> None:
        for target in play.world.targets[1:]:
            target.app.faults.refuse_next = ALWAYS
        await play.leave(0)
        await play.count()
        arrivals = [event.request_id for event in play.world.journal.arrivals]
        assert len(arrivals) > len(set(arrivals))
        assert play.late() == []

    run(test)


def test_drain_requests_that_wait_for_room_go_elsewhere(run: Any) -> None:
    async def test(play: Play) -> None:
        for target in play.world.targets[1:]:
            target.app.faults.slow_factor = BUSY_FACTOR
        await play.leave(0)
        await play.count()
        assert play.late() == []

    run(test, callers=MANY_CALLERS)


@pytest.mark.parametrize('answers', ['silent', 'busy'])
def test_drain_holds_while_the_store_is_away_and_after(
    run: Any, answers: str
) -> None:
    async def test(play: Play) -> None:
        play.world.store.faults.answers = answers
        await asyncio.sleep(WARM_UP_S)
        await play.leave(0)
        await play.count()
        play.world.store.faults.answers = ''
        await asyncio.sleep(COUNTED_S)
        assert play.late() == []

    run(test)


@pytest.mark.parametrize('is_removed', [False, True])
def test_drain_holds_when_the_entry_is_written_again_as_ready(
    run: Any, is_removed: bool
) -> None:
    async def test(play: Play) -> None:
        target = play.world.targets[0]
        await play.leave(0)
        if is_removed:
            play.world.store.remove(f'servers/{target.app.target_id}')
            await asyncio.sleep(WARM_UP_S)
        play.world.register(target)
        await play.count()
        assert play.late() == []

    run(test)


def test_drain_last_target_left_gets_nothing_and_callers_hear_it_at_once(
    run: Any,
) -> None:
    async def test(play: Play) -> None:
        await play.leave(*range(TARGETS))
        await asyncio.sleep(DRAIN_S)
        for node in play.world.nodes:
            refusals = [await ask(node, f'{node.vm}-{n}') for n in range(10)]
            assert [r.status_code for r in refusals] == [503] * 10
            for refusal in refusals:
                assert float(refusal.headers['retry-after']) > 0
            took_s = [r.elapsed.total_seconds() for r in refusals]
            limit_s = READ_TIMEOUT_MS / _MS_PER_S / 2
            assert statistics.median(took_s) < limit_s
        arrivals = {event.request_id for event in play.world.journal.arrivals}
        assert not {name for name in arrivals if name.startswith('vm-')}
        await asyncio.sleep(COUNTED_S)
        assert play.late() == []

    run(test)


@pytest.mark.parametrize(
    ('answers', 'idle_s'), [('', 0.0), ('busy', 0.0), ('silent', IDLE_S)]
)
def test_drain_ends_for_a_target_that_starts_again(
    run: Any, answers: str, idle_s: float
) -> None:
    async def test(play: Play) -> None:
        play.world.store.faults.answers = answers
        await asyncio.sleep(WARM_UP_S)
        await play.leave(0)
        await asyncio.sleep(idle_s)
        await play.restart(0)
        if not answers:
            play.world.register(play.world.targets[0])
        async with asyncio.timeout(PATIENCE_S):
            while len(play.served_by(0)) < NODES:
                await asyncio.sleep(0.1)

    run(test)


@pytest.mark.parametrize(
    'state', [LinkState.SILENT, LinkState.DEAF, LinkState.REFUSING]
)
def test_drain_holds_for_a_target_that_was_only_silent(
    run: Any, state: LinkState
) -> None:
    async def test(play: Play) -> None:
        play.world.store.faults.answers = 'busy'
        await asyncio.sleep(WARM_UP_S)
        await play.leave(0)
        link = play.world.targets[0].link
        link.set_state(state)
        await asyncio.sleep(SILENT_S)
        link.set_state(LinkState.WHOLE)
        await play.count()
        assert play.late() == []

    run(test)


def test_drain_answers_of_earlier_requests_that_come_later_undo_nothing(
    run: Any,
) -> None:
    async def test(play: Play) -> None:
        held: set[str] = set()
        released = asyncio.Event()

        async def answer(request: RawRequest) -> AsyncIterator[bytes]:
            is_held = len(held) < HELD_REQUESTS
            _note_arrival(play, request, says_leaving=not is_held)
            if is_held:
                held.add(request.request_id)
                await released.wait()
                yield request.success()
                return
            status, _, rest = request.success().partition(b'\r\n')
            yield b'\r\n'.join((status, LEAVING_LINE.encode(), rest))

        async with raw_targets(
            play.world, answer, None, slots=RAW_SLOTS
        ) as targets:
            targets[0].fault_period = 1
            await play.wait_heard('raw-0')
            targets[0].leaves = True
            released.set()
            await play.count()
            late_answers = [
                attempt
                for attempt in play.promises.attempts
                if attempt.request_id in held and attempt.status == 200
            ]
            assert late_answers
            assert play.late() == []

    run(test, targets=0)


async def ask(node: SoakNode, request_id: str) -> httpx.Response:
    headers = {
        'host': HOST,
        'request-id': request_id,
        'affinity-key': '7',
        'deadline-ms': '4000',
    }
    async with httpx.AsyncClient(timeout=PATIENCE_S, verify=False) as client:
        return await client.get(
            f'http://{node.callers}/read/7', headers=headers
        )


def _note_arrival(
    play: Play, request: RawRequest, *, says_leaving: bool
) -> None:
    now_s = asyncio.get_running_loop().time()
    event = TargetEvent(now_s, request.target_id, request.request_id)
    play.world.journal.arrivals.append(event)
    if says_leaving:
        play.world.journal.leaving_said.append(event)
