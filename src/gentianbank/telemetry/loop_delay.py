"""Delay of the event loop."""

from __future__ import annotations

import asyncio

TIMER_PERIOD_S = 1.0
_MS_PER_S = 1_000


class LoopDelay:
    """Measures how late the event loop runs a periodic timer."""

    def __init__(self) -> None:
        self._longest_ms = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + TIMER_PERIOD_S
            await asyncio.sleep(TIMER_PERIOD_S)
            delay_ms = (loop.time() - due_s) * _MS_PER_S
            self._longest_ms = max(self._longest_ms, delay_ms)

    def pop_longest_ms(self) -> float:
        """Return the longest delay since the last call, and reset it."""
        longest_ms, self._longest_ms = self._longest_ms, 0.0
        return longest_ms
