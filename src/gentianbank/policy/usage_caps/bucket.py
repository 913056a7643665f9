"""An owner's token bucket of one workspace."""

from __future__ import annotations

from dataclasses import dataclass

_MS_PER_S = 1_000


@dataclass(slots=True)
class OwnerBucket:
    """Tokens that an owner may still grant.

    Parameters
    ----------
    level
        Tokens in the bucket.
    filled_ms
        Time until which the bucket has been filled.
    """

    level: float
    filled_ms: float
    _rate_per_s: float = 0.0

    def fill(self, rate_per_s: float, capacity: float, now_ms: float) -> None:
        """Add what has flowed in since the last call.

        The lower one of the rates at the two calls applies, since parts may
        have been held back for a portion of the time between them.
        """
        rate = min(rate_per_s, self._rate_per_s)
        elapsed_s = max(0.0, now_ms - self.filled_ms) / _MS_PER_S
        self.level = min(capacity, self.level + rate * elapsed_s)
        self.filled_ms = max(now_ms, self.filled_ms)
        self._rate_per_s = rate_per_s

    def take(self, wanted: int) -> int:
        """Take whole tokens, as many as there are of those wanted."""
        granted = max(0, min(wanted, int(self.level)))
        self.level -= granted
        return granted

    @property
    def wait_ms(self) -> float:
        """Return the time until the bucket has a token."""
        missing = max(0.0, 1 - self.level)
        if not missing:
            return 0.0
        if self._rate_per_s <= 0:
            return float(_MS_PER_S)
        return missing / self._rate_per_s * _MS_PER_S
