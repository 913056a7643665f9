"""Tests of what a node reads ahead of the answers of targets."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import pytest

from gentianbank.policy.buffer_budget import BufferBudget
from gentianbank.steering import sending
from gentianbank.steering.answer_body import AnswerBody
from gentianbank.steering.answer_body import MAX_READ_AHEAD_BYTES
from gentianbank.steering.answer_body import UNBUDGETED_BYTES
from gentianbank.targets.transport import TruncatedBodyError
from tests.support.steering import FAILED
from tests.support.steering import Path
from tests.support.steering import Script
from tests.support.steering import ScriptedAnswer

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Iterator

T = TypeVar('T')
LIMIT_BYTES = 300_000
DEADLINE_MS = 60_000.0


@pytest.fixture(autouse=True)
def loop() -> Iterator[asyncio.AbstractEventLoop]:
    """Give the bodies of a test one event loop."""
    found = asyncio.new_event_loop()
    asyncio.set_event_loop(found)
    yield found
    found.run_until_complete(found.shutdown_asyncgens())
    found.close()


def run(work: Coroutine[Any, Any, T]) -> T:
    return asyncio.get_event_loop().run_until_complete(work)


def read(body: AnswerBody) -> bytes:
    async def collect() -> bytes:
        return b''.join([part async for part in body.parts()])

    return run(collect())


def body_of(size_bytes: int, budget: BufferBudget) -> AnswerBody:
    answer = ScriptedAnswer(Script(body=b'x' * size_bytes), b'r-1')
    body = AnswerBody(answer, budget, DEADLINE_MS, lambda: 0.0)
    run(body.read_ahead())
    return body


def test_whole_body_is_read_ahead_and_given_back_when_it_is_sent() -> None:
    budget = BufferBudget(LIMIT_BYTES)
    body = body_of(200_000, budget)
    assert body.is_complete
    assert budget.used_bytes == 200_000 - UNBUDGETED_BYTES
    assert len(read(body)) == 200_000
    assert budget.used_bytes == 0


def test_large_body_is_read_ahead_in_part_only() -> None:
    budget = BufferBudget(10 * MAX_READ_AHEAD_BYTES)
    body = body_of(2 * MAX_READ_AHEAD_BYTES, budget)
    assert not body.is_complete
    assert budget.used_bytes <= MAX_READ_AHEAD_BYTES
    assert len(read(body)) == 2 * MAX_READ_AHEAD_BYTES
    assert budget.used_bytes == 0


def test_bodies_together_hold_no_more_than_their_budget() -> None:
    budget = BufferBudget(LIMIT_BYTES)
    bodies = [body_of(200_000, budget) for _ in range(5)]
    assert [body.is_complete for body in bodies] == [True, *[False] * 4]
    assert budget.used_bytes <= LIMIT_BYTES
    assert [len(read(body)) for body in bodies] == [200_000] * 5
    assert budget.used_bytes == 0


def test_small_body_is_whole_without_any_budget() -> None:
    body = body_of(UNBUDGETED_BYTES, BufferBudget(0))
    assert body.is_complete


def test_body_that_ends_early_gives_its_bytes_back() -> None:
    budget = BufferBudget(LIMIT_BYTES)
    answer = ScriptedAnswer(Script(body=b'x' * 50_000, cut=True), b'r-1')
    body = AnswerBody(answer, budget, DEADLINE_MS, lambda: 0.0)

    async def read_ahead() -> None:
        with pytest.raises(TruncatedBodyError):
            await body.read_ahead()
        await body.close()

    run(read_ahead())
    assert budget.used_bytes == 0


@pytest.mark.parametrize(
    ('script', 'status'),
    [
        (Script(body=b'x' * 200_000), 200),
        (Script(status=500, body=b'x' * 200_000), 502),
        (Script(status=500, body=b'x' * UNBUDGETED_BYTES), 500),
    ],
    ids=['success', 'large failure', 'small failure'],
)
def test_answer_without_any_budget_is_passed_on_as_it_comes(
    monkeypatch: pytest.MonkeyPatch, script: Script, status: int
) -> None:
    monkeypatch.setattr(sending, 'READ_AHEAD_BUDGET_BYTES', 0)
    path = Path()
    path.transport.default = script
    reply = path.ask()
    assert reply.status == status
    assert status == 502 or reply.body == script.body
    assert reply.complete


@pytest.mark.parametrize(
    'script',
    [
        Script(body=b'x' * 200_000),
        Script(body=b'x' * 3_000_000),
        Script(status=500, body=b'x' * 200_000),
        Script(status=500, body=b'x' * 3_000_000),
        Script(status=503, body=b'x' * 200_000),
        Script(body=b'x' * 200_000, headers=()),
        FAILED,
    ],
)
def test_no_answer_keeps_its_part_of_the_budget(script: Script) -> None:
    path = Path()
    path.transport.default = script
    for number in range(3):
        path.ask(request_id=f'r-{number}')
    assert path.proxy.read_ahead_bytes == 0
