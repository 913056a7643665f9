"""Real nodes over targets that fail orders after they have run them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from gentianbank_standins.soak.promises import NOT_RUN_STATUSES
from gentianbank_standins.soak.world import SoakWorld
from tests.support.raw_targets import Callers
from tests.support.raw_targets import head
from tests.support.raw_targets import raw_targets

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from tests.support.raw_targets import Answer
    from tests.support.raw_targets import RawRequest

NODES = 2
CALLERS = 20
DURATION_S = 4.0
SETTLE_S = 1.0
NOT_RUN = 'Not-Executed: 1'
EMPTY = 'Content-Length: 0'


def failure(status: int) -> Answer:
    """Return a fault that answers a status without saying "not run"."""

    async def answer(request: RawRequest) -> AsyncIterator[bytes | None]:
        stamp = f'Server-Stamp: {request.target_id}.{request.request_id}'
        yield request.head(status, stamp, EMPTY)

    return answer


async def answer_unknown_status(
    request: RawRequest,
) -> AsyncIterator[bytes | None]:
    yield request.head(999, EMPTY)


async def answer_control_character(
    request: RawRequest,
) -> AsyncIterator[bytes | None]:
    yield request.head(500, 'X-Cause: a\x01b', EMPTY)


async def answer_odd_name(request: RawRequest) -> AsyncIterator[bytes | None]:
    yield request.head(500, 'X{Cause}: b', EMPTY)


async def refuse_two(request: RawRequest) -> AsyncIterator[bytes | None]:
    yield request.head(503, 'Request-Id: another', NOT_RUN, EMPTY)


async def repeat_refusal(request: RawRequest) -> AsyncIterator[bytes | None]:
    yield request.success()
    await asyncio.sleep(0.02)
    yield head(503, NOT_RUN, EMPTY)


async def refuse_first(request: RawRequest) -> AsyncIterator[bytes | None]:
    yield request.head(503, NOT_RUN, EMPTY) + request.success()


async def refuse_another(request: RawRequest) -> AsyncIterator[bytes | None]:
    yield request.head(503, NOT_RUN, EMPTY, request_id='another')
    yield request.success()


def test_orders_that_a_target_failed_after_a_run_are_not_called_not_run(
    tmp_path: Path,
) -> None:
    check_orders(tmp_path, [failure(s) for s in sorted(NOT_RUN_STATUSES)])


def test_orders_that_a_target_refused_with_others_are_not_called_not_run(
    tmp_path: Path,
) -> None:
    check_orders(
        tmp_path,
        [refuse_two, refuse_first, repeat_refusal, refuse_another],
    )


def test_orders_whose_answer_cannot_be_sent_on_are_answered(
    tmp_path: Path,
) -> None:
    faults = [answer_unknown_status, answer_control_character, answer_odd_name]
    check_orders(tmp_path, [*faults])


def check_orders(folder: Path, faults: list[Answer]) -> None:
    """Play orders; one target without a fault keeps the service going."""

    async def play() -> None:
        world = SoakWorld(folder, NODES, 0, seed=0)
        try:
            await world.start()
            async with raw_targets(world, None, *faults) as targets:
                await asyncio.sleep(SETTLE_S)
                callers = Callers(world)
                await callers.send(CALLERS, DURATION_S)
            runs, spoiled = targets[0].runs, targets[0].spoiled
            assert spoiled
            assert callers.untrue_refusals(runs) == {}
            assert [name for name, count in runs.items() if count > 1] == []
            assert set(callers.statuses.values()) <= {200, 500, 502, 503}
            assert 200 in callers.statuses.values()
        finally:
            await world.stop()

    asyncio.run(play())
