"""Weighted max-min division of a service's room, by priority."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

# No class gets less than this part of the mean fraction that is served.
FLOOR_FRACTION = 0.25
# A request counts once for the floor, however often it returns, up to this
# many attempts for each new request.
MAX_ATTEMPTS_PER_REQUEST = 4
_MIN_SLOPE = 1e-9


@dataclass(frozen=True, slots=True)
class ClassKey:
    """Requests of one workspace with one route priority.

    Parameters
    ----------
    workspace
        Name of the workspace; empty for requests without one.
    priority
        Priority of the workspace; 0 is the most urgent.
    route_priority
        Priority of the route; 0 is the most urgent.
    """

    workspace: str
    priority: int
    route_priority: int

    @property
    def tier(self) -> tuple[int, int]:
        """Return the rank of the class; smaller ones are served first."""
        return self.priority, self.route_priority


@dataclass(frozen=True, slots=True)
class Asked:
    """What a class asks for.

    Parameters
    ----------
    new_per_s, returning_per_s
        Requests per second of callers that ask for the first time, and of
        those that were refused before.
    classes
        Number of classes whose requests are added up here.
    """

    new_per_s: float
    returning_per_s: float = 0.0
    classes: int = 1

    @property
    def per_s(self) -> float:
        """Return all attempts per second."""
        return self.new_per_s + self.returning_per_s

    @property
    def distinct_per_s(self) -> float:
        """Return the requests per second, each counted once.

        The number of attempts bounds it from below, since callers with
        deadlines of their own may look like returning ones.
        """
        return max(self.new_per_s, self.per_s / MAX_ATTEMPTS_PER_REQUEST)


def divide_room(
    asked: dict[ClassKey, Asked], room_per_s: float
) -> dict[ClassKey, float]:
    """Return how many requests per second of each class are served.

    Parameters
    ----------
    room_per_s
        Requests per second that the service can answer.
    """
    if sum(item.per_s for item in asked.values()) <= room_per_s:
        return {key: item.per_s for key, item in asked.items()}
    floors = find_floors(asked, room_per_s)
    tiers: defaultdict[tuple[int, int], list[ClassKey]] = defaultdict(list)
    for key in asked:
        tiers[key.tier].append(key)
    left_per_s = room_per_s - sum(floors.values())
    shares: dict[ClassKey, float] = {}
    for tier in sorted(tiers):
        keys = tiers[tier]
        floor_per_s = sum(floors[key] for key in keys)
        available_per_s = floor_per_s + left_per_s
        level = _water_level(
            [(floors[key], asked[key]) for key in keys], available_per_s
        )
        for key in keys:
            item = asked[key]
            level_per_s = min(item.per_s, item.classes * level)
            shares[key] = max(floors[key], level_per_s)
        given_per_s = sum(shares[key] for key in keys)
        left_per_s = max(0.0, available_per_s - given_per_s)
    return shares


def find_floors(
    asked: dict[ClassKey, Asked], room_per_s: float
) -> dict[ClassKey, float]:
    """Return the least that each class gets when room is short.

    Parameters
    ----------
    room_per_s
        Requests per second that the service can answer.
    """
    distinct_per_s = sum(item.distinct_per_s for item in asked.values())
    if not distinct_per_s:
        return dict.fromkeys(asked, 0.0)
    mean_fraction = min(1.0, room_per_s / distinct_per_s)
    return {
        key: item.distinct_per_s * mean_fraction * FLOOR_FRACTION
        for key, item in asked.items()
    }


def _water_level(
    claims: Sequence[tuple[float, Asked]], available_per_s: float
) -> float:
    """Return the level up to which the available room serves each class.

    What is served grows with the level from the floor of a class on and
    until all that it asks for is served.
    """
    used_per_s = sum(floor for floor, _ in claims)
    level = 0.0
    slope = 0.0
    for at, change in sorted(_slope_changes(claims)):
        if slope > _MIN_SLOPE:
            reached = level + (available_per_s - used_per_s) / slope
            if reached <= at:
                return reached
        used_per_s += slope * (at - level)
        level = at
        slope += change
    return math.inf


def _slope_changes(
    claims: Iterable[tuple[float, Asked]],
) -> Iterable[tuple[float, float]]:
    for floor, item in claims:
        yield floor / item.classes, item.classes
        yield item.per_s / item.classes, -item.classes
