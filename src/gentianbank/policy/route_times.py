"""Work times of routes, and what is assumed without recent answers.

An estimate that keeps requests of a route from waiting can be mended only by
answers to them. So one that has not been measured for a while, or never, moves
to that of the routes that share the service.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import NamedTuple

# Assumed work time for a cold and for a warm object before the first answer,
# relative to the latency objective.
INITIAL_COLD_GOAL_RATIO = 1.3
INITIAL_WARM_GOAL_RATIO = 0.4
TIME_SMOOTHING = 0.05
# Time after the last answer of a route in which its estimates hold as they
# are, and in which their weight then halves.
RECENT_MS = 10_000.0
HALF_LIFE_MS = 10_000.0


@dataclass(slots=True)
class RouteTimes:
    """Smoothed work times and answer sizes of a route.

    Parameters
    ----------
    warm_ms, cold_ms
        Work time at a slowdown of 1, for a warm and for a cold object.
    mean_ms
        Mean work time over all requests at a slowdown of 1.
    answer_kb
        Mean size of an answer body.
    """

    warm_ms: float
    cold_ms: float
    mean_ms: float
    answer_kb: float = 5.0

    @classmethod
    def initial(cls, latency_objective_ms: float) -> RouteTimes:
        """Return the estimates that hold before the first answer.

        Parameters
        ----------
        latency_objective_ms
            Latency objective of the route.
        """
        return cls(
            latency_objective_ms * INITIAL_WARM_GOAL_RATIO,
            latency_objective_ms * INITIAL_COLD_GOAL_RATIO,
            latency_objective_ms * INITIAL_COLD_GOAL_RATIO,
        )

    def on_answer(
        self, work_ms: float, answer_bytes: int, *, warm: bool
    ) -> None:
        """Record an answer that did not wait in the target's queue."""
        self.answer_kb += TIME_SMOOTHING * (
            answer_bytes / 1_000 - self.answer_kb
        )
        # The bounds keep a few long requests from dominating the estimates.
        bounded_ms = min(work_ms, 2 * self.cold_ms)
        self.mean_ms += TIME_SMOOTHING * (bounded_ms - self.mean_ms)
        if warm:
            work_ms = min(work_ms, 2 * self.warm_ms)
            self.warm_ms += TIME_SMOOTHING * (work_ms - self.warm_ms)
        else:
            work_ms = min(work_ms, 2 * self.cold_ms)
            self.cold_ms += TIME_SMOOTHING * (work_ms - self.cold_ms)


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer that did not wait in the queue of its target.

    Parameters
    ----------
    work_ms
        Work time at a slowdown of 1.
    size_bytes
        Size of the body.
    warm
        Whether the object of the request was warm at the target.
    """

    work_ms: float
    size_bytes: int
    warm: bool


class ServiceKind(NamedTuple):
    """A service, and whether its answers are large."""

    service: str
    large: bool


@dataclass(slots=True)
class _Measured:
    """Estimates and the time of the last answer that changed them."""

    times: RouteTimes
    answered_ms: float = float('-inf')


@dataclass(slots=True)
class WorkTimes:
    """The estimates of all routes and of the services that they share."""

    _routes: dict[str, _Measured] = field(default_factory=dict)
    _services: dict[ServiceKind, _Measured] = field(default_factory=dict)

    def of_route(self, route: str, objective_ms: float) -> RouteTimes:
        """Return what the answers of a route alone show.

        Parameters
        ----------
        objective_ms
            Latency objective of the route.
        """
        return self._route(route, objective_ms).times

    def estimate(
        self, route: str, objective_ms: float, kind: ServiceKind, now_ms: float
    ) -> RouteTimes:
        """Return the estimates for a request, which are not to be changed.

        The older the last answer of the route, the more those of the other
        routes of the service count, if they are newer.
        """
        own = self._routes.get(route)
        shared = self._services.get(kind)
        if own is None or own.answered_ms == float('-inf'):
            if shared is not None:
                return shared.times
            return own.times if own else RouteTimes.initial(objective_ms)
        age_ms = now_ms - own.answered_ms - RECENT_MS
        if age_ms <= 0 or shared is None:
            return own.times
        if shared.answered_ms <= own.answered_ms:
            return own.times
        return _blend(own.times, shared.times, 0.5 ** (age_ms / HALF_LIFE_MS))

    def on_answer(
        self,
        route: str,
        objective_ms: float,
        kind: ServiceKind,
        answer: Answer,
        now_ms: float,
    ) -> None:
        """Record an answer that did not wait in the target's queue."""
        own = self._route(route, objective_ms)
        shared = self._services.get(kind)
        if shared is None:
            initial = RouteTimes.initial(objective_ms)
            shared = self._services[kind] = _Measured(initial)
        elif own.answered_ms == float('-inf'):
            own.times = replace(shared.times)
        for measured in (own, shared):
            measured.answered_ms = now_ms
            measured.times.on_answer(
                answer.work_ms, answer.size_bytes, warm=answer.warm
            )

    def _route(self, route: str, objective_ms: float) -> _Measured:
        measured = self._routes.get(route)
        if measured is None:
            measured = _Measured(RouteTimes.initial(objective_ms))
            self._routes[route] = measured
        return measured


def _blend(
    own: RouteTimes, shared: RouteTimes, own_weight: float
) -> RouteTimes:
    shared_weight = 1 - own_weight
    return RouteTimes(
        own.warm_ms * own_weight + shared.warm_ms * shared_weight,
        own.cold_ms * own_weight + shared.cold_ms * shared_weight,
        own.mean_ms * own_weight + shared.mean_ms * shared_weight,
        own.answer_kb * own_weight + shared.answer_kb * shared_weight,
    )
