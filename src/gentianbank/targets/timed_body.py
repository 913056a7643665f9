"""Body of an answer that its target has to end in time."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from gentianbank.targets.transport import TruncatedBodyError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Bytes that are read before the reader takes them. With more of them unread
# the reader counts as slower than the target.
WINDOW_BYTES = 64 * 1024
# Bytes of one answer that are read after its deadline. At a slow reader an
# answer without end looks like a large one that was ready in time.
MAX_LATE_BYTES = 16 * 1024 * 1024
NOT_ENDED = 'the target did not end the body in time'
_MS_PER_S = 1_000


class LateBodyError(TruncatedBodyError):
    """The target did not end the body in time."""


class TimedBody:
    """Reads a body for as long as its target may take to send it.

    The time runs while the target's bytes are awaited. It stands still while
    the reader is behind: that an answer is sent on over a slow link is not
    the target's delay.

    Parameters
    ----------
    chunks
        The body.
    left_ms
        Time that the target has left.

    Attributes
    ----------
    unread_s
        Time for which nothing was read, as the reader was behind. A target
        may end the connection for that.
    """

    def __init__(self, chunks: AsyncIterator[bytes], left_ms: float) -> None:
        self.unread_s = 0.0
        self._made_s = asyncio.get_running_loop().time()
        self._chunks = chunks
        self._left_s = max(0.0, left_ms) / _MS_PER_S
        self._deadline_s = 0.0
        self._late_bytes = 0
        self._window: deque[bytes] = deque()
        self._window_bytes = 0
        self._changed = asyncio.Event()
        self._has_room = asyncio.Event()
        self._reading: asyncio.Task[None] | None = None

    async def parts(self) -> AsyncIterator[bytes]:
        """Return the parts of the body.

        Raises
        ------
        LateBodyError
            If the target does not end the body in time.
        TruncatedBodyError
            If the body ends early.
        """
        reading = self._reading = asyncio.create_task(self._read())
        reading.add_done_callback(lambda _: self._changed.set())
        while True:
            while self._window:
                yield self._take()
            if reading.done():
                break
            self._changed.clear()
            await self._changed.wait()
        reading.result()

    async def close(self) -> None:
        """Stop reading; idempotent."""
        self._window.clear()
        if self._reading is not None:
            self._reading.cancel()
            await asyncio.gather(self._reading, return_exceptions=True)

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        self.unread_s = loop.time() - self._made_s
        self._deadline_s = loop.time() + self._left_s
        try:
            async with asyncio.timeout_at(self._deadline_s) as limit:
                async for chunk in self._chunks:
                    self._put(chunk)
                    if self._window_bytes >= WINDOW_BYTES:
                        await self._wait_room(limit)
        except TimeoutError as error:
            raise LateBodyError(NOT_ENDED) from error

    async def _wait_room(self, limit: asyncio.Timeout) -> None:
        """Wait until parts were taken, and give that time to the target."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        left_s = (limit.when() or 0.0) - began_s
        limit.reschedule(None)
        self._has_room.clear()
        await self._has_room.wait()
        self.unread_s += loop.time() - began_s
        limit.reschedule(loop.time() + left_s)

    def _put(self, chunk: bytes) -> None:
        if asyncio.get_running_loop().time() > self._deadline_s:
            self._late_bytes += len(chunk)
        if self._late_bytes > MAX_LATE_BYTES:
            raise LateBodyError(
                f'no end {MAX_LATE_BYTES} bytes after the deadline'
            )
        self._window.append(chunk)
        self._window_bytes += len(chunk)
        self._changed.set()

    def _take(self) -> bytes:
        part = self._window.popleft()
        self._window_bytes -= len(part)
        if self._window_bytes < WINDOW_BYTES:
            self._has_room.set()
        return part
