"""Choice of region and target for a request."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
import copy
from dataclasses import dataclass
import enum
from typing import TYPE_CHECKING
import zlib

from gentianbank.policy import rendezvous
from gentianbank.policy.cold_ratio import INITIAL_COLD_RATIO
from gentianbank.policy.placement import choose_target
from gentianbank.policy.placement import Estimate
from gentianbank.policy.placement import estimate_target
from gentianbank.policy.placement import NoCapacity
from gentianbank.policy.placement import NoUsableTarget
from gentianbank.policy.placement import Placement
from gentianbank.policy.placement import PlacementInputs
from gentianbank.policy.placement import Unfit
from gentianbank.policy.region_shares import BUSY_FRACTION
from gentianbank.policy.region_shares import BUSY_FRACTION_OF_LARGE
from gentianbank.policy.region_shares import RegionLoad
from gentianbank.policy.region_shares import RegionShares
from gentianbank.policy.route_times import ServiceKind
from gentianbank.policy.route_times import WorkTimes
from gentianbank.steering.fleet_quotas import FleetQuotas
from gentianbank.steering.pacing import Pacing

if TYPE_CHECKING:
    from gentianbank.domain.route_table import Route
    from gentianbank.domain.steering_settings import Bounds
    from gentianbank.domain.workspaces import Workspace
    from gentianbank.policy.placement import PlacementResult
    from gentianbank.policy.route_times import Answer
    from gentianbank.policy.route_times import RouteTimes
    from gentianbank.policy.target_load import TargetLoad
    from gentianbank.steering.cluster_view import ClusterView

# Targets that serve the requests for one object. A target keeps only a
# limited number of objects warm, so spreading each object over more targets
# would leave most of them cold.
TARGETS_PER_OBJECT = 2
# Size of the cache of target rankings; a full cache is cleared.
MAX_CACHED_RANKINGS = 20_000
# Fraction of the setting ``max_region_shift`` that is used. The setting
# limits the shift from one window of ``SHIFT_WINDOW_S`` to the next.
USED_SHIFT_FRACTION = 0.4
SHIFT_WINDOW_S = 2.0
Ranking = Callable[['PlacementRequest', str], list['TargetLoad']]


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request for which a target is sought.

    Parameters
    ----------
    topic
        Object that the request concerns; empty for none.
    time_left_ms
        Time until the final answer is due.
    objective_left_ms
        Time until the latency objective is missed.
    tried_targets
        Ids of targets that were tried for this request already.
    spread_key
        Value whose hash spreads requests without an object over targets.
    was_refused_before
        Whether the caller seems to retry a request that was refused.
    allowed_regions
        Regions that may serve the request; ``None`` for all.
    workspace
        Workspace of the caller; ``None`` without one.
    """

    route: Route
    service: str
    topic: str
    time_left_ms: float
    objective_left_ms: float
    tried_targets: frozenset[str]
    spread_key: bytes
    was_refused_before: bool = False
    allowed_regions: frozenset[str] | None = None
    workspace: Workspace | None = None


class PassedOver(enum.Enum):
    """Why a target is not among those that are considered."""

    TRIED = 'tried for this request already'
    NO_OVERFLOW = 'the region is full and too much has overflowed lately'
    NOT_WORTH_QUOTA = 'names a limit and is not the first for the object'
    COLD_LIMIT = 'cold; its limit is used up'
    PACED = 'has just started or recovered; its allowance is used up'
    NAMED_LIMIT = 'the limit that it names is used up'
    SUSPECT = 'suspect after failures'
    UNCONFIRMED = 'unconfirmed; its entry may be gone'
    OTHER_OBJECTS = 'not among the targets of the object'


@dataclass(frozen=True, slots=True)
class RegionPreview:
    """What would be found in a region.

    Parameters
    ----------
    considered
        Targets among which the least cost decides, in their order.
    passed_over
        The others, each with the reason.
    limited_only
        Whether only targets that name a limit are used.
    """

    region: str
    considered: tuple[tuple[TargetLoad, Estimate | Unfit], ...]
    passed_over: tuple[tuple[TargetLoad, str], ...]
    limited_only: bool


@dataclass(frozen=True, slots=True)
class PlacementPreview:
    """What ``Placer.choose`` would return, and why.

    Parameters
    ----------
    regions
        The regions in which a target is sought, in order.
    """

    planned_region: str
    result: PlacementResult
    regions: tuple[RegionPreview, ...]


@dataclass(frozen=True, slots=True)
class _RegionStep:
    """A region in which a target is sought."""

    region: str
    limited_only: bool


@dataclass(frozen=True, slots=True)
class _Decision:
    """The choice for a request.

    Parameters
    ----------
    is_unplanned
        Whether the request leaves a full region and counts as overflow.
    """

    planned_region: str
    result: PlacementResult
    steps: list[_RegionStep]
    is_unplanned: bool = False


