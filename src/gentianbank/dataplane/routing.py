"""Choice of the region and the target of a request.

Choices stay within the slots of the targets and the budgets of the regions.
"""

from __future__ import annotations

import asyncio
import bisect
from dataclasses import dataclass
from dataclasses import field
import itertools
from operator import attrgetter
from typing import TYPE_CHECKING

from gentianbank.dataplane.leaving_book import LeavingBook
from gentianbank.domain.configuration import LARGE
from gentianbank.policy.balancer import Candidate
from gentianbank.policy.target_health import may_take_work
from gentianbank.policy.target_health import should_eject
from gentianbank.policy.target_health import TargetHealth

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from gentianbank.dataplane.budgets import BudgetBook
    from gentianbank.domain.configuration import Configuration
    from gentianbank.domain.configuration import Place
    from gentianbank.domain.configuration import Service
    from gentianbank.domain.configuration import Target
    from gentianbank.policy.balancer import Balancer

MAX_QUEUED_PER_SLOT = 4


@dataclass(slots=True, eq=False)
class Permit:
    """Permission to send one request to a target.

    It counts against the slots of the target and the budget of the region
    until it is released.
    """

    service: str
    region: str
    target: Target
    large: bool
    released: bool = False


@dataclass(frozen=True, slots=True)
class NoCapacity:
    """All usable targets lack a free slot, or their region lacks budget."""


@dataclass(frozen=True, slots=True)
class NoUsableTarget:
    """No target is usable: all are leaving, draining or already tried."""


Choice = Permit | NoCapacity | NoUsableTarget


@dataclass(frozen=True, slots=True, eq=False)
class Waiter:
    """A request that waits in the queue of a service.

    Parameters
    ----------
    arrival
        Position in the order of arrival, which the request keeps if it
        finds no target when it is woken.
    tried
        Names of the targets that it must not be sent to again.
    woken
        Done when the request should choose a target again.
    """

    arrival: int
    tried: frozenset[str]
    woken: asyncio.Future[None]


@dataclass(slots=True)
class _TargetState:
    health: TargetHealth
    in_flight: int = 0


@dataclass(slots=True)
class _ServiceState:
    # In the order of arrival.
    waiters: list[Waiter] = field(default_factory=list)
    latency_ms: float = 0.0


