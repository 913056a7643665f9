"""What a target says of its load with an answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a target at the moment of an answer.

    Parameters
    ----------
    slowdown
        Time that work takes now relative to the usual; 1 is as usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float
