"""Tests of the bound on answers whose callers do not read."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from gentianbank.policy import stalled_streams
from gentianbank.policy.stalled_streams import STALLED_MS
from gentianbank.steering.streams import CallerStalledError
from gentianbank.steering.streams import Streams
from tests.support.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_STREAMS = 3
STALLED_S = STALLED_MS / 1_000


@pytest.fixture
def loop(monkeypatch: pytest.MonkeyPatch) -> Iterator[VirtualLoop]:
    monkeypatch.setattr(stalled_streams, 'MAX_STREAMS', MAX_STREAMS)
    found = VirtualLoop()
    yield found
    found.end()


async def stall(streams: Streams) -> str:
    try:
        async with streams.open():
            await asyncio.sleep(60.0)
    except CallerStalledError:
        return 'ended'
    return 'sent'


async def read(streams: Streams) -> str:
    async with streams.open() as on_progress:
        for _ in range(60):
            await asyncio.sleep(1.0)
            on_progress()
    return 'sent'


def test_stalled_answer_ends_when_another_one_needs_room(
    loop: VirtualLoop,
) -> None:
    streams = Streams(loop.now_ms)

    async def play() -> list[str]:
        first = asyncio.ensure_future(stall(streams))
        others = [asyncio.ensure_future(read(streams)) for _ in range(2)]
        await asyncio.sleep(2 * STALLED_S)
        last = asyncio.ensure_future(read(streams))
        return await asyncio.gather(first, *others, last)

    assert loop.run_until_complete(play()) == ['ended', *['sent'] * 3]
    assert len(streams) == 0


def test_answers_of_callers_that_read_are_all_sent(loop: VirtualLoop) -> None:
    streams = Streams(loop.now_ms)

    async def play() -> list[str]:
        work = []
        for _ in range(3 * MAX_STREAMS):
            work.append(asyncio.ensure_future(read(streams)))
            await asyncio.sleep(STALLED_S)
        return await asyncio.gather(*work)

    assert loop.run_until_complete(play()) == ['sent'] * 3 * MAX_STREAMS


def test_timeout_of_another_kind_is_not_taken_for_a_stalled_caller(
    loop: VirtualLoop,
) -> None:
    streams = Streams(loop.now_ms)

    async def play() -> None:
        async with streams.open():
            raise TimeoutError

    with pytest.raises(TimeoutError):
        loop.run_until_complete(play())
    assert len(streams) == 0
