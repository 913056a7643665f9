"""Measured times of a service's cold targets, relative to warm ones."""

from __future__ import annotations

from dataclasses import dataclass

# Ratio that is assumed before the first answer of a cold target.
INITIAL_COLD_RATIO = 2.0
MIN_COLD_RATIO = 1.0
MAX_COLD_RATIO = 4.0
SMOOTHING = 0.1


@dataclass(slots=True)
class ColdRatio:
    """Smoothed ratio of cold targets' times to the expected ones."""

    value: float = INITIAL_COLD_RATIO

    def on_answer(self, time_ratio: float) -> None:
        """Record an answer of a cold target.

        Parameters
        ----------
        time_ratio
            Time of the answer relative to that of a warm target.
        """
        bounded = min(MAX_COLD_RATIO, max(MIN_COLD_RATIO, time_ratio))
        self.value += SMOOTHING * (bounded - self.value)
