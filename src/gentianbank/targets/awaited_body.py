"""Body of an answer whose bytes are awaited for a bounded time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gentianbank.targets.timed_body import LateBodyError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True, kw_only=True)
class AwaitBounds:
    """Bounds on the waits for a body that is read when there is room for it.

    The time between the waits is the reader's and does not count.

    Parameters
    ----------
    wait_ms
        Time for which bytes are awaited.
    min_bytes_per_s
        Rate at which bytes that have come renew that time, up to
        ``wait_ms``; 0 if the time is that of the whole body.
    max_bytes
        Largest size.
    """

    wait_ms: float
    min_bytes_per_s: float
    max_bytes: int


async def read_awaited(
    chunks: AsyncIterator[bytes], bounds: AwaitBounds
) -> AsyncIterator[bytes]:
    """Yield the chunks of a body within bounds.

    Raises
    ------
    LateBodyError
        If the bounds are exceeded.
    TruncatedBodyError
        If the body ends early.
    """
    loop = asyncio.get_running_loop()
    longest_s = left_s = max(0.0, bounds.wait_ms) / _MS_PER_S
    size_bytes = 0
    while True:
        began_s = loop.time()
        try:
            async with asyncio.timeout(left_s):
                chunk = await anext(chunks, None)
        except TimeoutError as error:
            raise LateBodyError(
                f'the target sent too little in time, {size_bytes} bytes'
            ) from error
        if chunk is None:
            return
        size_bytes += len(chunk)
        if size_bytes > bounds.max_bytes:
            raise LateBodyError(f'no end after {size_bytes} bytes')
        left_s -= loop.time() - began_s
        if bounds.min_bytes_per_s:
            left_s += len(chunk) / bounds.min_bytes_per_s
        left_s = min(longest_s, left_s)
        yield chunk
