"""Short queue of a node for requests that no target has room for."""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass
from dataclasses import field
import math

# Requests that may wait, for each request that this node has in flight at the
# targets for which they wait. Only its end tells the node of a free slot.
WAITING_PER_IN_FLIGHT = 0.5
MAX_WAITING = 64
# Longest wait. The loads that nodes know are older than a longer one.
MAX_WAIT_MS = 200.0


@dataclass(frozen=True, slots=True, order=True)
class Waiting:
    """A request that waits; the order is that in which they are released.

    Parameters
    ----------
    tier
        Priority of its class; smaller ones are released first.
    is_new
        Whether its caller asks for the first time.
    number
        Position among those that came.
    targets
        Ids of the targets that may serve it.
    """

    tier: tuple[int, int]
    is_new: bool
    number: int
    targets: frozenset[str] = field(compare=False)


@dataclass(slots=True)
class WaitingQueue:
    """Requests of one service that wait for a slot, the most urgent first."""

    _entries: list[Waiting] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self._entries)

    def has_room(self, targets: frozenset[str], in_flight: int) -> bool:
        """Return whether one more may wait for some targets.

        Parameters
        ----------
        in_flight
            Requests that this node has in flight at these targets.
        """
        limit = math.ceil(WAITING_PER_IN_FLIGHT * in_flight)
        rivals = sum(
            not targets.isdisjoint(entry.targets) for entry in self._entries
        )
        return rivals < limit and len(self._entries) < MAX_WAITING

    def add(self, entry: Waiting) -> None:
        """Add a request."""
        insort(self._entries, entry)

    def remove(self, entry: Waiting) -> None:
        """Remove a request that waits no longer, if it is still there."""
        if entry in self._entries:
            self._entries.remove(entry)

    def release(self, target: str) -> Waiting | None:
        """Remove and return the first request that a target may serve."""
        for position, entry in enumerate(self._entries):
            if target in entry.targets:
                return self._entries.pop(position)
        return None

    def release_all_but(self, targets: set[str]) -> list[Waiting]:
        """Remove and return the requests that none of some may serve."""
        released = [
            entry
            for entry in self._entries
            if entry.targets.isdisjoint(targets)
        ]
        for entry in released:
            self._entries.remove(entry)
        return released


def longest_wait_ms(
    objective_left_ms: float, time_left_ms: float, work_ms: float
) -> float:
    """Return how long a request may wait; not positive if it may not.

    Parameters
    ----------
    objective_left_ms, time_left_ms
        Time until the latency objective is missed, and until the deadline.
    work_ms
        Time that the answer takes once it has a slot.
    """
    return min(MAX_WAIT_MS, min(objective_left_ms, time_left_ms) - work_ms)
