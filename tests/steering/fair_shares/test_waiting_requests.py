"""Requests that wait at a node until a target has room."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

from gentianbank.domain.workspaces import Workspace
from gentianbank.domain.workspaces import WorkspaceTable
from gentianbank.platform.credentials import digest_key
from gentianbank.policy.fair_shares.waiting_queue import MAX_WAIT_MS
from tests.support.steering import Caller
from tests.support.steering import Path
from tests.support.steering import READ
from tests.support.steering import Reply
from tests.support.steering import Script
from tests.support.steering import table

# One target with two slots and a queue of one has room for three requests.
TAKEN = 3
WORK_S = 0.1
ROUTE = replace(READ, latency_objective_ms=1_000, timeout_ms=9_000)


def _path(work_s: float = WORK_S, *, workspaces: bool = True) -> Path:
    path = Path(targets=1)
    path.transport.default = Script(after_s=work_s)
    configuration = table(2, ROUTE)
    if workspaces:
        by_key: dict[bytes, Workspace | None] = {
            digest_key(name.encode()): Workspace(name=name, priority=priority)
            for priority, name in enumerate(('urgent', 'other'))
        }
        configuration = replace(
            configuration, workspaces=WorkspaceTable(by_key=by_key)
        )
    path.cluster_view.put_table(configuration)
    # What the node assumes before its first answers leaves no time to wait.
    times = path.placer.route_times(ROUTE)
    times.warm_ms = times.cold_ms = times.mean_ms = work_s * 1_000
    return path


def _heads(count: int, name: str = 'other') -> list[dict[str, Any]]:
    headers = {'authorization': f'Token {name}'}
    return [{'headers': headers, 'deadline_ms': 9_000}] * count


def _statuses(replies: list[Reply]) -> list[int]:
    return [reply.status for reply in replies]


def test_request_gets_the_slot_that_becomes_free() -> None:
    path = _path()
    begin_ms = path.loop.now_ms()
    replies = path.ask_many(_heads(TAKEN + 1))
    assert _statuses(replies) == [200] * (TAKEN + 1)
    assert replies[-1].at_ms - begin_ms == 2 * WORK_S * 1_000


def test_number_of_waiting_requests_is_bounded() -> None:
    path = _path()
    begin_ms = path.loop.now_ms()
    refused = [r for r in path.ask_many(_heads(20)) if r.status == 503]
    assert len(refused) == 20 - TAKEN - 2
    assert all(reply.at_ms == begin_ms for reply in refused)


def test_wait_is_bounded() -> None:
    path = _path(work_s=0.5)
    begin_ms = path.loop.now_ms()
    reply = path.ask_many(_heads(TAKEN + 1))[-1]
    assert reply.status == 503
    assert reply.at_ms - begin_ms <= MAX_WAIT_MS + 1
    assert not path.proxy._waiting._wakers


def test_without_workspaces_nothing_waits() -> None:
    path = _path(workspaces=False)
    begin_ms = path.loop.now_ms()
    reply = path.ask_many(_heads(TAKEN + 1))[-1]
    assert reply.status == 503
    assert reply.at_ms == begin_ms


def test_caller_that_leaves_waits_no_longer() -> None:
    path = _path()
    callers = [Caller(path.loop, **head) for head in _heads(TAKEN + 1)]

    async def serve() -> None:
        async with asyncio.TaskGroup() as group:
            for caller in callers:
                group.create_task(path.proxy.serve(caller.exchange()))
            await asyncio.sleep(WORK_S / 2)
            callers[-1].gone.set()

    path.run(serve())
    assert callers[-1].reply.status == 0
    assert len(path.transport.requests) == TAKEN
    assert not path.proxy._waiting._wakers


def test_urgent_workspace_gets_the_free_slot_first() -> None:
    path = _path(work_s=0.15)
    # An urgent request may use more of a target's own queue.
    heads = _heads(TAKEN) + _heads(1) + _heads(2, 'urgent')
    replies = path.ask_many(heads)
    other, urgent = replies[TAKEN], replies[TAKEN + 1]
    assert urgent.status == 200
    assert other.status == 503 or other.at_ms >= urgent.at_ms


def test_request_is_refused_at_once_when_its_last_target_leaves() -> None:
    path = _path(work_s=0.15)
    callers = [Caller(path.loop, **head) for head in _heads(TAKEN + 1)]
    begin_ms = path.loop.now_ms()

    async def serve() -> None:
        async with asyncio.TaskGroup() as group:
            for caller in callers:
                group.create_task(path.proxy.serve(caller.exchange()))
            await asyncio.sleep(0.05)
            target = path.cluster_view.targets['desk-1']
            path.leaving.on_head(target, 200, [(b'Server-Leaving', b'1')])

    path.run(serve())
    *running, waiting = [caller.reply for caller in callers]
    assert _statuses(running) == [200] * TAKEN
    assert (waiting.status, waiting.body) == (503, b'no target')
    assert waiting.at_ms - begin_ms < 51
    assert not path.proxy._waiting._wakers
    path.loop.end()
