"""Counts over a sliding window of time."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class SlidingCount:
    """Events of the last ``window_ms`` milliseconds."""

    window_ms: float
    _times: deque[float] = field(default_factory=deque)

    def add(self, now_ms: float) -> None:
        """Count an event."""
        self._times.append(now_ms)

    def count(self, now_ms: float) -> int:
        """Return the events in the window that ends now."""
        times = self._times
        start_ms = now_ms - self.window_ms
        while times and times[0] <= start_ms:
            times.popleft()
        return len(times)
