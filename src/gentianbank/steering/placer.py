"""Choice of region and target for a request."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING
import zlib

from gentianbank.policy import rendezvous
from gentianbank.policy.placement import Demand
from gentianbank.policy.placement import Full
from gentianbank.policy.placement import NoTarget
from gentianbank.policy.placement import place
from gentianbank.policy.placement import Placed
from gentianbank.policy.placement import RouteTimes
from gentianbank.policy.region_shares import BUSY_FRACTION
from gentianbank.policy.region_shares import BUSY_FRACTION_OF_LARGE
from gentianbank.policy.region_shares import RegionLoad
from gentianbank.policy.region_shares import RegionShares
from gentianbank.policy.shared_allowance import cold_share

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.domain.route_table import Route
    from gentianbank.domain.steering_settings import Bounds
    from gentianbank.policy.placement import Placement
    from gentianbank.policy.target_load import TargetLoad
    from gentianbank.steering.beliefs import Beliefs

# Targets that serve the requests for one object. A target keeps only a
# limited number of objects warm, so spreading each object over more targets
# would leave most of them cold.
COPIES = 2
# Size of the cache of target rankings; a full cache is cleared.
MAX_ORDERS = 20_000
# Connections that each node may open to a target, whatever the number of
# nodes.
MIN_CONNECTIONS = 4
# Fraction of the allowed shift between two windows that is used.
SHIFT_FRACTION = 0.4
SHIFT_WINDOW_S = 2.0


@dataclass(frozen=True, slots=True)
class Wanted:
    """A request for which a target is sought.

    Parameters
    ----------
    topic
        Object that the request concerns; empty for none.
    left_ms
        Time until the final answer is due.
    goal_left_ms
        Time until the latency objective is missed.
    tried
        Ids of targets that were tried for this request already.
    spread
        Value whose hash spreads requests without an object over targets.
    returning
        Whether the caller was refused before.
    """

    route: Route
    service: str
    topic: str
    left_ms: float
    goal_left_ms: float
    tried: frozenset[str]
    spread: bytes
    returning: bool = False


class Placer:
    """Chooses targets and keeps the measured times of routes.

    Parameters
    ----------
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        *,
        vm: str,
        region: str,
        failure_domain: str,
        beliefs: Beliefs,
        bounds: Bounds,
        clock: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._region = region
        self._failure_domain = failure_domain
        self._beliefs = beliefs
        self._bounds = bounds
        self._clock = clock
        self._times: dict[str, RouteTimes] = {}
        self._shares: dict[tuple[str, bool], RegionShares] = {}
        self._regions = sorted({*beliefs.regions.values()})
        self._orders: dict[tuple[str, str, str, bool], list[TargetLoad]] = {}
        self._cold_shares: dict[str, int] = {}
        self._generation = -1

    def take_bounds(self, bounds: Bounds) -> None:
        """Apply changed bounds."""
        self._bounds = bounds
        self._cold_shares.clear()
        rate_per_s = _shift_per_s(bounds)
        for shares in self._shares.values():
            shares.rate_per_s = rate_per_s

    def times_of(self, route: Route) -> RouteTimes:
        """Return the measured times and sizes of a route's answers."""
        times = self._times.get(route.name)
        if times is None:
            times = RouteTimes.initial(route.goal_ms)
            self._times[route.name] = times
        return times

    @property
    def nodes(self) -> int:
        """Return the assumed number of nodes that send requests.

        At least one more than there are failure domains, since some nodes
        may not be known yet.
        """
        known = len({*self._beliefs.nodes, self._vm})
        return max(known, len(self._beliefs.regions) + 1)

    def connections_of(self, service: str) -> int:
        """Return how many connections this node may open to a target.

        This is its part of the limit for all nodes, but at least
        ``MIN_CONNECTIONS``.
        """
        table = self._beliefs.table
        policy = table.services.get(service) if table else None
        if policy is None:
            return MIN_CONNECTIONS
        return max(MIN_CONNECTIONS, policy.max_connections // self.nodes)

    def choose(self, wanted: Wanted) -> Placement:
        """Choose the target of a request.

        Only the home regions of the route are used, if it has any. The
        planned region comes first. Other regions follow if it has no
        target, or if it is full and few requests have overflowed lately.

        Returns
        -------
        Placement
            The target, or why there is none.
        """
        self._refresh()
        now_ms = self._clock()
        shares = self._step_shares(wanted, now_ms)
        planned = shares.region_of(wanted.topic or str(wanted.spread))
        regions = [planned, *(r for r in self._regions if r != planned)]
        homes = wanted.route.home_regions
        if homes:
            regions = [name for name in regions if name in homes]
        first: Placement = NoTarget()
        for region in regions:
            if isinstance(first, Full) and not shares.may_overflow(now_ms):
                break
            placement = self._choose_in(wanted, region, now_ms)
            if isinstance(placement, Placed):
                if isinstance(first, Full):
                    shares.on_overflow(now_ms)
                return placement
            if isinstance(first, NoTarget):
                first = placement
        return first

    def _choose_in(
        self, wanted: Wanted, region: str, now_ms: float
    ) -> Placement:
        order = self._order(wanted, region)
        if order and not wanted.topic:
            start = zlib.crc32(wanted.spread) % len(order)
            order = order[start:] + order[:start]
        fit = [
            target
            for target in order
            if target.registration.target_id not in wanted.tried
            and self._fits(target, now_ms)
        ]
        sound = [
            target
            for target in fit
            if not (target.is_doubtful or target.is_suspect(now_ms))
        ]
        if wanted.topic:
            sound = sound[:COPIES]
        demand = Demand(
            topic=wanted.topic,
            region=self._region,
            failure_domain=self._failure_domain,
            times=self.times_of(wanted.route),
            urgent=self._is_urgent(wanted.route, wanted.service),
            returning=wanted.returning,
            goal_left_ms=wanted.goal_left_ms,
            time_left_ms=wanted.left_ms,
        )
        placement = place(demand, sound or fit, now_ms)
        if isinstance(placement, NoTarget) and order:
            return Full()
        return placement

    def _is_urgent(self, route: Route, service: str) -> bool:
        table = self._beliefs.table
        lowest = table.lowest_priority(service) if table else route.priority
        return route.priority < lowest

    def _fits(self, target: TargetLoad, now_ms: float) -> bool:
        if not target.is_cold(now_ms):
            return True
        target_id = target.registration.target_id
        share = self._cold_shares.get(target_id)
        if share is None:
            share = self._cold_share(target)
            self._cold_shares[target_id] = share
        return target.cold.may_send(now_ms, share)

    def _cold_share(self, target: TargetLoad) -> int:
        assert self._beliefs.table is not None
        entry = target.registration
        policy = self._beliefs.table.services.get(entry.service)
        rate = policy.cold_per_s if policy else 0.0
        allowed = rate * self._bounds.cold_factor + self._bounds.cold_slack
        names = sorted({*self._beliefs.nodes, self._vm})
        unknown = range(self.nodes - len(names))
        nodes = (*names, *(f'unknown {index}' for index in unknown))
        return cold_share(entry.target_id, self._vm, nodes, allowed)

    def _order(self, wanted: Wanted, region: str) -> list[TargetLoad]:
        """Return a region's targets, ranked for the request's object.

        For large answers the targets of this node's failure domain come
        first.
        """
        large = wanted.route.large
        key = (wanted.service, region, wanted.topic, large)
        order = self._orders.get(key)
        if order is not None:
            return order
        targets = {
            target.registration.target_id: target
            for target in self._beliefs.usable(wanted.service)
            if target.region == region
        }
        order = [
            targets[name] for name in rendezvous.rank(targets, wanted.topic)
        ]
        if large:
            order.sort(key=self._is_far)
        if len(self._orders) >= MAX_ORDERS:
            self._orders.clear()
        self._orders[key] = order
        return order

    def _is_far(self, target: TargetLoad) -> bool:
        return target.registration.failure_domain != self._failure_domain

    def _refresh(self) -> None:
        if self._generation != self._beliefs.generation:
            self._generation = self._beliefs.generation
            self._orders.clear()
            self._cold_shares.clear()

    def _step_shares(self, wanted: Wanted, now_ms: float) -> RegionShares:
        """Update and return the shares of the regions in the requests."""
        key = (wanted.service, wanted.route.large)
        shares = self._shares.get(key)
        if shares is None:
            large = wanted.route.large
            shares = RegionShares(
                self._region,
                _shift_per_s(self._bounds),
                BUSY_FRACTION_OF_LARGE if large else BUSY_FRACTION,
            )
            self._shares[key] = shares
            if not wanted.route.large:
                shares.start(self._region_loads(wanted.service, now_ms))
        shares.on_request(now_ms)
        if shares.is_due(now_ms):
            loads = self._region_loads(wanted.service, now_ms)
            total = sum(s.count(now_ms) for s in self._shares.values())
            part = shares.count(now_ms) / max(1, total)
            shares.step(loads, now_ms, part)
        return shares

    def _region_loads(
        self, service: str, now_ms: float
    ) -> dict[str, RegionLoad]:
        occupied: defaultdict[str, float] = defaultdict(float)
        slots: defaultdict[str, int] = defaultdict(int)
        for target in self._beliefs.usable(service):
            usable = not target.is_cold(now_ms)
            usable = usable and not target.is_suspect(now_ms)
            slots[target.region] += target.registration.slots * usable
            occupied[target.region] += target.occupancy(now_ms) * usable
        return {
            region: RegionLoad(occupied[region], slots[region])
            for region in slots
        }


def _shift_per_s(bounds: Bounds) -> float:
    """Return how fast the shares of the regions may change."""
    return bounds.max_region_shift * SHIFT_FRACTION / SHIFT_WINDOW_S
