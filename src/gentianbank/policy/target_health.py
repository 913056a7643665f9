"""Health of a target: outlier ejection and slow start."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

EJECT_FAILURES = 5
EJECT_MS = 5_000
EJECT_MAX_MS = 60_000
MAX_EJECTED_FRACTION = 0.5
SLOW_START_MS = 10_000
SLOW_START_FLOOR = 0.1
LATENCY_SMOOTHING = 0.2
SLOW_FACTOR = 3.0
SLOW_MIN_SAMPLES = 10


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetHealth:
    """Health of one target as this node observes it.

    Parameters
    ----------
    warm_from_ms
        Time when the slow start began; minus infinity for no slow start.
    failures
        Failures in a row.
    ejections
        Ejections so far; each one doubles the duration of the next.
    latency_ms
        Smoothed time to the first byte of an answer.
    samples
        Answers counted since the last ejection.
    reported_in_flight
        Requests in flight from all nodes, by the last load report.
    reported_ms
        Time of that load report.
    failing
        Whether the target fails its health checks.
    """

    warm_from_ms: float
    failures: int = 0
    ejections: int = 0
    ejected_until_ms: float = float('-inf')
    latency_ms: float = 0.0
    samples: int = 0
    reported_in_flight: int = 0
    reported_ms: float = float('-inf')
    failing: bool = False

    def is_ejected(self, now_ms: float) -> bool:
        """Return whether the target is ejected as an outlier."""
        return now_ms < self.ejected_until_ms

    def weight(self, now_ms: float) -> float:
        """Return the load balancing weight, below 1 during slow start.

        Slow start also follows each ejection.
        """
        age_ms = now_ms - max(self.warm_from_ms, self.ejected_until_ms)
        return min(1.0, max(SLOW_START_FLOOR, age_ms / SLOW_START_MS))

    def on_success(self, latency_ms: float) -> TargetHealth:
        """Record an answer and the time to its first byte."""
        smoothing = LATENCY_SMOOTHING if self.samples else 1.0
        smoothed_ms = self.latency_ms + smoothing * (
            latency_ms - self.latency_ms
        )
        return replace(
            self, failures=0, latency_ms=smoothed_ms, samples=self.samples + 1
        )

    def on_failure(self) -> TargetHealth:
        """Record a failure to answer."""
        return replace(self, failures=self.failures + 1)

    def on_report(self, in_flight: int, now_ms: float) -> TargetHealth:
        """Record a load report."""
        return replace(self, reported_in_flight=in_flight, reported_ms=now_ms)

    def on_health_check(self, *, failing: bool, now_ms: float) -> TargetHealth:
        """Record the result of a health check.

        A target that passes again may have been started again, so slow start
        follows.
        """
        is_back = self.failing and not failing
        return replace(
            self,
            failing=failing,
            warm_from_ms=now_ms if is_back else self.warm_from_ms,
        )

    def eject(self, now_ms: float) -> TargetHealth:
        """Eject the target, twice as long each time, up to a limit."""
        duration_ms = min(EJECT_MS * 2**self.ejections, EJECT_MAX_MS)
        return replace(
            self,
            failures=0,
            samples=0,
            ejections=self.ejections + 1,
            ejected_until_ms=now_ms + duration_ms,
        )


def should_eject(
    target: str, healths: dict[str, TargetHealth], now_ms: float
) -> bool:
    """Return whether a target is to be ejected as an outlier.

    It is after ``EJECT_FAILURES`` failures in a row, or if its latency is
    more than ``SLOW_FACTOR`` times the median of the others. At most half of
    the targets are ejected at a time.

    Parameters
    ----------
    target
        Name of the target whose health has just changed.
    healths
        Health of all targets of the service in the region, by name.
    """
    health = healths[target]
    if health.is_ejected(now_ms):
        return False
    ejected = sum(1 for item in healths.values() if item.is_ejected(now_ms))
    if ejected + 1 > len(healths) * MAX_EJECTED_FRACTION:
        return False
    if health.failures >= EJECT_FAILURES:
        return True
    others = [
        item.latency_ms
        for name, item in healths.items()
        if name != target and item.samples >= SLOW_MIN_SAMPLES
    ]
    if health.samples < SLOW_MIN_SAMPLES or not others:
        return False
    return health.latency_ms > SLOW_FACTOR * _median(others)


def may_take_work(health: TargetHealth, now_ms: float) -> bool:
    """Return whether a target may be sent new requests."""
    return not (health.failing or health.is_ejected(now_ms))


def _median(values: Iterable[float]) -> float:
    ordered = sorted(values)
    return ordered[len(ordered) // 2]
