"""Large answers that are being sent to callers."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from gentianbank.policy.answer_slots import EndStalled
from gentianbank.policy.answer_slots import find_slot
from gentianbank.policy.answer_slots import SlotIsFree
from gentianbank.policy.answer_slots import WaitForSlot

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

_MS_PER_S = 1_000


class CallerStalledError(Exception):
    """The caller did not read, and another answer needed its memory."""


class LargeAnswers:
    """Bounds the large answers that are sent at once.

    Parameters
    ----------
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._progress_ms: dict[asyncio.Timeout, float] = {}
        self._slot_freed = asyncio.Event()

    def __len__(self) -> int:
        return len(self._progress_ms)

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[Callable[[], None]]:
        """Wait until a further answer may be sent, and count it meanwhile.

        Yields
        ------
        Callable
            To be called whenever the caller has taken a part.

        Raises
        ------
        CallerStalledError
            If the answer was ended for the sake of another one.
        """
        await self._wait_for_slot()
        limit = asyncio.timeout(None)

        def on_progress() -> None:
            self._progress_ms[limit] = self._clock()

        try:
            async with limit:
                on_progress()
                yield on_progress
        except TimeoutError as error:
            if not limit.expired():
                raise
            raise CallerStalledError('the caller does not read') from error
        finally:
            self._progress_ms.pop(limit, None)
            self._slot_freed.set()

    async def _wait_for_slot(self) -> None:
        while True:
            match find_slot(self._progress_ms, self._clock()):
                case SlotIsFree():
                    return
                case EndStalled(limit):
                    del self._progress_ms[limit]
                    limit.reschedule(asyncio.get_running_loop().time())
                case WaitForSlot(duration_ms):
                    await self._wait_until_freed(duration_ms)

    async def _wait_until_freed(self, duration_ms: float) -> None:
        self._slot_freed.clear()
        # At the end of that time a caller may count as stalled.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(duration_ms / _MS_PER_S):
                await self._slot_freed.wait()
