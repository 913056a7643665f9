"""Choice of a target among those that may take a request."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from random import Random

REPORT_HALF_LIFE_MS = 1_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """Snapshot of a target that may take the request.

    Parameters
    ----------
    own_in_flight
        Requests that this node has running on the target.
    reported_in_flight
        Requests that the target last reported, from all nodes.
    report_age_ms
        Age of that report; infinite without one.
    weight
        1 for a warm target, less while it is started slowly.
    """

    target: str
    slots: int
    own_in_flight: int
    reported_in_flight: int = 0
    report_age_ms: float = float('inf')
    weight: float = 1.0


class Balancer(ABC):
    """A way to choose a target."""

    @abstractmethod
    def choose(
        self, candidates: Sequence[Candidate], random: Random
    ) -> Candidate:
        """Choose one of at least one candidates."""


BALANCERS: dict[str, type[Balancer]] = {}


def register_balancer(
    name: str,
) -> Callable[[type[Balancer]], type[Balancer]]:
    """Register a balancer under the name used in settings."""

    def register(kind: type[Balancer]) -> type[Balancer]:
        BALANCERS[name] = kind
        return kind

    return register


@register_balancer('random')
class RandomBalancer(Balancer):
    """Chooses by weight alone."""

    def choose(
        self, candidates: Sequence[Candidate], random: Random
    ) -> Candidate:
        weights = [item.weight for item in candidates]
        return random.choices(candidates, weights)[0]


@register_balancer('least-in-flight')
class LeastInFlightBalancer(Balancer):
    """Chooses the lowest own load per slot, ties at random."""

    def choose(
        self, candidates: Sequence[Candidate], random: Random
    ) -> Candidate:
        return min(
            candidates, key=lambda item: (own_load(item), random.random())
        )


@register_balancer('power-of-two')
class PowerOfTwoBalancer(Balancer):
    """Draws two targets and takes the one with the lower own load."""

    def choose(
        self, candidates: Sequence[Candidate], random: Random
    ) -> Candidate:
        return _better_of_two(candidates, random, own_load)


@register_balancer('power-of-two-shared')
class SharedPowerOfTwoBalancer(Balancer):
    """Like power of two, on load reports weighted by their age."""

    def choose(
        self, candidates: Sequence[Candidate], random: Random
    ) -> Candidate:
        return _better_of_two(candidates, random, shared_load)


def own_load(item: Candidate) -> float:
    """Return this node's load on a target per slot, the next included."""
    return (item.own_in_flight + 1) / (item.slots * item.weight)


def shared_load(item: Candidate) -> float:
    """Return the load per slot, with the others' share aged away."""
    age = item.report_age_ms / REPORT_HALF_LIFE_MS
    trust = 0.5**age if age < 60 else 0.0
    others = max(0, item.reported_in_flight - item.own_in_flight)
    in_flight = item.own_in_flight + 1 + trust * others
    return in_flight / (item.slots * item.weight)


def _better_of_two(
    candidates: Sequence[Candidate],
    random: Random,
    load: Callable[[Candidate], float],
) -> Candidate:
    if len(candidates) == 1:
        return candidates[0]
    first, second = random.sample(candidates, 2)
    return first if load(first) <= load(second) else second
