"""Tests of bodies that their targets have to end in time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from gentianbank.targets.timed_body import LateBodyError
from gentianbank.targets.timed_body import TimedBody
from gentianbank.targets.timed_body import WINDOW_BYTES
from gentianbank.targets.transport import BodyConnectionLostError
from tests.support.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterator

PART_BYTES = 10_000
LEFT_MS = 1_000.0


class Source:
    """A body that comes in parts, each after a pause."""

    def __init__(
        self,
        parts: int,
        pause_s: float = 0.0,
        failure: Exception | None = None,
    ) -> None:
        self._parts = parts
        self._pause_s = pause_s
        self._failure = failure
        self.sent = 0

    async def chunks(self) -> AsyncIterator[bytes]:
        while self.sent < self._parts:
            if self._pause_s:
                await asyncio.sleep(self._pause_s)
            self.sent += 1
            yield bytes([self.sent % 256]) * PART_BYTES
        if self._failure is not None:
            raise self._failure

    @property
    def body(self) -> bytes:
        numbers = range(1, self._parts + 1)
        return b''.join(bytes([n % 256]) * PART_BYTES for n in numbers)


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    found = VirtualLoop()
    yield found
    found.end()


def make(loop: VirtualLoop, source: Source, left_ms: float) -> TimedBody:
    async def build() -> TimedBody:
        return TimedBody(source.chunks(), left_ms)

    return loop.run_until_complete(build())


async def read(body: TimedBody, pause_s: float = 0.0) -> bytes:
    parts = []
    async for part in body.parts():
        if pause_s:
            await asyncio.sleep(pause_s)
        parts.append(part)
    return b''.join(parts)


@pytest.mark.parametrize('pause_s', [0.0, 0.3], ids=['fast', 'slow reader'])
def test_body_is_whole_and_in_order(loop: VirtualLoop, pause_s: float) -> None:
    source = Source(50, 0.01)
    body = make(loop, source, LEFT_MS)
    assert loop.run_until_complete(read(body, pause_s)) == source.body


def test_body_that_has_arrived_is_whole_without_any_time_left(
    loop: VirtualLoop,
) -> None:
    source = Source(5)
    body = make(loop, source, 0.0)
    assert loop.run_until_complete(read(body)) == source.body


def test_body_that_takes_longer_is_late(loop: VirtualLoop) -> None:
    source = Source(1_000, 0.01)
    body = make(loop, source, LEFT_MS)
    begin_ms = loop.now_ms()
    with pytest.raises(LateBodyError):
        loop.run_until_complete(read(body))
    assert loop.now_ms() - begin_ms == pytest.approx(LEFT_MS, abs=1.0)


def test_failure_comes_after_what_arrived_before_it(loop: VirtualLoop) -> None:
    source = Source(3, failure=BodyConnectionLostError('reset'))
    body = make(loop, source, LEFT_MS)
    parts: list[bytes] = []

    async def play() -> None:
        async for part in body.parts():
            parts.append(part)

    with pytest.raises(BodyConnectionLostError):
        loop.run_until_complete(play())
    assert b''.join(parts) == source.body


def test_body_whose_reader_stands_still_is_read_no_further_than_the_window(
    loop: VirtualLoop,
) -> None:
    source = Source(1_000)
    body = make(loop, source, LEFT_MS)

    async def play() -> None:
        await anext(body.parts())
        await asyncio.sleep(60.0)
        await body.close()

    loop.run_until_complete(play())
    # One part was taken, and the last one crosses the bound.
    assert source.sent * PART_BYTES <= WINDOW_BYTES + 2 * PART_BYTES


def test_closed_body_leaves_no_task_behind(loop: VirtualLoop) -> None:
    body = make(loop, Source(1_000, 0.01), LEFT_MS)

    async def play() -> int:
        await anext(body.parts())
        await body.close()
        await body.close()
        return len(asyncio.all_tasks())

    assert loop.run_until_complete(play()) == 1
