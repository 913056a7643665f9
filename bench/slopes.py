"""Straight lines through measured points."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True)
class Line:
    """A line fitted by least squares."""

    slope: float
    offset: float

    def at(self, size: float) -> float:
        """Return the value at a size."""
        return self.offset + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a line through at least two points."""
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    covariance = sum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    slope = covariance / spread
    return Line(slope, mean_value - slope * mean_size)
