"""Admission of a fraction of a class's requests, without chance."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gentianbank.policy.fair_shares.division import Asked

# Sums of fractions that should be whole may fall short by rounding.
_ROUNDING = 1e-9


@dataclass(slots=True)
class CreditCounter:
    """Admits a fraction of the requests, evenly spread.

    Of any requests in a row it admits their number times the fraction, off
    by less than one.

    Parameters
    ----------
    credit
        Fraction of a request that is granted at the start. Nodes with few
        requests start with different values; else all would refuse or all
        admit their first request.
    """

    credit: float = 0.0

    def admits(self, fraction: float) -> bool:
        """Return whether the next request is admitted."""
        self.credit += fraction
        if self.credit < 1 - _ROUNDING:
            return False
        self.credit -= 1
        return True


@dataclass(slots=True)
class ClassAdmission:
    """Admits requests of one class, those of returning callers first.

    Parameters
    ----------
    start_credit
        See ``CreditCounter``.
    returning_fraction, new_fraction
        Fractions to admit.
    """

    start_credit: float = 0.0
    returning_fraction: float = 1.0
    new_fraction: float = 1.0
    _returning: CreditCounter = field(init=False)
    _new: CreditCounter = field(init=False)

    def __post_init__(self) -> None:
        self._returning = CreditCounter(self.start_credit)
        self._new = CreditCounter(self.start_credit)

    def apply(self, asked: Asked, share_per_s: float) -> None:
        """Set the fractions so that the share is used.

        Parameters
        ----------
        share_per_s
            Requests per second of the class that are to be admitted.
        """
        returning_per_s = min(asked.returning_per_s, share_per_s)
        self.returning_fraction = _fraction(
            returning_per_s, asked.returning_per_s
        )
        self.new_fraction = _fraction(
            share_per_s - returning_per_s, asked.new_per_s
        )

    def admits(self, *, returning: bool) -> bool:
        """Return whether the next request is admitted."""
        if returning:
            return self._returning.admits(self.returning_fraction)
        return self._new.admits(self.new_fraction)


def _fraction(part_per_s: float, whole_per_s: float) -> float:
    return min(1.0, part_per_s / whole_per_s) if whole_per_s > 0 else 1.0
