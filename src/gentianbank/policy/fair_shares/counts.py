"""What a node counts of a service, and its sum over the fleet."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gentianbank.policy.fair_shares.division import Asked
from gentianbank.policy.fair_shares.division import ClassKey

if TYPE_CHECKING:
    from collections.abc import Iterable

WINDOW_MS = 1_000.0
# Part of the newest window in the rates of what is asked; the rest is that of
# the windows before. Single windows of small classes vary too much.
NEW_WINDOW_PART = 0.5
# Classes that ask less are forgotten.
MIN_ASKED_PER_S = 0.02
_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class NodeCounts:
    """Rates of one service at one node.

    Parameters
    ----------
    asked
        Requests per second that callers sent, by class.
    answered_per_s
        Requests per second that targets answered.
    refused_per_s
        Requests per second that were refused since no target had room.
    is_short
        Whether the node observes that the service is short of room.
    """

    asked: dict[ClassKey, Asked] = field(default_factory=dict)
    answered_per_s: float = 0.0
    refused_per_s: float = 0.0
    is_short: bool = False


@dataclass(slots=True)
class WindowedCounter:
    """Counts the requests of a service in windows.

    Parameters
    ----------
    start_ms
        Start of the current window.
    """

    start_ms: float
    _new: Counter[ClassKey] = field(default_factory=Counter)
    _returning: Counter[ClassKey] = field(default_factory=Counter)
    _answered: int = 0
    _refused: int = 0
    _asked: dict[ClassKey, Asked] = field(default_factory=dict)

    def on_request(self, key: ClassKey, *, returning: bool) -> None:
        """Count a request of a caller."""
        (self._returning if returning else self._new)[key] += 1

    def on_answered(self) -> None:
        """Count a request that a target answered."""
        self._answered += 1

    def on_no_room(self) -> None:
        """Count a request that was refused since no target had room."""
        self._refused += 1

    @property
    def has_refusals(self) -> bool:
        """Return whether requests were refused for lack of room."""
        return self._refused > 0

    def is_due(self, now_ms: float) -> bool:
        """Return whether the current window is over."""
        return now_ms - self.start_ms >= WINDOW_MS

    def end_window(self, now_ms: float) -> NodeCounts:
        """Start the next window; return the rates up to now."""
        span_s = (now_ms - self.start_ms) / _MS_PER_S
        self.start_ms = now_ms
        self._asked = self._smoothed(span_s)
        self._new.clear()
        self._returning.clear()
        counts = NodeCounts(
            self._asked, self._answered / span_s, self._refused / span_s
        )
        self._answered = self._refused = 0
        return counts

    def _smoothed(self, span_s: float) -> dict[ClassKey, Asked]:
        rates = {}
        none = Asked(0.0)
        for key in {*self._asked, *self._new, *self._returning}:
            before = self._asked.get(key)
            new_per_s = self._new[key] / span_s
            returning_per_s = self._returning[key] / span_s
            if before is None and not self._asked:
                # The first window of all has none before it.
                before = Asked(new_per_s, returning_per_s)
            before = before or none
            rate = Asked(
                _mix(before.new_per_s, new_per_s),
                _mix(before.returning_per_s, returning_per_s),
            )
            if rate.per_s >= MIN_ASKED_PER_S:
                rates[key] = rate
        return rates


def sum_counts(
    own: NodeCounts, heard: Iterable[NodeCounts], scale: float
) -> NodeCounts:
    """Return the estimate for the fleet.

    Parameters
    ----------
    heard
        Counts of the other nodes that are heard.
    scale
        Number of all other nodes for each one that is heard.
    """
    new: defaultdict[ClassKey, float] = defaultdict(float)
    returning: defaultdict[ClassKey, float] = defaultdict(float)
    classes: defaultdict[ClassKey, int] = defaultdict(lambda: 1)
    answered_per_s = refused_per_s = 0.0
    is_short = False
    for counts, factor in ((own, 1.0), *((item, scale) for item in heard)):
        answered_per_s += counts.answered_per_s * factor
        refused_per_s += counts.refused_per_s * factor
        is_short = is_short or counts.is_short
        for key, item in counts.asked.items():
            new[key] += item.new_per_s * factor
            returning[key] += item.returning_per_s * factor
            classes[key] = max(classes[key], item.classes)
    asked = {key: Asked(new[key], returning[key], classes[key]) for key in new}
    return NodeCounts(asked, answered_per_s, refused_per_s, is_short)


def _mix(before: float, newest: float) -> float:
    return before + NEW_WINDOW_PART * (newest - before)
