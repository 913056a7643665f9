"""Body of a target's answer, read ahead as far as memory allows."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from gentianbank.targets.timed_body import LateBodyError
from gentianbank.targets.timed_body import NOT_ENDED
from gentianbank.targets.timed_body import TimedBody
from gentianbank.targets.transport import TruncatedBodyError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from gentianbank.policy.buffer_budget import Budget
    from gentianbank.targets.transport import TargetAnswer

# Bodies up to this size are read completely before they are sent on, so that
# a retry can still replace an answer that ends early.
MAX_READ_AHEAD_BYTES = 1024 * 1024
# What all requests of a node may have read ahead together.
READ_AHEAD_BUDGET_BYTES = 24 * 1024 * 1024
# A body up to this size is read whether or not any of that is left.
UNBUDGETED_BYTES = 16 * 1024
# A body that was left unread for longer is not late or cut by its target.
MAX_UNREAD_S = 1.0
_MS_PER_S = 1_000


class AnswerBody:
    """A body of which a part is held until it is sent on.

    Parameters
    ----------
    budget
        Bytes that all requests together may read ahead.
    deadline_ms
        Time by which the target has to end the body.
    clock
        Returns the monotonic time in milliseconds.
    on_cut
        Called when the target ends the body early, or not in time.

    Attributes
    ----------
    size_bytes
        Bytes that have been read ahead.
    is_complete
        Whether that is the whole body.
    """

    def __init__(
        self,
        answer: TargetAnswer,
        budget: Budget,
        deadline_ms: float,
        clock: Callable[[], float],
        on_cut: Callable[[TruncatedBodyError], None] = lambda _: None,
    ) -> None:
        self.size_bytes = 0
        self.is_complete = False
        self._answer = answer
        self._budget = budget
        self._deadline_ms = deadline_ms
        self._clock = clock
        self._on_cut = on_cut
        self._chunks = answer.chunks()
        self._rest: TimedBody | None = None
        self._parts: deque[bytes] = deque()
        self._taken_bytes = 0

    @property
    def is_small(self) -> bool:
        """Return whether the whole body is held and takes little memory."""
        return self.is_complete and self.size_bytes <= UNBUDGETED_BYTES

    async def read_ahead(self) -> None:
        """Read until the body ends or no more may be held.

        Raises
        ------
        TruncatedBodyError
            If the body ends early, or not in time.
        """
        try:
            await self._read_in_time()
        except TruncatedBodyError as error:
            self._on_cut(error)
            raise

    async def _read_in_time(self) -> None:
        try:
            async with asyncio.timeout(self._left_ms() / _MS_PER_S):
                async for chunk in self._chunks:
                    self._parts.append(chunk)
                    self.size_bytes += len(chunk)
                    if not self._may_read_on():
                        self._rest = TimedBody(self._chunks, self._left_ms())
                        return
        except TimeoutError as error:
            raise LateBodyError(NOT_ENDED) from error
        self.is_complete = True
        await self._answer.close()

    async def parts(self) -> AsyncIterator[bytes]:
        """Return the parts of the body; each is dropped once it is used.

        Raises
        ------
        TruncatedBodyError
            If the body ends early, or not in time.
        """
        while self._parts:
            yield self._parts.popleft()
        self._give_back()
        if self._rest is None:
            return
        try:
            async for part in self._rest.parts():
                yield part
        except TruncatedBodyError as error:
            if self._rest.unread_s <= MAX_UNREAD_S:
                self._on_cut(error)
            raise

    async def close(self) -> None:
        """Drop what is held, and abandon an unfinished answer; idempotent."""
        self._parts.clear()
        self._give_back()
        if self._rest is not None:
            await self._rest.close()
        await self._answer.close()

    def _left_ms(self) -> float:
        return max(0.0, self._deadline_ms - self._clock())

    def _may_read_on(self) -> bool:
        if self.size_bytes > MAX_READ_AHEAD_BYTES:
            return False
        more_bytes = self.size_bytes - UNBUDGETED_BYTES - self._taken_bytes
        if more_bytes <= 0:
            return True
        if not self._budget.try_take(more_bytes):
            return False
        self._taken_bytes += more_bytes
        return True

    def _give_back(self) -> None:
        self._budget.give_back(self._taken_bytes)
        self._taken_bytes = 0
