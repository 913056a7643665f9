"""Supervision of the background tasks of a node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0
# A task that ran for so long before it failed restarts without a long delay.
STABLE_S = 30.0


async def keep_running(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run a background task, and run it again whenever it fails.

    A node goes on serving while one of its background tasks fails, with what
    it knows. The delay doubles from one failure to the next.

    Parameters
    ----------
    name
        Name of the task in the log.
    work
        Begins the task. Its return ends the supervision.
    """
    loop = asyncio.get_running_loop()
    delay_s = MIN_RESTART_DELAY_S
    while True:
        started_s = loop.time()
        try:
            await work()
            return
        except Exception as error:
            if loop.time() - started_s >= STABLE_S:
                delay_s = MIN_RESTART_DELAY_S
            logging.exception(
                'background task failed; it starts again',
                extra={
                    'task': name,
                    'cause': repr(error),
                    'delay_ms': round(delay_s * 1_000),
                },
            )
        await asyncio.sleep(delay_s)
        delay_s = min(MAX_RESTART_DELAY_S, 2 * delay_s)
