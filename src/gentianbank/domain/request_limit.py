"""What the answer of a target says of a limit on its requests."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """The target takes only so many requests from all nodes together."""

    requests_per_s: float


@dataclass(frozen=True, slots=True)
class NoLimit:
    """The target names no limit."""


@dataclass(frozen=True, slots=True)
class UnreadableLimit:
    """The target names a limit that is not a number from 0 on."""

    text: str


LimitStatement = NamedLimit | NoLimit | UnreadableLimit
