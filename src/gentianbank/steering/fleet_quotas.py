"""This node's parts of the limits that hold for all nodes together."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gentianbank.policy import rendezvous
from gentianbank.policy.fleet_limits import cold_target_quota
from gentianbank.policy.fleet_limits import COLD_USABLE_FRACTION
from gentianbank.policy.fleet_limits import COLD_WINDOW_MS
from gentianbank.policy.fleet_limits import LIMIT_WINDOW_MS
from gentianbank.policy.fleet_limits import limited_target_quota
from gentianbank.policy.fleet_members import MemberSource
from gentianbank.policy.fleet_members import MEMORY_MS
from gentianbank.steering.member_record import CERTAIN_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.domain.steering_settings import Bounds
    from gentianbank.policy.target_load import TargetLoad
    from gentianbank.steering.cluster_view import ClusterView

# Connections that each node may open to a target, whatever the number of
# nodes.
MIN_CONNECTIONS_PER_TARGET = 1


@dataclass(frozen=True, slots=True)
class LimitPart:
    """This node's part of the limit that a target names.

    Parameters
    ----------
    requests_per_s
        The limit that was divided.
    quota
        Requests per window that this node may send.
    rank
        Position of this node among all nodes, for this target.
    nodes
        Number of all nodes.
    """

    requests_per_s: float
    quota: int
    rank: int
    nodes: int


@dataclass(frozen=True, slots=True)
class Turn:
    """Position of this node among those that take turns at a target.

    Parameters
    ----------
    rank
        Position of this node, from 0; nodes beyond the last take no turn.
    nodes
        Number of nodes that take turns.
    """

    rank: int
    nodes: int


class FleetQuotas:
    """Divides limits among the nodes that may send.

    This node takes a part only while the others count it: its entry is in
    the store, as far as this node knows, and the store was heard within the
    time for which the others certainly remember the entry.

    Parameters
    ----------
    vm
        Name of this node.
    started_ms
        Time when the node started. What it sent before is unknown, so its
        parts begin one window later.
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        *,
        vm: str,
        region: str,
        cluster_view: ClusterView,
        bounds: Bounds,
        started_ms: float,
        clock: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._started_ms = started_ms
        self._region = region
        self._cluster_view = cluster_view
        self._bounds = bounds
        self._clock = clock
        self._cold_quotas: dict[str, int] = {}
        self._limit_parts: dict[str, LimitPart] = {}
        self._turns: dict[str, Turn] = {}
        self._cached_generations = (-1, -1)

    def apply_bounds(self, bounds: Bounds) -> None:
        """Apply changed bounds."""
        self._bounds = bounds
        self._cold_quotas.clear()

    @property
    def assumed_node_count(self) -> int:
        """Return the assumed number of nodes that send requests.

        At least one more than there are failure domains, since some nodes
        may not be known yet.
        """
        known = len(self._cluster_view.members)
        if self._vm not in self._cluster_view.members:
            known += 1
        return max(known, len(self._cluster_view.regions) + 1)

    def max_connections_per_target(self, service: str) -> int:
        """Return how many connections this node may open to a target.

        This is its part of the limit for all nodes, but at least
        ``MIN_CONNECTIONS_PER_TARGET``.
        """
        table = self._cluster_view.table
        policy = table.services.get(service) if table else None
        if policy is None:
            return MIN_CONNECTIONS_PER_TARGET
        return max(
            MIN_CONNECTIONS_PER_TARGET,
            policy.max_connections // self.assumed_node_count,
        )

    def even_part(self) -> float:
        """Return this node's part of what all nodes divide evenly, 0 to 1."""
        if not self._is_counted(self._clock()):
            return 0.0
        return 1 / self.assumed_node_count

    def may_send(self, target: TargetLoad, now_ms: float) -> bool:
        """Return whether the limits of a target allow a request.

        These are the limit for targets that are or may be cold, and the one
        that the target names.
        """
        if target.may_be_cold(now_ms) and not self._may_send_cold(
            target, now_ms
        ):
            return False
        part = self.limit_part(target)
        if part is None:
            return True
        if not part.quota:
            return target.limit.may_probe(now_ms, part.rank, part.nodes)
        return self._takes_parts(
            now_ms, LIMIT_WINDOW_MS
        ) and target.limit.may_send(now_ms, part.quota)

    def limit_part(self, target: TargetLoad) -> LimitPart | None:
        """Return this node's part of the limit that a target names.

        Returns
        -------
        LimitPart or None
            ``None`` if the target names no limit.
        """
        requests_per_s = target.limit.requests_per_s
        if requests_per_s is None:
            return None
        self._drop_stale_caches()
        target_id = target.registration.target_id
        part = self._limit_parts.get(target_id)
        if part is None or part.requests_per_s != requests_per_s:
            part = self._divide_limit(target, requests_per_s)
            self._limit_parts[target_id] = part
        return part

    def is_cold_limit_used(self, target: TargetLoad, now_ms: float) -> bool:
        """Return whether a target is cold and may get no request now."""
        return target.may_be_cold(now_ms) and not self._may_send_cold(
            target, now_ms
        )

    def _may_send_cold(self, target: TargetLoad, now_ms: float) -> bool:
        return self._takes_parts(
            now_ms, COLD_WINDOW_MS
        ) and target.cold.may_send(now_ms, self._cold_quota(target))

    def _takes_parts(self, now_ms: float, window_ms: float) -> bool:
        """Return whether this node takes its part of limits for a window."""
        has_window = now_ms >= self._started_ms + window_ms
        return has_window and self._is_counted(now_ms)

    def _is_counted(self, now_ms: float) -> bool:
        """Return whether the other nodes count this one."""
        members = self._cluster_view.members
        members.forget_departed(now_ms)
        age_ms = self._cluster_view.age_ms(now_ms)
        if age_ms is None or self._vm not in members:
            return False
        has_lasting = members.has_entry(self._vm, MemberSource.LASTING)
        return age_ms < (CERTAIN_MS if has_lasting else MEMORY_MS)

    def _cold_quota(self, target: TargetLoad) -> int:
        """Return how many requests per second a cold target may get."""
        self._drop_stale_caches()
        entry = target.registration
        quota = self._cold_quotas.get(entry.target_id)
        if quota is None:
            quota = cold_target_quota(
                entry.target_id,
                self._vm,
                tuple(self._region_by_node()),
                self._cold_per_s(target),
            )
            self._cold_quotas[entry.target_id] = quota
        return quota

    def turn(self, target: TargetLoad, now_ms: float) -> Turn:
        """Return this node's position among those that may send.

        Only the first nodes have a quota for a cold target if there are
        more nodes than requests per second.
        """
        self._drop_stale_caches()
        target_id = target.registration.target_id
        turn = self._turns.get(target_id)
        if turn is None:
            order = rendezvous.rank_names(self._region_by_node(), target_id)
            turn = Turn(order.index(self._vm), len(order))
            self._turns[target_id] = turn
        if not target.may_be_cold(now_ms):
            return turn
        total = int(self._cold_per_s(target) * COLD_USABLE_FRACTION)
        return Turn(turn.rank, max(1, min(turn.nodes, total)))

    def _cold_per_s(self, target: TargetLoad) -> float:
        """Return the requests per second of all nodes to a cold target."""
        assert self._cluster_view.table is not None
        services = self._cluster_view.table.services
        policy = services.get(target.registration.service)
        rate = policy.cold_per_s if policy else 0.0
        return rate * self._bounds.cold_factor + self._bounds.cold_slack

    def _divide_limit(
        self, target: TargetLoad, requests_per_s: float
    ) -> LimitPart:
        regions = self._region_by_node()
        near = [
            name
            for name, region in regions.items()
            if region in (target.region, None)
        ]
        far = [
            name for name, region in regions.items() if region != target.region
        ]
        target_id = target.registration.target_id
        quota = limited_target_quota(
            target_id, self._vm, tuple(near), tuple(far), requests_per_s
        )
        order = rendezvous.rank_names(regions, target_id)
        rank = order.index(self._vm)
        return LimitPart(requests_per_s, quota, rank, len(order))

    def _region_by_node(self) -> dict[str, str | None]:
        """Return the region of each node that may send.

        Nodes that are only assumed to exist get a part as well; their
        region is ``None``.
        """
        regions: dict[str, str | None] = {
            **self._cluster_view.members.regions,
            self._vm: self._region,
        }
        unknown = range(self.assumed_node_count - len(regions))
        return regions | {f'unknown {index}': None for index in unknown}

    def _drop_stale_caches(self) -> None:
        self._cluster_view.members.forget_departed(self._clock())
        generations = (
            self._cluster_view.generation,
            self._cluster_view.members.generation,
        )
        if self._cached_generations != generations:
            self._cached_generations = generations
            self._cold_quotas.clear()
            self._limit_parts.clear()
            self._turns.clear()
