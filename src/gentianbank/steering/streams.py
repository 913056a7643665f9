"""Large answers that are being sent to callers."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from gentianbank.policy.stalled_streams import find_stalled

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable


class CallerStalledError(Exception):
    """The caller did not read, and its memory was needed for others."""


class Streams:
    """Bounds the answers whose callers do not read.

    Parameters
    ----------
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._progress_ms: dict[asyncio.Timeout, float] = {}

    def __len__(self) -> int:
        return len(self._progress_ms)

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[Callable[[], None]]:
        """Count an answer while it is sent.

        Yields
        ------
        Callable
            To be called whenever the caller has taken a part.

        Raises
        ------
        CallerStalledError
            If the answer was ended for the sake of others.
        """
        limit = asyncio.timeout(None)

        def on_progress() -> None:
            self._progress_ms[limit] = self._clock()

        try:
            async with limit:
                on_progress()
                self._end_stalled()
                yield on_progress
        except TimeoutError as error:
            if not limit.expired():
                raise
            raise CallerStalledError('the caller does not read') from error
        finally:
            self._progress_ms.pop(limit, None)

    def _end_stalled(self) -> None:
        stalled = find_stalled(self._progress_ms, self._clock())
        if stalled is not None:
            del self._progress_ms[stalled]
            stalled.reschedule(asyncio.get_running_loop().time())
