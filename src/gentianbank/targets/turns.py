"""Turns of the event loop for connections that have much to parse."""

from __future__ import annotations

import asyncio

# Parsed events after which a connection waits for its next turn.
EVENTS_PER_TURN = 64
# Received bytes that count as one event.
BYTES_PER_EVENT = 4 * 1024


class ParsingTurns:
    """Lets one connection at a time continue with what it has received.

    A target may send faster than its answer can be parsed, for as long as it
    likes. However many do so at once, they take one turn in each iteration
    of the event loop together, and everything else runs in between.
    """

    def __init__(self) -> None:
        self._lock = asyncio.Lock()

    async def wait(self) -> None:
        """Wait for the next turn."""
        async with self._lock:
            await asyncio.sleep(0)


class ParsingWork:
    """Counts the work of parsing one answer, and gives the processor back.

    Parameters
    ----------
    turns
        Turns that all connections share.
    """

    def __init__(self, turns: ParsingTurns) -> None:
        self._turns = turns
        self._events = 0

    @property
    def is_turn_over(self) -> bool:
        """Return whether the connection must wait for its next turn."""
        return self._events >= EVENTS_PER_TURN

    def add_event(self) -> None:
        """Count one parsed event."""
        self._events += 1

    def add_bytes(self, size_bytes: int) -> None:
        """Count received bytes."""
        self._events += size_bytes // BYTES_PER_EVENT

    async def wait_turn(self) -> None:
        """Wait for the next turn if this one is over."""
        if self.is_turn_over:
            self._events = 0
            await self._turns.wait()
