"""Episodes of a disruption with pauses between them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import time


@dataclass
class Episodes:
    """Episodes of equal length from a start on.

    Parameters
    ----------
    length_s
        Length of an episode.
    period_s
        Time from one start to the next.
    """

    length_s: float
    period_s: float
    _begin_s: float = float('inf')

    def start(self) -> None:
        """Begin the first episode now."""
        self._begin_s = time.monotonic()

    @property
    def is_on(self) -> bool:
        """Return whether an episode is under way."""
        elapsed_s = time.monotonic() - self._begin_s
        return elapsed_s >= 0 and elapsed_s % self.period_s < self.length_s


@dataclass
class LoopDelay:
    """Longest delay of a timer of this process.

    It tells how late the stand-ins themselves were.
    """

    longest_s: float = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            begin_s = time.monotonic()
            await asyncio.sleep(0.02)
            delay_s = time.monotonic() - begin_s - 0.02
            self.longest_s = max(self.longest_s, delay_s)
