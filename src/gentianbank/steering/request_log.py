"""Log lines about requests, with a rate limit."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from dataclasses import field
import logging as std_logging
from typing import ClassVar
from typing import TYPE_CHECKING

from gentianbank.policy.windows import SlidingCount
from gentianbank.telemetry.line_writer import LineClass
from gentianbank.telemetry.logs import CLASS_FIELD

if TYPE_CHECKING:
    from collections.abc import Callable

LIMIT_WINDOW_MS = 1_000.0
# The other half of the lines stays free for failures.
MAX_SAMPLE_FRACTION = 0.5
_FIELD_NAMES: dict[type[RequestEvent], tuple[str, ...]] = {}
_LOGGER = std_logging.getLogger('gentianbank.requests')


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestEvent:
    """Base of the events that are logged about a request.

    Parameters
    ----------
    request
        Id that the caller gave the request.
    """

    message: ClassVar[str]
    line_class: ClassVar[LineClass] = LineClass.REQUEST
    request: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptEvent(RequestEvent):
    """An attempt at a target, with the reasons for choosing the target.

    Parameters
    ----------
    topic
        Object that the request concerns, for affinity; empty for none.
    attempt
        Number of this attempt, from 1 on.
    outcome
        ``answered``, or the kind of failure.
    version
        Version of the configuration that was in force.
    warm
        Whether the target was known to have handled the object lately.
    occupancy
        Estimated number of requests at the target.
    report_age_ms
        Age of the target's last load report; ``None`` before the first.
    slowdown
        Estimated slowdown of the target.
    expected_ms, wait_ms
        Estimated time to the answer, and the time of that spent in the
        target's queue.
    held_ms
        Time from the arrival of the request until this attempt began.
    took_ms
        Time from the start of the attempt until its outcome.
    """

    route: str
    service: str
    topic: str
    attempt: int
    target: str
    failure_domain: str
    outcome: str
    cause: str
    version: int
    warm: bool
    occupancy: float
    report_age_ms: int | None
    slowdown: float
    expected_ms: int
    wait_ms: int
    held_ms: int
    took_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestAnswered(AttemptEvent):
    """A target answered; these lines are only a sample."""

    message = 'request answered'
    line_class = LineClass.SAMPLE


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailed(AttemptEvent):
    """A target gave no usable answer."""

    message = 'attempt failed'


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestRefused(RequestEvent):
    """The node refused a request.

    Parameters
    ----------
    attempts
        Number of targets that were tried.
    evidence
        What is known about whether the request has run: ``never-sent``,
        ``rejected`` or ``may-have-run``.
    held_ms
        Time from the arrival of the request until the refusal.
    version
        Version of the configuration that was in force; 0 for none.
    store_age_ms
        Time since the store last answered; ``None`` if it never has.
    busy
        Targets that were full, each with its estimated number of requests.
    rule, workspace, share_per_s, use_per_s, data_age_ms
        The limit for which the request was refused, see
        :class:`limit_detail.LimitDetail`; empty for none.
    """

    message = 'request refused'
    route: str
    status: int
    cause: str
    attempts: int
    evidence: str
    held_ms: int
    version: int
    store_age_ms: int | None
    busy: str
    rule: str = ''
    workspace: str = ''
    share_per_s: float = 0.0
    use_per_s: float = 0.0
    data_age_ms: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class FailurePassedOn(RequestEvent):
    """The caller gets a failure that a target answered with."""

    message = 'failure passed on'
    route: str
    status: int
    held_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestAbandoned(RequestEvent):
    """The caller left before it had an answer; its request was cancelled."""

    message = 'caller left'
    held_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerEndedEarly(RequestEvent):
    """A target's large answer ended early while it was being sent on."""

    message = 'answer ended early'
    cause: str


@dataclass(slots=True)
class RequestLog:
    """Writes events up to a rate limit and counts the others.

    The next line that is written has the count in ``lines_suppressed``.

    Parameters
    ----------
    lines_per_s
        Largest number of lines in any second.
    clock
        Returns the monotonic time in milliseconds.
    """

    lines_per_s: int
    clock: Callable[[], float]
    suppressed: int = 0
    _written: SlidingCount = field(
        default_factory=lambda: SlidingCount(LIMIT_WINDOW_MS)
    )

    def write(self, event: RequestEvent) -> None:
        """Write an event unless the rate limit is reached."""
        if not _LOGGER.isEnabledFor(std_logging.INFO):
            return
        now_ms = self.clock()
        if self._written.count(now_ms) >= self._limit(event.line_class):
            self.suppressed += 1
            return
        self._written.add(now_ms)
        # Logger.info would look up the calling source line, which costs more
        # than everything else here.
        record = std_logging.LogRecord(
            _LOGGER.name, std_logging.INFO, '', 0, event.message, (), None
        )
        values = record.__dict__
        for name in _field_names(type(event)):
            values[name] = getattr(event, name)
        if self.suppressed:
            values['lines_suppressed'] = self.suppressed
            self.suppressed = 0
        values[CLASS_FIELD] = event.line_class
        _LOGGER.handle(record)

    def _limit(self, line_class: LineClass) -> float:
        if line_class is LineClass.SAMPLE:
            return self.lines_per_s * MAX_SAMPLE_FRACTION
        return self.lines_per_s


def _field_names(event_type: type[RequestEvent]) -> tuple[str, ...]:
    names = _FIELD_NAMES.get(event_type)
    if names is None:
        names = tuple(item.name for item in dataclasses.fields(event_type))
        _FIELD_NAMES[event_type] = names
    return names
