"""The faults of a soak, drawn from a seed."""

from __future__ import annotations

from dataclasses import dataclass
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

FIRST_S = 2.0
LONGEST_S = 3.0
SHORTEST_S = 0.3
# Two faults of three begin while another lasts.
OVERLAP = 2 / 3
SUBJECTS = 1_000


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a soak.

    Parameters
    ----------
    kind
        Registered name.
    at_s, for_s
        Begin and duration, from the start of traffic.
    subject
        Picks the node or target, in the order of their names.
    """

    kind: str
    at_s: float
    for_s: float
    subject: int


def draw_schedule(
    seed: int, duration_s: float, weights: Mapping[str, float]
) -> list[Fault]:
    """Return the faults of a seed, the same each time.

    Parameters
    ----------
    duration_s
        Time in which faults begin.
    weights
        How often each kind of fault comes, relative to the others.
    """
    rng = random.Random(seed)
    kinds = sorted(weights)
    faults = []
    at_s = FIRST_S
    while at_s < duration_s:
        kind = rng.choices(kinds, [weights[name] for name in kinds])[0]
        for_s = rng.uniform(SHORTEST_S, LONGEST_S)
        subject = rng.randrange(SUBJECTS)
        faults.append(Fault(kind, round(at_s, 2), round(for_s, 2), subject))
        overlaps = rng.random() < OVERLAP
        at_s += rng.uniform(0.1, for_s if overlaps else for_s + 2.0)
    return faults
