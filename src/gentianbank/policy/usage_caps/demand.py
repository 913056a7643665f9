"""Demand of one workspace at one node, and times booked for its callers."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
import math

# Time constant of the estimated rates.
SMOOTHING_MS = 400.0
# Tokens are kept in hand only if this many are expected to be used before
# they expire. Otherwise most of them would expire unused.
MIN_EXPECTED_USES = 3.0
# Part of the lifetime of a token whose demand is kept in hand.
MAX_HELD_LIFETIME = 0.5
# Deviations above the expected demand that are kept in hand.
DEVIATIONS = 1.5
# A caller with a booked time has priority from a little before it until
# this long after it.
LEAD_MS = 20.0
KEPT_MS = 400.0
MAX_BOOKED = 2_000
# Part of each new outcome in the fraction of booked callers that come back.
RETURN_SMOOTHING = 0.05
_MS_PER_S = 1_000


@dataclass(slots=True)
class SmoothedRate:
    """Exponentially smoothed number of events per second."""

    _per_s: float = 0.0
    _updated_ms: float = float('-inf')

    def add(self, count: float, now_ms: float) -> None:
        """Count events."""
        self._decay(now_ms)
        self._per_s += count * _MS_PER_S / SMOOTHING_MS

    def per_s(self, now_ms: float) -> float:
        """Return the rate now."""
        self._decay(now_ms)
        return self._per_s

    def _decay(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._per_s *= math.exp(-elapsed_ms / SMOOTHING_MS)
        self._updated_ms = max(now_ms, self._updated_ms)


def tokens_to_hold(
    demand_per_s: float, batch_ms: float, grant_ms: float
) -> int:
    """Return how many tokens a node keeps in hand for its demand."""
    expected_uses = demand_per_s * grant_ms / _MS_PER_S
    if expected_uses < MIN_EXPECTED_USES:
        return 0
    expected = demand_per_s * 2 * batch_ms / _MS_PER_S
    wanted = expected + DEVIATIONS * math.sqrt(expected)
    return round(min(wanted, expected_uses * MAX_HELD_LIFETIME))


@dataclass(slots=True)
class Bookings:
    """Times at which refused callers may come back, in order.

    A caller that comes back at its time has priority over those without a
    time. One that comes earlier loses the priority and is refused until then.
    Tokens are kept for those who come only in the proportion in which booked
    callers did come back here: where each attempt has an id of its own, or
    goes to another node, kept tokens would expire unused.
    """

    _due_ms: OrderedDict[bytes, float] = field(default_factory=OrderedDict)
    _refused_until_ms: OrderedDict[bytes, float] = field(
        default_factory=OrderedDict
    )
    _last_ms: float = float('-inf')
    _return_fraction: float = 0.0

    def book(
        self, caller: bytes, per_s: float, limit_ms: float, now_ms: float
    ) -> float:
        """Return for how long a refused caller must wait.

        Parameters
        ----------
        per_s
            Rate at which this node expects tokens.
        limit_ms
            Longest time that the caller waits. For a longer one no time is
            booked.
        """
        self._drop_old(now_ms)
        refused_ms = self._refused_until_ms.get(caller, now_ms)
        if refused_ms - LEAD_MS > now_ms:
            self._due_ms.pop(caller, None)
            return refused_ms - now_ms
        step_ms = _MS_PER_S / max(per_s, 1e-3)
        due_ms = max(now_ms, self._last_ms) + step_ms
        if due_ms - now_ms <= limit_ms and len(self._due_ms) < MAX_BOOKED:
            self._due_ms.pop(caller, None)
            self._due_ms[caller] = self._last_ms = due_ms
        self._refused_until_ms.pop(caller, None)
        self._refused_until_ms[caller] = due_ms
        return due_ms - now_ms

    def is_due(self, caller: bytes, now_ms: float) -> bool:
        """Return whether a caller comes back at its time."""
        due_ms = self._due_ms.get(caller, float('inf'))
        return due_ms - LEAD_MS <= now_ms < due_ms + KEPT_MS

    def is_early(self, caller: bytes, now_ms: float) -> bool:
        """Return whether a caller comes back before its time."""
        return now_ms < self._refused_until_ms.get(caller, now_ms) - LEAD_MS

    def remove(self, caller: bytes) -> None:
        """Drop the time of a caller that was admitted."""
        if self._due_ms.pop(caller, None) is not None:
            self._on_outcome(returned=True)
        self._refused_until_ms.pop(caller, None)

    def kept_tokens(self, now_ms: float) -> int:
        """Return how many tokens to keep for callers with priority."""
        return int(self.due_count(now_ms) * self._return_fraction)

    def due_count(self, now_ms: float) -> int:
        """Return how many callers may come back now with priority."""
        self._drop_old(now_ms)
        count = 0
        for due_ms in self._due_ms.values():
            if due_ms - LEAD_MS > now_ms:
                break
            count += 1
        return count

    def _drop_old(self, now_ms: float) -> None:
        refused = self._refused_until_ms
        while refused and (
            len(refused) > MAX_BOOKED or next(iter(refused.values())) <= now_ms
        ):
            refused.popitem(last=False)
        while self._due_ms:
            caller, due_ms = next(iter(self._due_ms.items()))
            if due_ms + KEPT_MS > now_ms:
                return
            del self._due_ms[caller]
            self._on_outcome(returned=False)

    def _on_outcome(self, *, returned: bool) -> None:
        change = float(returned) - self._return_fraction
        self._return_fraction += RETURN_SMOOTHING * change
