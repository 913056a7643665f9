"""Choice of region and target for a request."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING
import zlib

from gentianbank.policy import rendezvous
from gentianbank.policy.cold_ratio import INITIAL_COLD_RATIO
from gentianbank.policy.placement import choose_target
from gentianbank.policy.placement import NoCapacity
from gentianbank.policy.placement import NoUsableTarget
from gentianbank.policy.placement import Placement
from gentianbank.policy.placement import PlacementInputs
from gentianbank.policy.placement import RouteTimes
from gentianbank.policy.region_shares import BUSY_FRACTION
from gentianbank.policy.region_shares import BUSY_FRACTION_OF_LARGE
from gentianbank.policy.region_shares import RegionLoad
from gentianbank.policy.region_shares import RegionShares
from gentianbank.steering.fleet_quotas import FleetQuotas
from gentianbank.steering.pacing import Pacing

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.domain.route_table import Route
    from gentianbank.domain.steering_settings import Bounds
    from gentianbank.domain.workspaces import Workspace
    from gentianbank.policy.placement import PlacementResult
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
        self._route_times: dict[str, RouteTimes] = {}
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
        times = self._route_times.get(route.name)
        if times is None:
            times = RouteTimes.initial(route.latency_objective_ms)
            self._route_times[route.name] = times
        return times

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
        planned_region = shares.region_of(
            request.topic or str(request.spread_key)
        )
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
            placement = self._choose_in_region(
                request, region, now_ms, limited_only=limited_only
            )
            if isinstance(placement, Placement):
                if is_overflow and not limited_only:
                    shares.on_overflow(now_ms)
                return placement
            if isinstance(first_failure, NoUsableTarget):
                first_failure = placement
        return first_failure

    def _choose_in_region(
        self,
        request: PlacementRequest,
        region: str,
        now_ms: float,
        *,
        limited_only: bool,
    ) -> PlacementResult:
        order = self._ranked_targets(request, region)
        if order and not request.topic:
            start = zlib.crc32(request.spread_key) % len(order)
            order = order[start:] + order[:start]
        eligible = [
            target
            for rank, target in enumerate(order)
            if target.registration.target_id not in request.tried_targets
            and (target.limit.is_named or not limited_only)
            and _is_worth_its_quota(target, rank, request.topic)
            and self._quotas.may_send(target, now_ms)
            and (self.pacing is None or self.pacing.may_send(target, now_ms))
        ]
        preferred = [
            target
            for target in eligible
            if not (target.is_unconfirmed or target.is_suspect(now_ms))
        ]
        if request.topic:
            preferred = preferred[:TARGETS_PER_OBJECT]
        demand = PlacementInputs(
            topic=request.topic,
            region=self._region,
            failure_domain=self._failure_domain,
            times=self.route_times(request.route),
            urgent=self._is_urgent(request),
            was_refused_before=request.was_refused_before,
            objective_left_ms=request.objective_left_ms,
            time_left_ms=request.time_left_ms,
            cold_ratio=self._cold_ratio(request.service),
        )
        placement = choose_target(demand, preferred or eligible, now_ms)
        if isinstance(placement, NoUsableTarget) and order:
            return NoCapacity()
        return placement

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
        """Return a region's targets, ranked for the request's object.

        For large answers the targets of this node's failure domain come
        first.
        """
        large = request.route.large
        key = (request.service, region, request.topic, large)
        order = self._rankings.get(key)
        if order is not None:
            return order
        targets = {
            target.registration.target_id: target
            for target in self._cluster_view.usable_targets(request.service)
            if target.region == region
        }
        order = [
            targets[name]
            for name in rendezvous.rank_names(targets, request.topic)
        ]
        if large:
            order.sort(key=self._is_in_other_domain)
        if len(self._rankings) >= MAX_CACHED_RANKINGS:
            self._rankings.clear()
        self._rankings[key] = order
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
            large = request.route.large
            shares = RegionShares(
                self._region,
                _max_shift_per_s(self._bounds),
                BUSY_FRACTION_OF_LARGE if large else BUSY_FRACTION,
            )
            self._shares[key] = shares
            if not request.route.large:
                shares.set_initial_shares(
                    self._region_loads(request.service, now_ms)
                )
        shares.on_request(now_ms)
        if shares.is_due(now_ms):
            loads = self._region_loads(request.service, now_ms)
            total = sum(s.request_count(now_ms) for s in self._shares.values())
            traffic_fraction = shares.request_count(now_ms) / max(1, total)
            shares.step(loads, now_ms, traffic_fraction)
        return shares

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


def _max_shift_per_s(bounds: Bounds) -> float:
    """Return how fast the shares of the regions may change."""
    return bounds.max_region_shift * USED_SHIFT_FRACTION / SHIFT_WINDOW_S
