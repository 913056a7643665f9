"""Whether a service is short of room, and how much room it has."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gentianbank.policy.fair_shares.counts import NodeCounts

# Part of what left a node that must be refused for lack of room, in two
# windows in a row: answers to a load that has just risen come a window late.
SHORT_REFUSED_FRACTION = 0.02
SHORT_WINDOWS = 2
# The same once the service is short: the room that is known hides most of it.
STILL_SHORT_REFUSED_FRACTION = 0.002
# Slots in use of all targets. Below the first value refusals come from
# objects whose own targets are full; below the second there is room again.
SHORT_LOAD = 0.85
ROOM_LOAD = 0.7
# Shares end this long after the last observation that the service is short.
HOLD_MS = 5_000.0
# Growth of the assumed room per second while hardly anything is refused for
# lack of room. Callers within their share pay for a larger one.
GROWTH_PER_S = 0.03
# Part of a new count in the room: single counts of small services vary much.
NEW_COUNT_PART = 0.5
_MS_PER_S = 1_000


@dataclass(slots=True)
class ShortageDetector:
    """Observes at one node whether a service is short of room."""

    _windows: int = 0

    def observe(
        self, counts: NodeCounts, load: float, *, was_short: bool
    ) -> bool:
        """Return whether the service is short after a window.

        Parameters
        ----------
        load
            Fraction of the slots in use at all targets of the service.
        was_short
            Whether the service is known to be short.
        """
        fraction = _refused_fraction(counts)
        if was_short:
            self._windows = 0
            return load >= ROOM_LOAD and (
                fraction >= STILL_SHORT_REFUSED_FRACTION
            )
        is_short = load >= SHORT_LOAD and fraction >= SHORT_REFUSED_FRACTION
        self._windows = self._windows + 1 if is_short else 0
        return self._windows >= SHORT_WINDOWS


@dataclass(slots=True)
class RoomEstimate:
    """Room of a service over all nodes.

    Parameters
    ----------
    room_per_s
        Requests per second that it can answer; ``None`` while the service
        is not short.
    """

    room_per_s: float | None = None
    _short_ms: float = float('-inf')
    _stepped_ms: float = float('-inf')

    def is_short(self, now_ms: float) -> bool:
        """Return whether the service was short a short while ago."""
        return now_ms - self._short_ms <= HOLD_MS

    def step(self, fleet: NodeCounts, load: float, now_ms: float) -> None:
        """Apply new counts.

        Parameters
        ----------
        fleet
            Counts of all nodes together.
        load
            Fraction of the slots in use at all targets of the service.
        """
        if fleet.is_short:
            self._short_ms = now_ms
        span_s = (now_ms - self._stepped_ms) / _MS_PER_S
        self._stepped_ms = now_ms
        if not self.is_short(now_ms) or load < ROOM_LOAD:
            self.room_per_s = None
            return
        if _refused_fraction(fleet) >= SHORT_REFUSED_FRACTION:
            known_per_s = self.room_per_s or fleet.answered_per_s
            change_per_s = fleet.answered_per_s - known_per_s
            self.room_per_s = known_per_s + NEW_COUNT_PART * change_per_s
        elif self.room_per_s is not None:
            grown_per_s = self.room_per_s * (1 + GROWTH_PER_S * span_s)
            self.room_per_s = grown_per_s


def _refused_fraction(counts: NodeCounts) -> float:
    ended_per_s = counts.answered_per_s + counts.refused_per_s
    return counts.refused_per_s / ended_per_s if ended_per_s else 0.0
