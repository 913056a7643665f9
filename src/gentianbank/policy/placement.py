"""Choice of the target with the least expected cost for a request.

The cost is in milliseconds. It is the expected time to the answer, plus
penalties for traffic between failure domains or regions and for the
target's failure rate.

A request may concern an object. An object is warm at a target that has
handled it recently, and cold elsewhere, where work on it takes longer.
"""

from __future__ import annotations

from dataclasses import dataclass
import enum
from typing import NamedTuple
from typing import TYPE_CHECKING

from gentianbank.policy.cold_ratio import INITIAL_COLD_RATIO

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gentianbank.policy.route_times import RouteTimes
    from gentianbank.policy.target_load import TargetLoad

# Probability that other nodes' requests have made an object warm at a target,
# by the target's rank in the object's preference order.
WARM_PROBABILITY_BY_RANK = (0.8, 0.3, 0.1)
WARM_PROBABILITY_ELSEWHERE = 0.0
# The probability that an object is warm grows over this time after the
# target becomes known, while its share of the objects reaches it.
WARM_RAMP_MS = 10_000.0
# Penalties per kB of the answer, for traffic to another failure domain of the
# region and to another region.
CROSS_DOMAIN_MS_PER_KB = 1.3
CROSS_REGION_MS_PER_KB = 3.0
# Penalty for a target at which every request fails; less in proportion.
FAILURE_COST_MS = 1_500.0
# Assumed network round trip time, the same for every target.
ROUND_TRIP_MS = 5.0
# Limits on the queue inside a target, in requests per slot: low, since a
# longer wait misses the latency objective, and lower for less urgent requests.
MAX_QUEUE_PER_SLOT = 0.5
MAX_URGENT_QUEUE_PER_SLOT = 1.0
# Additional queue for returning callers; the urgent limit stays above the
# sum for less urgent requests.
EXTRA_RETURNING_QUEUE_PER_SLOT = 0.25
# A request queues at a target only if this multiple of the expected time
# still fits into the time left.
WAIT_SAFETY_FACTOR = 1.2


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementInputs:
    """A request that needs a target, and what limits the choice.

    Parameters
    ----------
    topic
        Object that the request concerns; empty for none.
    region, failure_domain
        Location of this node.
    times
        Estimates for the route of the request.
    urgent
        Whether the service also has routes of lower priority.
    was_refused_before
        Whether the caller was refused before. It may wait longer and past
        the latency objective, since a late answer is better than none.
    objective_left_ms
        Time until the latency objective is missed.
    time_left_ms
        Time until the deadline of the request.
    cold_ratio
        Work time at a cold target, relative to a warm one.
    """

    topic: str
    region: str
    failure_domain: str
    times: RouteTimes
    urgent: bool
    was_refused_before: bool
    objective_left_ms: float
    time_left_ms: float
    cold_ratio: float = INITIAL_COLD_RATIO


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen target and the estimates that led to the choice.

    Parameters
    ----------
    expected_ms
        Estimated time to the answer, the wait and the round trip included.
    wait_ms
        Estimated wait in the target's queue.
    warm
        Whether the object is known to be warm at the target.
    occupancy
        Estimated requests at the target, running and waiting.
    report_age_ms
        Age of the target's last load report; infinite before the first.
    slowdown
        Estimated slowdown of the target.
    """

    target: TargetLoad
    expected_ms: float
    wait_ms: float
    warm: bool
    occupancy: float
    report_age_ms: float
    slowdown: float


class Estimate(NamedTuple):
    """Cost of a request at a target, and what it consists of.

    Parameters
    ----------
    cost_ms
        Expected time with the penalties; the least one decides.
    """

    cost_ms: float
    expected_ms: float
    wait_ms: float
    is_warm: bool
    occupancy: float
    slowdown: float


_Figures = tuple[float, float, float, bool, float, float]


class Unfit(enum.Enum):
    """Why a target that is considered cannot take a request."""

    FULL = 'full'
    LATE = 'its queue is too long for the time left'


@dataclass(frozen=True, slots=True)
class BusyTarget:
    """A target without room, and its estimated requests."""

    target_id: str
    occupancy: float


@dataclass(frozen=True, slots=True)
class NoCapacity:
    """Targets exist, but none has room to answer in time.

    Parameters
    ----------
    busy
        The targets that were considered.
    """

    busy: tuple[BusyTarget, ...] = ()


@dataclass(frozen=True, slots=True)
class NoUsableTarget:
    """There is no usable target."""


PlacementResult = Placement | NoCapacity | NoUsableTarget


def choose_target(
    demand: PlacementInputs,
    ordered_targets: Sequence[TargetLoad],
    now_ms: float,
) -> PlacementResult:
    """Choose the target with the least expected cost.

    Parameters
    ----------
    ordered_targets
        Usable targets in the preference order of the request's object.
    """
    if not ordered_targets:
        return NoUsableTarget()
    best_figures: _Figures | None = None
    best_cost_ms = float('inf')
    best_target = ordered_targets[0]
    queue_per_slot = _max_queue_per_slot(demand)
    for rank, target in enumerate(ordered_targets):
        figures = _estimate(demand, target, rank, queue_per_slot, now_ms)
        if isinstance(figures, Unfit):
            continue
        if figures[0] < best_cost_ms:
            best_cost_ms = figures[0]
            best_figures = figures
            best_target = target
    if best_figures is None:
        return NoCapacity(_describe_busy(ordered_targets, now_ms))
    best = Estimate(*best_figures)
    return Placement(
        best_target,
        best.expected_ms,
        best.wait_ms,
        best.is_warm,
        best.occupancy,
        now_ms - best_target.report_ms,
        best.slowdown,
    )


def estimate_target(
    demand: PlacementInputs, target: TargetLoad, rank: int, now_ms: float
) -> Estimate | Unfit:
    """Estimate the cost of a request at one target.

    Parameters
    ----------
    rank
        Position of the target among those that are considered.
    """
    queue_per_slot = _max_queue_per_slot(demand)
    figures = _estimate(demand, target, rank, queue_per_slot, now_ms)
    return figures if isinstance(figures, Unfit) else Estimate(*figures)


def _max_queue_per_slot(demand: PlacementInputs) -> float:
    queue_per_slot = MAX_QUEUE_PER_SLOT
    if demand.urgent:
        queue_per_slot = MAX_URGENT_QUEUE_PER_SLOT
    if demand.was_refused_before:
        queue_per_slot += EXTRA_RETURNING_QUEUE_PER_SLOT
    return queue_per_slot


def _estimate(
    demand: PlacementInputs,
    target: TargetLoad,
    rank: int,
    queue_per_slot: float,
    now_ms: float,
) -> _Figures | Unfit:
    """Return the figures of an ``Estimate``, in their order.

    A plain tuple, since one is made for each target of each request.
    """
    times = demand.times
    slots = target.registration.slots
    occupancy = target.occupancy(now_ms)
    # Requests that would wait, the new one included; not positive if it
    # gets a slot at once.
    excess_requests = occupancy - slots + 1
    if excess_requests > slots * queue_per_slot:
        return Unfit.FULL
    slowdown = target.slowdown(now_ms)
    wait_ms = max(0.0, excess_requests) / slots * times.mean_ms * slowdown
    is_warm = bool(demand.topic) and target.has_warm_object(demand.topic)
    if is_warm:
        work_ms = times.warm_ms * slowdown
    elif not demand.topic:
        work_ms = times.mean_ms * slowdown
    else:
        warm_ramp = min(1.0, (now_ms - target.known_since_ms) / WARM_RAMP_MS)
        work_ms = _expected_work_ms(times, rank, warm_ramp) * slowdown
    if target.is_cold(now_ms):
        work_ms *= demand.cold_ratio
    expected_ms = wait_ms + work_ms + ROUND_TRIP_MS
    if wait_ms and not _is_in_time(demand, expected_ms):
        return Unfit.LATE
    cost_ms = expected_ms + _transfer_cost_ms(demand, target)
    cost_ms += target.failure_rate * FAILURE_COST_MS
    return cost_ms, expected_ms, wait_ms, is_warm, occupancy, slowdown


def _describe_busy(
    targets: Sequence[TargetLoad], now_ms: float
) -> tuple[BusyTarget, ...]:
    return tuple(
        BusyTarget(target.registration.target_id, target.occupancy(now_ms))
        for target in targets
    )


def _is_in_time(demand: PlacementInputs, expected_ms: float) -> bool:
    if (
        expected_ms > demand.objective_left_ms
        and not demand.was_refused_before
    ):
        return False
    return expected_ms * WAIT_SAFETY_FACTOR <= demand.time_left_ms


def _expected_work_ms(times: RouteTimes, rank: int, warm_ramp: float) -> float:
    """Return the expected work time if this node did not warm the object.

    Parameters
    ----------
    rank
        Position of the target in the object's preference order.
    warm_ramp
        Progress from 0 to 1 of the target towards receiving its share of
        the objects.
    """
    warm_probability = (
        WARM_PROBABILITY_BY_RANK[rank]
        if rank < len(WARM_PROBABILITY_BY_RANK)
        else WARM_PROBABILITY_ELSEWHERE
    )
    warm_probability *= warm_ramp
    return (
        warm_probability * times.warm_ms
        + (1 - warm_probability) * times.cold_ms
    )


def _transfer_cost_ms(demand: PlacementInputs, target: TargetLoad) -> float:
    if target.region != demand.region:
        return demand.times.answer_kb * CROSS_REGION_MS_PER_KB
    if target.registration.failure_domain != demand.failure_domain:
        return demand.times.answer_kb * CROSS_DOMAIN_MS_PER_KB
    return 0.0
