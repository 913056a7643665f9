"""Flow control of a connection that is parsed in slices."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

from uvicorn.protocols.http.flow_control import FlowControl

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

# While reading is stopped, the event loop does not report that a caller left.
HANGUP_CHECK_S = 0.5
# POLLRDHUP where the module has it; other systems report no hang-up then.
_HANGUP_EVENTS = getattr(select, 'POLLRDHUP', 0)


class ReadFlow(FlowControl):
    """Flow control whose pauses stop the parser; holding stops reading.

    Parameters
    ----------
    may_resume
        Returns whether the parser may get more.
    on_resumed
        Called when the parser gets more again.

    Attributes
    ----------
    is_held
        Whether nothing is read from the socket.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        transport: asyncio.Transport,
        may_resume: Callable[[], bool],
        on_resumed: Callable[[], None],
    ) -> None:
        super().__init__(transport)
        self.is_held = False
        self._loop = loop
        self._may_resume = may_resume
        self._on_resumed = on_resumed
        self._hangup_check: asyncio.TimerHandle | None = None

    def pause_reading(self) -> None:
        """Stop the parser after the current slice."""
        self.read_paused = True

    def resume_reading(self) -> None:
        """Let the parser go on, unless it must still wait."""
        if self.read_paused and self._may_resume():
            self.read_paused = False
            self._on_resumed()

    def hold_reading(self) -> None:
        """Read nothing until released."""
        if not self.is_held:
            self.is_held = True
            self._transport.pause_reading()
            self._start_hangup_check()

    def release_reading(self) -> None:
        """Read again."""
        if self.is_held:
            self.is_held = False
            self.stop_hangup_check()
            self._transport.resume_reading()

    def stop_hangup_check(self) -> None:
        """Look no more for a caller that has left."""
        if self._hangup_check is not None:
            self._hangup_check.cancel()
            self._hangup_check = None

    def _start_hangup_check(self) -> None:
        self._hangup_check = self._loop.call_later(
            HANGUP_CHECK_S, self._check_hangup
        )

    def _check_hangup(self) -> None:
        """End the connection if the caller has left."""
        if self._transport.is_closing():
            return
        connection = self._transport.get_extra_info('socket')
        poll = select.poll()
        poll.register(connection.fileno(), _HANGUP_EVENTS)
        if poll.poll(0):
            # As the loop does when it reads the end of the stream.
            self._transport.close()
        else:
            self._start_hangup_check()
