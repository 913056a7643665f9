"""Event counts over a sliding time window."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class SlidingCount:
    """Count of the events in the last ``window_ms`` milliseconds."""

    window_ms: float
    _event_times_ms: deque[float] = field(default_factory=deque)

    def add(self, now_ms: float) -> None:
        """Record an event."""
        self._event_times_ms.append(now_ms)
        self._drop_old(now_ms)

    def count(self, now_ms: float) -> int:
        """Return the number of events in the window that ends now."""
        self._drop_old(now_ms)
        return len(self._event_times_ms)

    def _drop_old(self, now_ms: float) -> None:
        times = self._event_times_ms
        start_ms = now_ms - self.window_ms
        while times and times[0] <= start_ms:
            times.popleft()
