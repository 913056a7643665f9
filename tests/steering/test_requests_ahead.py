"""Tests of requests that wait for earlier ones of their connection."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any
from typing import TYPE_CHECKING

import pytest

from gentianbank.dataplane.exchange import TURN_EXTENSION
from gentianbank.policy.buffer_budget import BufferBudget
from gentianbank.steering.proxy import MAX_UNREAD_MS
from tests.support.steering import Caller
from tests.support.steering import header
from tests.support.steering import ORDER_REQUEST
from tests.support.steering import Path
from tests.support.steering import READ
from tests.support.steering import Reply
from tests.support.steering import Script

if TYPE_CHECKING:
    from gentianbank.policy.buffer_budget import Budget

NEVER_S = 3_600.0
SLOW = replace(READ, timeout_ms=20_000)
LARGE = Script(body=b'x' * 2_000_000)
MEDIUM = Script(body=b'x' * 100_000)


class LateTurn:
    """Turn of a request behind others that take a while."""

    def __init__(self, begin_s: float = 0.0, answer_s: float = 0.0) -> None:
        self._begin_s = begin_s
        self._answer_s = answer_s
        self.held = BufferBudget(0)

    def try_begin(self, *, runs_once: bool) -> bool:
        return not self._begin_s

    async def wait_begin(self) -> bool:
        await asyncio.sleep(self._begin_s)
        return True

    def try_answer(self) -> bool:
        return not self._answer_s

    async def wait_answer(self) -> bool:
        await asyncio.sleep(self._answer_s)
        self._answer_s = 0.0
        return True

    def answer_budget(self, budget: Budget) -> Budget:
        return self.held


def ask(node: Path, turn: LateTurn, **head: Any) -> Reply:
    caller = Caller(node.loop, **head)
    caller.scope['extensions'] = {TURN_EXTENSION: turn}
    node.run(node.proxy.serve(caller.exchange()))
    return caller.reply


def test_order_that_waits_beyond_its_deadline_is_refused_as_not_run() -> None:
    path = Path()
    began_ms = path.loop.now_ms()
    reply = ask(path, LateTurn(NEVER_S), deadline_ms=800, **ORDER_REQUEST)
    assert reply.status == 503
    assert header(reply.headers, b'retry-after')
    assert path.transport.requests == []
    assert reply.at_ms - began_ms == pytest.approx(800, abs=1)


def test_order_that_has_waited_runs_with_the_time_that_is_left() -> None:
    path = Path()
    reply = ask(path, LateTurn(0.5), deadline_ms=1_500, **ORDER_REQUEST)
    assert reply.status == 200
    (request,) = path.transport.requests
    assert request.headers_timeout_ms == pytest.approx(1_000, abs=1)


def test_order_whose_node_refuses_requests_meanwhile_is_not_run() -> None:
    path = Path()
    path.loop.call_later(0.1, path.proxy.refuse_new_requests)
    reply = ask(path, LateTurn(0.5), **ORDER_REQUEST)
    assert reply.status == 503
    assert path.transport.requests == []


def test_answer_beyond_the_memory_for_held_ones_is_sent_whole() -> None:
    path = Path()
    path.transport.default = MEDIUM
    reply = ask(path, LateTurn(answer_s=1.0), deadline_ms=4_000)
    assert reply.complete
    assert len(reply.body) == len(MEDIUM.body)
    assert len(path.transport.requests) == 1
    assert path.proxy.read_ahead_bytes == 0


def test_answer_that_its_target_has_kept_too_long_is_asked_for_again() -> None:
    path = Path()
    path.put_table(2, SLOW)
    path.transport.default = LARGE
    turn = LateTurn(answer_s=MAX_UNREAD_MS / 1_000 + 0.5)
    reply = ask(path, turn, deadline_ms=20_000)
    assert reply.complete
    assert len(reply.body) == len(LARGE.body)
    assert len(path.transport.requests) == 2


def test_late_answer_is_delivered_when_no_time_is_left_to_ask_again() -> None:
    path = Path()
    path.transport.default = LARGE
    turn = LateTurn(answer_s=MAX_UNREAD_MS / 1_000 + 0.5)
    reply = ask(path, turn, deadline_ms=2_000)
    assert reply.complete
    assert len(path.transport.requests) == 1
