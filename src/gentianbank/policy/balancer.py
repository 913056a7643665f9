"""Load balancing: choice of a target among those that may be used."""

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
    """Snapshot of a target that the request may be sent to.

    Parameters
    ----------
    own_in_flight
        Requests that this node has in flight at the target.
    reported_in_flight
        Requests in flight from all nodes, by the last load report.
    report_age_ms
        Age of that load report; infinite without one.
    weight
        1 normally, less during the slow start of a target.
    """

    target: str
    slots: int
    own_in_flight: int
    reported_in_flight: int = 0
    report_age_ms: float = float('inf')
    weight: float = 1.0


class Balancer(ABC):
    """A load balancing algorithm."""

    @abstractmethod
    def choose(
        self, candidates: Sequence[Candidate], random: Random
    ) -> Candidate:
        """Choose one of the candidates, of which there is at least one."""


BALANCERS: dict[str, type[Balancer]] = {}


def register_balancer(
    name: str,
) -> Callable[[type[Balancer]], type[Balancer]]:
    """Register a balancer under the name used in settings."""

    def register(balancer_class: type[Balancer]) -> type[Balancer]:
        BALANCERS[name] = balancer_class
        return balancer_class

    return register


@register_balancer('random')
class RandomBalancer(Balancer):
    """Chooses at random in proportion to the weights."""

    def choose(
        self, candidates: Sequence[Candidate], random: Random
    ) -> Candidate:
        weights = [item.weight for item in candidates]
        return random.choices(candidates, weights)[0]


@register_balancer('least-in-flight')
class LeastInFlightBalancer(Balancer):
    """Chooses the lowest own load per slot; breaks ties at random."""

    def choose(
        self, candidates: Sequence[Candidate], random: Random
    ) -> Candidate:
        return min(
            candidates, key=lambda item: (own_load(item), random.random())
        )


@register_balancer('power-of-two')
class PowerOfTwoBalancer(Balancer):
    """Draws two targets and chooses the one with the lower own load."""

    def choose(
        self, candidates: Sequence[Candidate], random: Random
    ) -> Candidate:
        return _choose_less_loaded_of_two(candidates, random, own_load)


@register_balancer('power-of-two-shared')
class SharedPowerOfTwoBalancer(Balancer):
    """Power of two choices on the load of all nodes.

    The load of the other nodes comes from load reports, weighted by age.
    """

    def choose(
        self, candidates: Sequence[Candidate], random: Random
    ) -> Candidate:
        return _choose_less_loaded_of_two(candidates, random, shared_load)


def own_load(item: Candidate) -> float:
    """Return this node's load per slot, with the new request included."""
    return (item.own_in_flight + 1) / (item.slots * item.weight)


def shared_load(item: Candidate) -> float:
    """Return the load of all nodes per slot, with the new request included.

    The load of the other nodes loses half its weight with each half-life of
    the load report.
    """
    half_lives = item.report_age_ms / REPORT_HALF_LIFE_MS
    decay = 0.5**half_lives if half_lives < 60 else 0.0
    others = max(0, item.reported_in_flight - item.own_in_flight)
    in_flight = item.own_in_flight + 1 + decay * others
    return in_flight / (item.slots * item.weight)


def _choose_less_loaded_of_two(
    candidates: Sequence[Candidate],
    random: Random,
    load: Callable[[Candidate], float],
) -> Candidate:
    if len(candidates) == 1:
        return candidates[0]
    first, second = random.sample(candidates, 2)
    return first if load(first) <= load(second) else second
