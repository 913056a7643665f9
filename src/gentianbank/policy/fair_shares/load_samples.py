"""Mean load of a service's targets over a window."""

from __future__ import annotations

from dataclasses import dataclass

# A sample looks at every target of the service.
SAMPLE_PERIOD_MS = 200.0


@dataclass(slots=True)
class LoadSamples:
    """Samples of the load; a single one depends on its moment too much."""

    _sum: float = 0.0
    _count: int = 0
    _last_ms: float = float('-inf')

    def is_due(self, now_ms: float) -> bool:
        """Return whether the next sample is to be taken."""
        return now_ms - self._last_ms >= SAMPLE_PERIOD_MS

    def add(self, load: float, now_ms: float) -> None:
        """Add a sample."""
        self._last_ms = now_ms
        self._sum += load
        self._count += 1

    def pop_mean(self) -> float | None:
        """Return the mean and start again; ``None`` without samples."""
        mean = self._sum / self._count if self._count else None
        self._sum = 0.0
        self._count = 0
        return mean
