"""Load report that a target sends with an answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a target at the moment of an answer.

    Parameters
    ----------
    running
        Requests that the target is processing.
    waiting
        Requests in the target's queue.
    slots
        Requests that the target processes at once.
    slowdown
        Processing time relative to the target's normal one; 1 is normal.
        Finite and above 0.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


@dataclass(frozen=True, slots=True)
class UnreadableReport:
    """A load report with a figure that is no number in its range."""

    text: str
