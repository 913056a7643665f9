"""Tests of the bound on large answers that are sent at once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from gentianbank.policy import answer_slots
from gentianbank.policy.answer_slots import STALLED_MS
from gentianbank.steering.large_answers import CallerStalledError
from gentianbank.steering.large_answers import LargeAnswers
from tests.support.steering import Caller
from tests.support.steering import Path
from tests.support.steering import Script
from tests.support.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Iterator

SLOTS = 3
STALLED_S = STALLED_MS / 1_000
READS = 4
LARGE = Script(body=b'x' * 3_000_000)


@pytest.fixture(autouse=True)
def few_slots(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(answer_slots, 'MAX_LARGE_ANSWERS', SLOTS)


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    found = VirtualLoop()
    yield found
    found.end()


async def stall(answers: LargeAnswers) -> str:
    try:
        async with answers.open():
            await asyncio.sleep(60.0)
    except CallerStalledError:
        return 'ended'
    return 'sent'


async def read(answers: LargeAnswers) -> str:
    async with answers.open() as on_progress:
        assert len(answers) <= SLOTS
        for _ in range(READS):
            await asyncio.sleep(STALLED_S / 2)
            on_progress()
    return 'sent'


def test_stalled_answer_ends_when_another_one_waits(
    loop: VirtualLoop,
) -> None:
    answers = LargeAnswers(loop.now_ms)

    async def play() -> list[str]:
        work = [stall(answers), *(read(answers) for _ in range(SLOTS))]
        return await asyncio.gather(*work)

    assert loop.run_until_complete(play()) == ['ended', *['sent'] * SLOTS]
    assert len(answers) == 0


def test_stalled_answer_stays_while_no_other_one_waits(
    loop: VirtualLoop,
) -> None:
    answers = LargeAnswers(loop.now_ms)

    async def play() -> list[str]:
        return await asyncio.gather(*(stall(answers) for _ in range(SLOTS)))

    assert loop.run_until_complete(play()) == ['sent'] * SLOTS


def test_answers_of_callers_that_read_wait_for_each_other(
    loop: VirtualLoop,
) -> None:
    answers = LargeAnswers(loop.now_ms)

    async def play() -> list[str]:
        return await asyncio.gather(*(read(answers) for _ in range(4 * SLOTS)))

    begin_ms = loop.now_ms()
    assert loop.run_until_complete(play()) == ['sent'] * 4 * SLOTS
    assert loop.now_ms() - begin_ms < 4 * READS * STALLED_MS


def test_all_callers_that_stall_at_once_are_ended_one_by_one(
    loop: VirtualLoop,
) -> None:
    answers = LargeAnswers(loop.now_ms)

    async def play() -> list[str]:
        stalled = [asyncio.ensure_future(stall(answers)) for _ in range(9)]
        return [await read(answers), *await asyncio.gather(*stalled)]

    first, *stalled = loop.run_until_complete(play())
    assert first == 'sent'
    assert stalled.count('ended') >= 9 - SLOTS


def test_caller_that_leaves_while_it_waits_takes_no_slot(
    loop: VirtualLoop,
) -> None:
    answers = LargeAnswers(loop.now_ms)

    async def play() -> str:
        work = [asyncio.ensure_future(read(answers)) for _ in range(SLOTS)]
        leaving = asyncio.ensure_future(read(answers))
        await asyncio.sleep(0)
        leaving.cancel()
        await asyncio.gather(*work, leaving, return_exceptions=True)
        assert len(answers) == 0
        return await read(answers)

    assert loop.run_until_complete(play()) == 'sent'


def test_timeout_of_another_kind_is_not_taken_for_a_stalled_caller(
    loop: VirtualLoop,
) -> None:
    answers = LargeAnswers(loop.now_ms)

    async def play() -> None:
        async with answers.open():
            raise TimeoutError

    with pytest.raises(TimeoutError):
        loop.run_until_complete(play())
    assert len(answers) == 0


def test_caller_that_stalls_gets_an_answer_that_is_not_whole(
    caplog: pytest.LogCaptureFixture,
) -> None:
    path = Path()
    path.transport.default = LARGE
    stalled = [
        Caller(path.loop, request_id=f'r-{number}') for number in range(SLOTS)
    ]
    for caller in stalled:
        caller.stalls = True
    reading = Caller(path.loop, request_id='r-reading')
    callers = [*stalled, reading]

    async def serve() -> None:
        work = [path.proxy.serve(caller.exchange()) for caller in callers]
        tasks = [asyncio.ensure_future(item) for item in work]
        await tasks[-1]
        for caller in stalled:
            caller.gone.set()
        await asyncio.gather(*tasks)

    with caplog.at_level('INFO'):
        path.run(serve())
    assert reading.reply.complete
    assert len(reading.reply.body) == len(LARGE.body)
    assert not any(caller.reply.complete for caller in stalled)
    causes = [
        vars(record)['cause']
        for record in caplog.records
        if record.getMessage() == 'answer ended early'
    ]
    assert causes == ['the caller does not read']
    assert path.proxy.read_ahead_bytes == 0