class Placer:
    """Chooses targets and keeps the measured times of routes.

    Parameters
    ----------
    started_ms
        Time when the node started.
    clock
        Returns the monotonic time in milliseconds.
    with_pace
        Whether targets that have just started or recovered get a pace.
    """

    def __init__(
        self,
        *,
        vm: str,
        region: str,
        failure_domain: str,
        cluster_view: ClusterView,
        bounds: Bounds,
        started_ms: float,
        clock: Callable[[], float],
        with_pace: bool = False,
    ) -> None:
        self._region = region
        self._failure_domain = failure_domain
        self._cluster_view = cluster_view
        self._bounds = bounds
        self._clock = clock
        self._quotas = FleetQuotas(
            vm=vm,
            region=region,
            cluster_view=cluster_view,
            bounds=bounds,
            started_ms=started_ms,
            clock=clock,
        )
        self.pacing: Pacing | None = None
        if with_pace:
            self.pacing = Pacing(self._quotas, cluster_view, clock)
        self._work_times = WorkTimes()
        self._shares: dict[tuple[str, bool], RegionShares] = {}
        self._regions = sorted({*cluster_view.regions.values()})
        self._rankings: dict[tuple[str, str, str, bool], list[TargetLoad]] = {}
        self._cached_generation = -1

    def apply_bounds(self, bounds: Bounds) -> None:
        """Apply changed bounds."""
        self._bounds = bounds
        self._quotas.apply_bounds(bounds)
        rate_per_s = _max_shift_per_s(bounds)
        for shares in self._shares.values():
            shares.rate_per_s = rate_per_s

    def route_times(self, route: Route) -> RouteTimes:
        """Return the measured times and sizes of a route's answers."""
        return self._work_times.of_route(
            route.name, route.latency_objective_ms
        )

    def estimated_times(self, route: Route, service: str) -> RouteTimes:
        """Return the times to expect of a route's next answer."""
        return self._work_times.estimate(
            route.name,
            route.latency_objective_ms,
            ServiceKind(service, route.large),
            self._clock(),
        )

    def on_work_done(self, route: Route, service: str, answer: Answer) -> None:
        """Record an answer that did not wait in the target's queue."""
        self._work_times.on_answer(
            route.name,
            route.latency_objective_ms,
            ServiceKind(service, route.large),
            answer,
            self._clock(),
        )

    @property
    def quotas(self) -> FleetQuotas:
        """Return this node's parts of the limits for all nodes."""
        return self._quotas

    def choose(self, request: PlacementRequest) -> PlacementResult:
        """Choose the target of a request.

        Only the allowed regions of the request are used, if it has any. The
        planned region comes first. Other regions follow if it has no
        target, or if it is full and few requests have overflowed lately.
        Targets of this region that name a limit may be used whatever has
        overflowed, since the plan leaves them out.

        Returns
        -------
        Placement
            The target, or why there is none.
        """
        self._drop_stale_caches()
        now_ms = self._clock()
        shares = self._update_shares(request, now_ms)
        decision = self._decide(request, shares, now_ms, self._ranked_targets)
        if decision.is_unplanned:
            shares.on_overflow(now_ms)
        return decision.result

    def preview(self, request: PlacementRequest) -> PlacementPreview:
        """Return what ``choose`` would, without counting the request."""
        now_ms = self._clock()
        key = (request.service, request.route.large)
        known = self._shares.get(key)
        shares = (
            self._new_shares(request, now_ms)
            if known is None
            else copy.deepcopy(known)
        )
        self._advance(shares, {**self._shares, key: shares}, request, now_ms)
        decision = self._decide(request, shares, now_ms, self._rank_targets)
        regions = [
            self._preview_region(request, step, now_ms)
            for step in decision.steps
        ]
        return PlacementPreview(
            decision.planned_region, decision.result, tuple(regions)
        )

    def _preview_region(
        self, request: PlacementRequest, step: _RegionStep, now_ms: float
    ) -> RegionPreview:
        order = self._order(request, step.region, self._rank_targets)
        considered = self._consider(
            request, order, now_ms, limited_only=step.limited_only
        )
        demand = self._inputs(request)
        passed_over: list[tuple[TargetLoad, str]] = []
        for rank, target in enumerate(order):
            reason = self._why_not_eligible(
                target, rank, request, now_ms, step.limited_only
            )
            if reason is None and target not in considered:
                reason = _why_not_preferred(target, now_ms)
            if reason is not None:
                passed_over.append((target, reason.value))
        estimates = [
            (target, estimate_target(demand, target, rank, now_ms))
            for rank, target in enumerate(considered)
        ]
        return RegionPreview(
            step.region,
            tuple(estimates),
            tuple(passed_over),
            limited_only=step.limited_only,
        )

    def _decide(
        self,
        request: PlacementRequest,
        shares: RegionShares,
        now_ms: float,
        rank: Ranking,
    ) -> _Decision:
        """Choose without counting anything.

        Parameters
        ----------
        rank
            Returns the targets of a region in the object's order.
        """
        planned_region = shares.region_of(
            request.topic or str(request.spread_key)
        )
        steps: list[_RegionStep] = []
        regions = [
            planned_region,
            *(r for r in self._regions if r != planned_region),
        ]
        allowed_regions = request.allowed_regions
        if allowed_regions is not None:
            regions = [name for name in regions if name in allowed_regions]
        first_failure: PlacementResult = NoUsableTarget()
        for region in regions:
            is_overflow = isinstance(first_failure, NoCapacity)
            limited_only = is_overflow and not shares.may_overflow(now_ms)
            if limited_only and region != self._region:
                continue
            steps.append(_RegionStep(region, limited_only=limited_only))
            order = self._order(request, region, rank)
            placement = self._choose_in_region(
                request, order, now_ms, limited_only=limited_only
            )
            if isinstance(placement, Placement):
                is_unplanned = is_overflow and not limited_only
                return _Decision(
                    planned_region,
                    placement,
                    steps,
                    is_unplanned=is_unplanned,
                )
            if isinstance(first_failure, NoUsableTarget):
                first_failure = placement
        return _Decision(planned_region, first_failure, steps)

    def _choose_in_region(
        self,
        request: PlacementRequest,
        order: list[TargetLoad],
        now_ms: float,
        *,
        limited_only: bool,
    ) -> PlacementResult:
        considered = self._consider(
            request, order, now_ms, limited_only=limited_only
        )
        placement = choose_target(self._inputs(request), considered, now_ms)
        if isinstance(placement, NoUsableTarget) and order:
            return NoCapacity()
        return placement

    def _order(
        self, request: PlacementRequest, region: str, rank: Ranking
    ) -> list[TargetLoad]:
        """Return a region's targets in the order for the request."""
        order = rank(request, region)
        if order and not request.topic:
            start = zlib.crc32(request.spread_key) % len(order)
            order = order[start:] + order[:start]
        return order

    def _consider(
        self,
        request: PlacementRequest,
        order: list[TargetLoad],
        now_ms: float,
        *,
        limited_only: bool,
    ) -> list[TargetLoad]:
        """Return the targets among which the estimates decide."""
        why_not = self._why_not_eligible
        eligible = [
            target
            for rank, target in enumerate(order)
            if why_not(target, rank, request, now_ms, limited_only) is None
        ]
        preferred = [
            target
            for target in eligible
            if not (target.is_unconfirmed or target.is_suspect(now_ms))
        ]
        if request.topic:
            preferred = preferred[:TARGETS_PER_OBJECT]
        return preferred or eligible

    def _why_not_eligible(
        self,
        target: TargetLoad,
        rank: int,
        request: PlacementRequest,
        now_ms: float,
        limited_only: bool,
    ) -> PassedOver | None:
        """Return why a target is left out; ``None`` if it is not."""
        if target.registration.target_id in request.tried_targets:
            return PassedOver.TRIED
        if limited_only and not target.limit.is_named:
            return PassedOver.NO_OVERFLOW
        if not _is_worth_its_quota(target, rank, request.topic):
            return PassedOver.NOT_WORTH_QUOTA
        if self._quotas.may_send(target, now_ms):
            pacing = self.pacing
            if pacing is None or pacing.may_send(target, now_ms):
                return None
            return PassedOver.PACED
        if self._quotas.is_cold_limit_used(target, now_ms):
            return PassedOver.COLD_LIMIT
        return PassedOver.NAMED_LIMIT

    def _inputs(self, request: PlacementRequest) -> PlacementInputs:
        route = request.route
        return PlacementInputs(
            topic=request.topic,
            region=self._region,
            failure_domain=self._failure_domain,
            times=self.estimated_times(route, request.service),
            urgent=self._is_urgent(request),
            was_refused_before=request.was_refused_before,
            objective_left_ms=request.objective_left_ms,
            time_left_ms=request.time_left_ms,
            cold_ratio=self._cold_ratio(request.service),
        )

    def _cold_ratio(self, service: str) -> float:
        if self.pacing is None:
            return INITIAL_COLD_RATIO
        return self.pacing.cold_ratio(service)

    def _is_urgent(self, request: PlacementRequest) -> bool:
        """Return whether there are workspaces or routes of lower priority.

        The priority of the workspace goes before that of the route. A lower
        priority has a larger number.
        """
        table = self._cluster_view.table
        if table is None:
            return False
        workspace = request.workspace
        if workspace is not None and table.workspaces is not None:
            lowest = table.workspaces.lowest_priority
            if workspace.priority != lowest:
                return workspace.priority < lowest
        return request.route.priority < table.lowest_priority(request.service)

    def _ranked_targets(
        self, request: PlacementRequest, region: str
    ) -> list[TargetLoad]:
        """Return a region's ranked targets, from the cache if possible."""
        key = (request.service, region, request.topic, request.route.large)
        order = self._rankings.get(key)
        if order is None:
            order = self._rank_targets(request, region)
            if len(self._rankings) >= MAX_CACHED_RANKINGS:
                self._rankings.clear()
            self._rankings[key] = order
        return order

    def _rank_targets(
        self, request: PlacementRequest, region: str
    ) -> list[TargetLoad]:
        """Return a region's targets, ranked for the request's object.

        For large answers the targets of this node's failure domain come
        first.
        """
        targets = {
            target.registration.target_id: target
            for target in self._cluster_view.usable_targets(request.service)
            if target.region == region
        }
        order = [
            targets[name]
            for name in rendezvous.rank_names(targets, request.topic)
        ]
        if request.route.large:
            order.sort(key=self._is_in_other_domain)
        return order

    def _is_in_other_domain(self, target: TargetLoad) -> bool:
        return target.registration.failure_domain != self._failure_domain

    def _drop_stale_caches(self) -> None:
        if self._cached_generation != self._cluster_view.generation:
            self._cached_generation = self._cluster_view.generation
            self._rankings.clear()

    def _update_shares(
        self, request: PlacementRequest, now_ms: float
    ) -> RegionShares:
        """Update and return the shares of the regions in the requests."""
        key = (request.service, request.route.large)
        shares = self._shares.get(key)
        if shares is None:
            shares = self._shares[key] = self._new_shares(request, now_ms)
        self._advance(shares, self._shares, request, now_ms)
        return shares

    def _new_shares(
        self, request: PlacementRequest, now_ms: float
    ) -> RegionShares:
        large = request.route.large
        shares = RegionShares(
            self._region,
            _max_shift_per_s(self._bounds),
            BUSY_FRACTION_OF_LARGE if large else BUSY_FRACTION,
        )
        if not large:
            shares.set_initial_shares(
                self._region_loads(request.service, now_ms)
            )
        return shares

    def _advance(
        self,
        shares: RegionShares,
        all_shares: dict[tuple[str, bool], RegionShares],
        request: PlacementRequest,
        now_ms: float,
    ) -> None:
        """Count a request and adapt the shares if that is due."""
        shares.on_request(now_ms)
        if shares.is_due(now_ms):
            loads = self._region_loads(request.service, now_ms)
            total = sum(s.request_count(now_ms) for s in all_shares.values())
            traffic_fraction = shares.request_count(now_ms) / max(1, total)
            shares.step(loads, now_ms, traffic_fraction)

    def _region_loads(
        self, service: str, now_ms: float
    ) -> dict[str, RegionLoad]:
        occupied: defaultdict[str, float] = defaultdict(float)
        slots: defaultdict[str, int] = defaultdict(int)
        unlimited: set[str] = set()
        for target in self._cluster_view.usable_targets(service):
            if not target.limit.is_named:
                unlimited.add(target.region)
            usable = not target.is_cold(now_ms)
            usable = usable and not target.is_suspect(now_ms)
            usable = usable and not target.limit.is_named
            slots[target.region] += target.registration.slots * usable
            occupied[target.region] += target.occupancy(now_ms) * usable
        return {
            region: RegionLoad(
                occupied[region], slots[region], region not in unlimited
            )
            for region in slots
        }


def _is_worth_its_quota(target: TargetLoad, rank: int, topic: str) -> bool:
    """Return whether a target's limit should be spent on an object.

    A target that names a limit serves only objects that it serves anyway:
    with others it would spend its few requests on cold objects.

    Parameters
    ----------
    rank
        Position of the target in the object's preference order.
    """
    if not target.limit.is_named or not topic:
        return True
    return not rank or target.has_warm_object(topic)


def _why_not_preferred(target: TargetLoad, now_ms: float) -> PassedOver:
    if target.is_unconfirmed:
        return PassedOver.UNCONFIRMED
    if target.is_suspect(now_ms):
        return PassedOver.SUSPECT
    return PassedOver.OTHER_OBJECTS


def _max_shift_per_s(bounds: Bounds) -> float:
    """Return how fast the shares of the regions may change."""
    return bounds.max_region_shift * USED_SHIFT_FRACTION / SHIFT_WINDOW_S