class Routing:
    """Chooses targets by this node's view of their load and health.

    Parameters
    ----------
    budgets
        Budgets of the regions that requests are sent to.
    balancer
        Chooses among the usable targets of one region.
    clock
        Returns the monotonic time in milliseconds.

    Attributes
    ----------
    leaving
        What the targets say of their leaving.
    """

    def __init__(
        self,
        budgets: BudgetBook,
        balancer: Balancer,
        random: Random,
        clock: Callable[[], float],
    ) -> None:
        self._budgets = budgets
        self._balancer = balancer
        self._random = random
        self._clock = clock
        self._configuration: Configuration | None = None
        self._targets: dict[str, _TargetState] = {}
        self._services: dict[str, _ServiceState] = {}
        self._declared_nodes = 1
        self._arrivals = itertools.count()
        self.leaving = LeavingBook(self._wake_everyone, clock)

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force."""
        return self._configuration

    def update(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        now_ms = self._clock()
        is_first = self._configuration is None
        self._configuration = configuration
        self._declared_nodes = sum(
            region.declared_nodes for region in configuration.regions.values()
        )
        self._budgets.update(configuration)
        names = set()
        for name, service in configuration.services.items():
            self._services.setdefault(name, _ServiceState())
            for target in service.targets:
                names.add(target.name)
                if target.name not in self._targets:
                    # Only targets that are added to a running node begin
                    # with a slow start.
                    warm_ms = float('-inf') if is_first else now_ms
                    health = TargetHealth(warm_from_ms=warm_ms)
                    self._targets[target.name] = _TargetState(health)
        for stale in set(self._targets) - names:
            del self._targets[stale]
        self.leaving.update(names)
        self._wake_everyone()

    def choose(
        self,
        service_name: str,
        service: Service,
        end_ms: float,
        tried: set[str],
    ) -> Choice:
        """Choose a target and reserve a slot and budget for the request.

        Parameters
        ----------
        end_ms
            Time by which the request has certainly ended.
        tried
            Names of the targets of earlier attempts at this request.
        """
        now_ms = self._clock()
        usable = False
        places = list(service.places)
        while places:
            place = self._pick_place(places)
            places.remove(place)
            targets = self._usable_targets(place, tried, now_ms)
            usable = usable or bool(targets)
            candidates = self._candidates(targets, now_ms)
            if not candidates:
                continue
            large = is_large(service)
            if not self._budgets.try_enter(place.region, end_ms, large=large):
                continue
            chosen = self._balancer.choose(candidates, self._random)
            target = next(t for t in targets if t.name == chosen.target)
            self._targets[target.name].in_flight += 1
            return Permit(service_name, place.region, target, large)
        return NoCapacity() if usable else NoUsableTarget()

    def release(self, permit: Permit) -> None:
        """Release a permit; a second call has no effect."""
        if permit.released:
            return
        permit.released = True
        self._budgets.leave(permit.region, large=permit.large)
        state = self._targets.get(permit.target.name)
        if state is not None:
            state.in_flight -= 1
        self._wake_next(permit.service, permit.target.name)

    def join_queue(
        self,
        service_name: str,
        tried: set[str],
        previous: Waiter | None = None,
    ) -> Waiter | None:
        """Queue for a permit; return ``None`` if the queue is full.

        Parameters
        ----------
        tried
            Names of the targets of earlier attempts at this request.
        previous
            Earlier stay of the same request in the queue. The request gets
            its place back, also in a full queue.
        """
        assert self._configuration is not None
        service = self._configuration.services[service_name]
        slots = sum(target.slots for target in service.targets)
        waiters = self._services[service_name].waiters
        if previous is None and len(waiters) >= slots * MAX_QUEUED_PER_SLOT:
            return None
        arrival = previous.arrival if previous else next(self._arrivals)
        waiter = Waiter(arrival, frozenset(tried), asyncio.Future())
        bisect.insort(waiters, waiter, key=attrgetter('arrival'))
        return waiter

    def leave_queue(self, service_name: str, waiter: Waiter) -> None:
        """Leave the queue for good, without a permit.

        If the waiter has been woken, it leaves a slot unused, so the next
        one is woken in its place. A waiter that goes on to choose a target
        must not call this: two waiters would wake each other without end.
        """
        waiters = self._services[service_name].waiters
        if waiter in waiters:
            waiters.remove(waiter)
        elif waiter.woken.done() and not waiter.woken.cancelled():
            self._wake_next(service_name)

    def expected_latency_ms(self, service_name: str) -> float:
        """Return the smoothed time to first byte of a service."""
        return self._services[service_name].latency_ms

    def max_connections_to(self, target: Target) -> int:
        """Return how many connections this node may hold to a target."""
        return max(1, target.max_connections // self._declared_nodes)

    def on_answer(self, permit: Permit, latency_ms: float) -> None:
        """Record an answer of a target and the time to its first byte."""
        state = self._targets.get(permit.target.name)
        if state is None:
            return
        state.health = state.health.on_success(latency_ms)
        service = self._services[permit.service]
        service.latency_ms += 0.1 * (latency_ms - service.latency_ms)
        self._eject_outlier(permit)

    def on_failure(self, permit: Permit) -> None:
        """Record a failure of a target to answer."""
        state = self._targets.get(permit.target.name)
        if state is not None:
            state.health = state.health.on_failure()
            self._eject_outlier(permit)

    def on_report(self, target: str, in_flight: int) -> None:
        """Record a load report of a target."""
        state = self._targets.get(target)
        if state is not None:
            state.health = state.health.on_report(in_flight, self._clock())

    def on_check(self, target: str, *, failing: bool) -> None:
        """Record the result of a health check of a target."""
        state = self._targets.get(target)
        if state is not None:
            state.health = state.health.on_health_check(
                failing=failing, now_ms=self._clock()
            )

    def health_of(self, target: str) -> TargetHealth | None:
        """Return the health of a target, or ``None`` if it is unknown."""
        state = self._targets.get(target)
        return state.health if state else None

    def in_flight_of(self, target: str) -> int:
        """Return how many requests of this node are in flight to a target."""
        state = self._targets.get(target)
        return state.in_flight if state else 0

    def _pick_place(self, places: list[Place]) -> Place:
        # The summand keeps the total above 0 if all shares are 0.
        weights = [place.share_percent + 1e-9 for place in places]
        return self._random.choices(places, weights)[0]

    def _usable_targets(
        self, place: Place, tried: set[str], now_ms: float
    ) -> list[Target]:
        present = [
            target
            for target in place.targets
            if not target.draining and target.name not in tried
        ]
        staying = [t for t in present if self.leaving.may_send(t.name)]
        usable = [t for t in staying if may_take_work(self._health(t), now_ms)]
        # If less than half of the targets seem healthy, the health data may
        # be wrong; it must not take a whole place out of service.
        if len(usable) * 2 < len(staying):
            return staying
        return usable

    def _candidates(
        self, targets: list[Target], now_ms: float
    ) -> list[Candidate]:
        candidates = []
        for target in targets:
            state = self._targets[target.name]
            if state.in_flight >= target.slots:
                continue
            candidates.append(
                Candidate(
                    target=target.name,
                    slots=target.slots,
                    own_in_flight=state.in_flight,
                    reported_in_flight=state.health.reported_in_flight,
                    report_age_ms=now_ms - state.health.reported_ms,
                    weight=state.health.weight(now_ms),
                )
            )
        return candidates

    def _health(self, target: Target) -> TargetHealth:
        return self._targets[target.name].health

    def _eject_outlier(self, permit: Permit) -> None:
        assert self._configuration is not None
        service = self._configuration.services.get(permit.service)
        if service is None:
            return
        healths = {
            target.name: self._health(target)
            for place in service.places
            if place.region == permit.region
            for target in place.targets
        }
        name = permit.target.name
        if name in healths and should_eject(name, healths, self._clock()):
            self._targets[name].health = healths[name].eject(self._clock())

    def _wake_next(self, service_name: str, target: str = '') -> None:
        """Wake the first waiter that may be sent to a target.

        Parameters
        ----------
        target
            Name of the target that became free; empty if it is unknown.
        """
        state = self._services.get(service_name)
        if state is None:
            return
        # A cancelled waiter has not left the queue yet.
        waiting = [w for w in state.waiters if not w.woken.done()]
        for waiter in waiting:
            if target not in waiter.tried:
                state.waiters.remove(waiter)
                waiter.woken.set_result(None)
                return

    def _wake_everyone(self) -> None:
        for service_name in self._services:
            self._wake_all(service_name)

    def _wake_all(self, service_name: str) -> None:
        for _ in list(self._services[service_name].waiters):
            self._wake_next(service_name)


def is_large(service: Service) -> bool:
    """Return whether a service makes large, low-priority transfers."""
    return service.transfer == LARGE
