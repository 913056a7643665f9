"""Log lines of requests, limited in number."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from absl import logging

from gentianbank.policy.windows import SlidingCount

if TYPE_CHECKING:
    from collections.abc import Callable

WINDOW_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """A target gave no usable answer."""

    request: str
    target: str
    outcome: str
    cause: str


@dataclass(frozen=True, slots=True)
class RequestRefused:
    """The node gave an answer of its own.

    Parameters
    ----------
    held_ms
        Time from the request until the refusal.
    """

    request: str
    route: str
    status: int
    cause: str
    held_ms: int


@dataclass(frozen=True, slots=True)
class AnswerEndedEarly:
    """A large answer broke off on its way to the caller."""

    request: str
    cause: str


RequestEvent = AttemptFailed | RequestRefused | AnswerEndedEarly
_MESSAGES: dict[type[RequestEvent], str] = {
    AttemptFailed: 'attempt failed',
    RequestRefused: 'request refused',
    AnswerEndedEarly: 'answer ended early',
}


@dataclass(slots=True)
class RequestLog:
    """Writes events; those beyond the limit are counted.

    Parameters
    ----------
    lines_per_s
        Lines that are written in any second.
    clock
        Returns the monotonic time in milliseconds.
    """

    lines_per_s: int
    clock: Callable[[], float]
    suppressed: int = 0
    _written: SlidingCount = field(
        default_factory=lambda: SlidingCount(WINDOW_MS)
    )

    def write(self, event: RequestEvent) -> None:
        """Write an event unless there were too many of late."""
        now_ms = self.clock()
        if self._written.count(now_ms) >= self.lines_per_s:
            self.suppressed += 1
            return
        self._written.add(now_ms)
        fields = dataclasses.asdict(event)
        if self.suppressed:
            fields['lines_suppressed'] = self.suppressed
            self.suppressed = 0
        logging.info(_MESSAGES[type(event)], extra=fields)
