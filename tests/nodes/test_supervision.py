"""Tests of the supervision of background tasks."""

from __future__ import annotations

import asyncio
import itertools
from pathlib import Path
import socket

from expression import Result
import pytest

from gentianbank.domain import schema
from gentianbank.domain.steering_settings import SteeringSettings
from gentianbank.nodes.steering import SteeringNode
from gentianbank.nodes.supervision import keep_running
from gentianbank.nodes.supervision import MAX_RESTART_DELAY_S
from gentianbank.nodes.supervision import MIN_RESTART_DELAY_S
from gentianbank.nodes.supervision import STABLE_S
from tests.nodes.test_steering import SETTINGS
from tests.support.virtual_loop import VirtualLoop

FAILURES = 10
TEST_TIMEOUT_S = 20.0


class Work:
    """Fails some times and then ends."""

    def __init__(self, loop: VirtualLoop, failures: int, run_s: float) -> None:
        self.starts_s: list[float] = []
        self._loop = loop
        self._failures = failures
        self._run_s = run_s

    async def run(self) -> None:
        self.starts_s.append(self._loop.time())
        await asyncio.sleep(self._run_s)
        if len(self.starts_s) <= self._failures:
            raise OverflowError('cannot convert float infinity to integer')


def delays_s(failures: int, run_s: float) -> list[float]:
    loop = VirtualLoop()
    work = Work(loop, failures, run_s)
    loop.run_until_complete(keep_running('work', work.run))
    starts_s = work.starts_s
    assert len(starts_s) == failures + 1
    return [
        later_s - earlier_s - run_s
        for earlier_s, later_s in itertools.pairwise(starts_s)
    ]


def test_failed_task_starts_again_after_delays_that_grow() -> None:
    delays = delays_s(FAILURES, 0.0)
    assert delays[0] == pytest.approx(MIN_RESTART_DELAY_S)
    assert delays == sorted(delays)
    assert delays[-1] == pytest.approx(MAX_RESTART_DELAY_S)


def test_task_that_ran_for_long_starts_again_soon() -> None:
    for delay_s in delays_s(FAILURES, STABLE_S):
        assert delay_s == pytest.approx(MIN_RESTART_DELAY_S)


def test_cancelled_task_does_not_start_again() -> None:
    loop = VirtualLoop()
    work = Work(loop, 0, 3_600.0)

    async def cancel() -> None:
        running = asyncio.create_task(keep_running('work', work.run))
        await asyncio.sleep(1.0)
        running.cancel()
        await asyncio.wait([running])
        assert running.cancelled()

    loop.run_until_complete(cancel())
    assert len(work.starts_s) == 1


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


def settings() -> SteeringSettings:
    """Return the settings of a node whose store cannot be reached."""
    addresses = {name: free_address() for name in SETTINGS['addresses']}
    raw = SETTINGS | {
        'addresses': addresses,
        'store': {'address': free_address()},
    }
    match schema.read(SteeringSettings, raw, 'settings'):
        case Result(tag='ok', ok=checked):
            return checked
        case Result(error=error):
            raise AssertionError(error)


@pytest.mark.parametrize('part', ['_sync', '_membership', '_loop_delay'])
def test_background_task_that_fails_does_not_end_the_node(
    part: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    failed = asyncio.Event()

    async def fail() -> None:
        failed.set()
        raise OverflowError('unexpected')

    async def body() -> None:
        checked = settings()
        node = SteeringNode(Path('settings.yaml'), checked)
        monkeypatch.setattr(getattr(node, part), 'run', fail)
        running = asyncio.create_task(node.run())
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await failed.wait()
            failed.clear()
            # It is started again.
            await failed.wait()
        assert not running.done()
        running.cancel()
        await asyncio.wait([running])

    asyncio.run(body())
