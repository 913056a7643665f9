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
FULL_REFUSED_FRACTION = 0.005
# Slots in use of all targets. Below the first value refusals come from
# objects whose own targets are full; below the second there is room again.
# A node that ends its shares too early takes what the others leave, so that
# takes two windows.
SHORT_LOAD = 0.85
ROOM_LOAD = 0.7
ROOM_WINDOWS = 2
# Shares end this long after the last observation that the service is short.
HOLD_MS = 5_000.0
# Slots in use, waiting requests included, up to which the assumed room grows.
# Above, the queues of targets fill, and callers within their share would be
# refused for lack of room.
QUEUES_FILL_LOAD = 1.15
# Growth per second with all slots in use, and with free ones.
GROWTH_PER_S = 0.02
FREE_SLOTS_GROWTH_PER_S = 0.1
# Part of the answered requests that is assumed while targets refuse, so that
# their queues get shorter.
FULL_ROOM_PART = 0.97
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
            Whether requests were refused by share.
        """
        fraction = _refused_fraction(counts)
        if was_short:
            self._windows = 0
            return load >= ROOM_LOAD
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
    _low_windows: int = 0
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
        self._low_windows = self._low_windows + 1 if load < ROOM_LOAD else 0
        if not self.is_short(now_ms) or self._low_windows >= ROOM_WINDOWS:
            self.room_per_s = None
            return
        fraction = _refused_fraction(fleet)
        if self.room_per_s is None:
            if fraction >= FULL_REFUSED_FRACTION and load >= ROOM_LOAD:
                self.room_per_s = fleet.answered_per_s
        elif fraction >= FULL_REFUSED_FRACTION:
            room_per_s = FULL_ROOM_PART * fleet.answered_per_s
            change_per_s = room_per_s - self.room_per_s
            self.room_per_s += NEW_COUNT_PART * change_per_s
        elif load < 1:
            self.room_per_s *= 1 + FREE_SLOTS_GROWTH_PER_S * span_s
        elif load < QUEUES_FILL_LOAD:
            self.room_per_s *= 1 + GROWTH_PER_S * span_s


def _refused_fraction(counts: NodeCounts) -> float:
    ended_per_s = counts.answered_per_s + counts.refused_per_s
    return counts.refused_per_s / ended_per_s if ended_per_s else 0.0
