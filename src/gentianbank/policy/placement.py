"""Choice of the target of a request by its expected cost.

The cost is in milliseconds: the expected time to the answer, plus what the
bytes between failure domains and regions are worth in time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gentianbank.policy.target_load import TargetLoad

# Work of an object that the target has not handled lately, relative to the
# latency objective, until it is measured.
INITIAL_COLD_OF_GOAL = 1.3
INITIAL_WARM_OF_GOAL = 0.4
TIME_SMOOTHING = 0.05
# Chance that an object is warm at the first targets of its order, by the
# requests of other nodes.
WARM_BY_RANK = (0.8, 0.3, 0.1)
WARM_ELSEWHERE = 0.0
# A target has handled its share of objects after so long.
SETTLED_MS = 10_000.0
DOMAIN_MS_PER_KB = 1.3
REGION_MS_PER_KB = 3.0
FAILURE_MS = 1_500.0
# Time on the way to a target and back, the same for all.
TRAVEL_MS = 5.0
# A target's own queue is used up to this many requests a slot: short, since
# who waits longer is late, and shorter for what is less urgent.
MAX_QUEUE_PER_SLOT = 0.5
MAX_URGENT_QUEUE_PER_SLOT = 1.0
# Callers that return wait in that much more, but never before urgent ones.
RETURNING_QUEUE_PER_SLOT = 0.25
# A request waits only where even a longer time than expected would do.
TIME_LEFT_FACTOR = 1.2


@dataclass(slots=True)
class RouteTimes:
    """Smoothed times and sizes of a route's answers.

    Parameters
    ----------
    warm_ms, cold_ms
        Time of work at the usual speed, for an object that the target has
        handled lately and for another.
    mean_ms
        Time of work of all requests at their targets' speeds.
    """

    warm_ms: float
    cold_ms: float
    mean_ms: float
    answer_kb: float = 5.0

    @classmethod
    def initial(cls, goal_ms: float) -> RouteTimes:
        """Return what is assumed before the first answer."""
        return cls(
            goal_ms * INITIAL_WARM_OF_GOAL,
            goal_ms * INITIAL_COLD_OF_GOAL,
            goal_ms * INITIAL_COLD_OF_GOAL,
        )

    def on_answer(
        self, work_ms: float, answer_bytes: int, *, warm: bool
    ) -> None:
        """Take an answer that did not wait in the target's queue."""
        self.answer_kb += TIME_SMOOTHING * (
            answer_bytes / 1_000 - self.answer_kb
        )
        bounded_ms = min(work_ms, 2 * self.cold_ms)
        self.mean_ms += TIME_SMOOTHING * (bounded_ms - self.mean_ms)
        if warm:
            # A few long requests must not hide what most take.
            work_ms = min(work_ms, 2 * self.warm_ms)
            self.warm_ms += TIME_SMOOTHING * (work_ms - self.warm_ms)
        else:
            work_ms = min(work_ms, 2 * self.cold_ms)
            self.cold_ms += TIME_SMOOTHING * (work_ms - self.cold_ms)


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """A request that looks for a target.

    Parameters
    ----------
    topic
        Object that the request concerns; empty for none.
    urgent
        Whether the service also has less urgent routes.
    returning
        Whether the caller was turned away before: it may wait longer, and
        a late answer is better than none.
    goal_left_ms
        Time until the latency objective is missed.
    time_left_ms
        Time until the final answer is due.
    """

    topic: str
    region: str
    failure_domain: str
    times: RouteTimes
    urgent: bool
    returning: bool
    goal_left_ms: float
    time_left_ms: float


@dataclass(frozen=True, slots=True)
class Placed:
    """The chosen target and what was expected of it.

    Parameters
    ----------
    occupancy
        Requests that the target was believed to have.
    report_age_ms
        Age of the target's last report; infinite before the first one.
    slowdown
        Slowdown that was expected of the target.
    """

    target: TargetLoad
    expected_ms: float
    wait_ms: float
    warm: bool
    occupancy: float
    report_age_ms: float
    slowdown: float


@dataclass(frozen=True, slots=True)
class BusyTarget:
    """A target without room, and the requests it is believed to have."""

    target_id: str
    occupancy: float


@dataclass(frozen=True, slots=True)
class Full:
    """Targets exist, but none can answer in time.

    Parameters
    ----------
    busy
        The targets that were considered.
    """

    busy: tuple[BusyTarget, ...] = ()


@dataclass(frozen=True, slots=True)
class NoTarget:
    """No target may be used."""


Placement = Placed | Full | NoTarget


def place(
    demand: Demand, ordered: Sequence[TargetLoad], now_ms: float
) -> Placement:
    """Choose the target with the least expected cost.

    Parameters
    ----------
    ordered
        Targets that may be used, by the order of the request's object.
    """
    if not ordered:
        return NoTarget()
    best: Placed | None = None
    best_cost_ms = float('inf')
    times = demand.times
    queue_per_slot = MAX_QUEUE_PER_SLOT
    if demand.urgent:
        queue_per_slot = MAX_URGENT_QUEUE_PER_SLOT
    if demand.returning:
        queue_per_slot += RETURNING_QUEUE_PER_SLOT
    for rank, target in enumerate(ordered):
        slots = target.registration.slots
        occupancy = target.occupancy(now_ms)
        over = occupancy - slots + 1
        slowdown = target.slowdown(now_ms)
        wait_ms = max(0.0, over) / slots * times.mean_ms * slowdown
        if over > slots * queue_per_slot:
            continue
        known = bool(demand.topic) and target.knows(demand.topic)
        if known:
            work_ms = times.warm_ms * slowdown
        elif not demand.topic:
            work_ms = times.mean_ms * slowdown
        else:
            settled = min(1.0, (now_ms - target.since_ms) / SETTLED_MS)
            work_ms = _unknown_ms(times, rank, settled) * slowdown
        if target.is_cold(now_ms):
            work_ms *= 2
        expected_ms = wait_ms + work_ms + TRAVEL_MS
        if wait_ms and not _is_in_time(demand, expected_ms):
            continue
        cost_ms = expected_ms + _carriage_ms(demand, target)
        cost_ms += target.failure_rate * FAILURE_MS
        if cost_ms < best_cost_ms:
            best_cost_ms = cost_ms
            best = Placed(
                target,
                expected_ms,
                wait_ms,
                known,
                occupancy,
                now_ms - target.report_ms,
                slowdown,
            )
    return best or Full(_describe_busy(ordered, now_ms))


def _describe_busy(
    targets: Sequence[TargetLoad], now_ms: float
) -> tuple[BusyTarget, ...]:
    return tuple(
        BusyTarget(target.registration.target_id, target.occupancy(now_ms))
        for target in targets
    )


def _is_in_time(demand: Demand, expected_ms: float) -> bool:
    if expected_ms > demand.goal_left_ms and not demand.returning:
        return False
    return expected_ms * TIME_LEFT_FACTOR <= demand.time_left_ms


def _unknown_ms(times: RouteTimes, rank: int, settled: float) -> float:
    """Return the time of work if others may have made the object warm."""
    chance = WARM_BY_RANK[rank] if rank < len(WARM_BY_RANK) else WARM_ELSEWHERE
    chance *= settled
    return chance * times.warm_ms + (1 - chance) * times.cold_ms


def _carriage_ms(demand: Demand, target: TargetLoad) -> float:
    if target.region != demand.region:
        return demand.times.answer_kb * REGION_MS_PER_KB
    if target.registration.failure_domain != demand.failure_domain:
        return demand.times.answer_kb * DOMAIN_MS_PER_KB
    return 0.0
