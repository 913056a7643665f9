"""An event loop whose clock jumps to the next timer."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any


class StalledError(Exception):
    """Nothing is left that could wake the loop."""


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in their order without waiting for them."""

    def __init__(self) -> None:
        self._now_s = 1_000.0
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s

    def run_in_executor(  # type: ignore[override]
        self, executor: Any, func: Any, *args: Any
    ) -> Any:
        """Run a function at once, in this thread."""
        future = self.create_future()
        future.set_result(func(*args))
        return future

    def end(self) -> None:
        """Cancel what still runs and close the loop."""
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        if tasks:
            ended = asyncio.gather(*tasks, return_exceptions=True)
            self.run_until_complete(ended)
        self.close()
        asyncio.set_event_loop(None)

    def jump(self, seconds: float) -> None:
        """Move the clock on."""
        self._now_s += seconds

    def now_ms(self) -> float:
        """Return the virtual time in milliseconds."""
        return self._now_s * 1_000


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise StalledError
        self._loop.jump(max(0.0, timeout))
        return []
