"""A real node of the product's own interface under hostile callers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import httpx

from gentianbank_standins.fleet import Fleet
from tests.processes.conftest import EXAMPLE
from tests.processes.test_hostile_callers import CALLER_LIMITS
from tests.processes.test_hostile_callers import CHEAP_FORMS
from tests.processes.test_hostile_callers import HOSTILE_ADDRESS
from tests.processes.test_hostile_callers import MANY_CALLERS
from tests.processes.test_hostile_callers import MAX_EXTRA_DESCRIPTORS
from tests.processes.test_hostile_callers import MAX_GROWTH_MB
from tests.processes.test_hostile_callers import SILENT
from tests.support.hostile_callers import CALLERS
from tests.support.hostile_callers import HostileCrowd
from tests.support.hostile_callers import ProcessWatch

if TYPE_CHECKING:
    from pathlib import Path

VM = 'kingston-1'
ANSWER_TIMEOUT_S = 20.0


def test_crowds_leave_the_own_interface_memory_and_descriptors(
    tmp_path: Path,
) -> None:
    fleet = Fleet(EXAMPLE, tmp_path, {'caller_limits': CALLER_LIMITS})
    try:
        fleet.start()
        assert fleet.apply().returncode == 0
        fleet.wait_revision(1)
        ask(fleet)
        asyncio.run(play(fleet))
    finally:
        fleet.stop()


async def play(fleet: Fleet) -> None:
    """Let crowds send, and then one caller an ordinary request."""
    watch = ProcessWatch(fleet.pid_of(VM))
    watch.begin()
    crowds = []
    try:
        for form in (*CHEAP_FORMS, SILENT):
            crowd = HostileCrowd(fleet.nodes[VM].http, HOSTILE_ADDRESS)
            crowds.append(crowd)
            callers = CALLERS if form.block else MANY_CALLERS
            await crowd.send(form, callers, watch)
            assert watch.is_running
            print(
                f'MEASURED own {form.name}: {watch.peak_growth_mb:.1f} MB,'
                f' {watch.extra_descriptors} descriptors'
            )
        descriptors = watch.extra_descriptors
        await asyncio.to_thread(ask, fleet)
        assert watch.is_running
        assert watch.peak_growth_mb < MAX_GROWTH_MB
        assert descriptors < MAX_EXTRA_DESCRIPTORS
    finally:
        for crowd in crowds:
            crowd.close()


def ask(fleet: Fleet) -> None:
    """Send ordinary requests until one is answered by a target."""
    url = f'http://{fleet.nodes[VM].http}/services/ordering/stock/1?token=t'
    end_s = time.monotonic() + ANSWER_TIMEOUT_S
    while time.monotonic() < end_s:
        try:
            if httpx.get(url, timeout=4.0).status_code == 200:
                return
        except httpx.HTTPError:
            # The node is busy, or has closed the connection.
            pass
        time.sleep(0.2)
    raise TimeoutError('no ordinary request is answered')
