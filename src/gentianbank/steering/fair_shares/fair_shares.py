"""Admission of requests by the share of their workspace."""

from __future__ import annotations

from collections import defaultdict
import copy
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gentianbank.policy.fair_shares.division import ClassKey
from gentianbank.policy.fair_shares.load_samples import LoadSamples
from gentianbank.policy.fair_shares.service_shares import MAX_REPORT_AGE_MS
from gentianbank.policy.fair_shares.service_shares import ServiceShares
from gentianbank.policy.fair_shares.service_shares import Surroundings
from gentianbank.policy.returning_callers import ReturningCallerDetector
from gentianbank.steering.answers import Refusal
from gentianbank.steering.caller_request import MAX_TIME_LEFT_MS
from gentianbank.steering.fair_shares.events import RefusedByShare

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.domain.route_table import RouteTable
    from gentianbank.policy.fair_shares.counts import NodeCounts
    from gentianbank.policy.fair_shares.service_shares import Share
    from gentianbank.steering.caller_request import CallerRequest
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.steering.request_log import RequestLog

CAUSE = 'the share of the workspace is used up'
# Reports of peers that a node may miss before it does without them.
MAX_MISSED_REPORTS = 3
# Workspaces with gauges of their own.
MAX_GAUGE_WORKSPACES = 10
MAX_DETECTORS = 20_000


@dataclass(frozen=True, slots=True)
class SharePreview:
    """Whether the share of a workspace would admit a request.

    Parameters
    ----------
    age_ms
        Age of the counts on which the share rests.
    """

    is_admitted: bool
    share: Share
    is_returning: bool
    age_ms: float


class FairShares:
    """Shares of all services; off unless there are workspaces.

    Parameters
    ----------
    vm
        This node.
    log
        Writes a line for each refusal.
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        *,
        vm: str,
        cluster_view: ClusterView,
        log: RequestLog,
        clock: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._cluster_view = cluster_view
        self._log = log
        self._clock = clock
        self._services: dict[str, ServiceShares] = {}
        self._samples: defaultdict[str, LoadSamples] = defaultdict(LoadSamples)
        self._detectors: dict[tuple[str, str], ReturningCallerDetector] = {}
        self._max_report_age_ms = MAX_REPORT_AGE_MS
        self._table: RouteTable | None = None
        self._lowest_priority = 0

    def check(self, request: CallerRequest) -> Refusal | None:
        """Count a request; return why it is refused, if it is."""
        table = self._cluster_view.table
        if table is None or table.workspaces is None:
            return None
        shares = self._shares_of(request.service)
        self._step_if_due(request.service, shares)
        key = self._key_of(request, table)
        is_returning = self._is_returning(request, key.workspace)
        if shares.admits(key, returning=is_returning):
            return None
        self._log_refusal(request, key, shares, is_returning=is_returning)
        return Refusal(503, CAUSE, may_retry_later=True)

    def preview(self, request: CallerRequest) -> SharePreview | None:
        """Return what ``check`` would say, without counting the request.

        The shares are those that were computed last.

        Returns
        -------
        SharePreview or None
            ``None`` if the room of the service is not divided.
        """
        table = self._cluster_view.table
        shares = self._services.get(request.service)
        if table is None or table.workspaces is None or shares is None:
            return None
        key = self._key_of(request, table)
        share = shares.shares.get(key)
        if share is None:
            return None
        name = (request.route.name, key.workspace)
        detector = copy.copy(self._detectors.get(name))
        patience_ms = request.caller_deadline_ms - request.received_ms
        is_returning = (
            detector is not None
            and patience_ms < MAX_TIME_LEFT_MS
            and detector.is_returning(patience_ms)
        )
        return SharePreview(
            shares.would_admit(key, returning=is_returning),
            share,
            is_returning=is_returning,
            age_ms=self._clock() - share.counted_ms,
        )

    def on_answered(self, request: CallerRequest) -> None:
        """Count a request that a target answered."""
        shares = self._services.get(request.service)
        if shares is not None:
            shares.on_answered()

    def on_no_room(self, request: CallerRequest) -> None:
        """Count a request that was refused since no target had room."""
        shares = self._services.get(request.service)
        if shares is not None:
            shares.on_no_room()

    def step(self, tick_ms: float) -> None:
        """Compute the shares that are due.

        Parameters
        ----------
        tick_ms
            Time between two ticks of the gossip.
        """
        table = self._cluster_view.table
        if table is None or table.workspaces is None:
            self._services.clear()
            self._samples.clear()
            self._detectors.clear()
            return
        self._max_report_age_ms = max(
            MAX_REPORT_AGE_MS, MAX_MISSED_REPORTS * tick_ms
        )
        for service in self._services.keys() - table.services.keys():
            del self._services[service]
            self._samples.pop(service, None)
        for service, shares in self._services.items():
            self._step_if_due(service, shares)

    def reports(self) -> dict[str, NodeCounts]:
        """Return the counts that peers need, by service."""
        now_ms = self._clock()
        reports = {
            service: shares.report(now_ms)
            for service, shares in self._services.items()
        }
        return {
            service: counts
            for service, counts in reports.items()
            if counts is not None
        }

    def on_report(self, vm: str, service: str, counts: NodeCounts) -> None:
        """Take the counts of another node.

        Services that this node does not know, or all without workspaces,
        are left out.
        """
        table = self._cluster_view.table
        if table is None or table.workspaces is None:
            return
        if service in table.services:
            shares = self._shares_of(service)
            shares.on_report(vm, counts, self._clock())

    def remove_node(self, vm: str) -> None:
        """Forget the counts of a node."""
        for shares in self._services.values():
            shares.remove_node(vm)

    @property
    def shared_services(self) -> int:
        """Return the number of services whose room is divided."""
        return sum(bool(shares.shares) for shares in self._services.values())

    def largest_workspaces(self) -> list[tuple[str, str, float, float]]:
        """Return service, workspace, share and asked rate of the largest.

        There are at most ``MAX_GAUGE_WORKSPACES``, by what they ask for.
        """
        sums: defaultdict[tuple[str, str], list[float]] = defaultdict(
            lambda: [0.0, 0.0]
        )
        for service, shares in self._services.items():
            for key, share in shares.shares.items():
                entry = sums[service, key.workspace]
                entry[0] += share.share_per_s
                entry[1] += share.asked_per_s
        rows = [
            (service, workspace, rates[0], rates[1])
            for (service, workspace), rates in sums.items()
        ]
        rows.sort(key=lambda row: -row[3])
        return rows[:MAX_GAUGE_WORKSPACES]

    def _shares_of(self, service: str) -> ServiceShares:
        shares = self._services.get(service)
        if shares is None:
            shares = ServiceShares(self._vm, self._clock())
            self._services[service] = shares
        return shares

    def _step_if_due(self, service: str, shares: ServiceShares) -> None:
        now_ms = self._clock()
        samples = self._samples[service]
        if shares.needs_load and samples.is_due(now_ms):
            samples.add(self._load_of(service, now_ms), now_ms)
        if not shares.is_due(now_ms):
            return
        peer_loads = self._cluster_view.peer_loads
        seen = Surroundings(
            known_peers=peer_loads.peers,
            connected_peers=peer_loads.live_count,
            load=samples.pop_mean() or 0.0,
            max_report_age_ms=self._max_report_age_ms,
        )
        shares.step(now_ms, seen)

    def _load_of(self, service: str, now_ms: float) -> float:
        """Return the fraction of the slots in use.

        Cold and suspect targets take few requests, and targets that name a
        limit are full whatever their slots. Without others the service
        counts as full, so that only refusals matter.
        """
        slots = 0
        occupancy = 0.0
        for target in self._cluster_view.usable_targets(service):
            if target.limit.is_named or target.is_suspect(now_ms):
                continue
            if not target.is_cold(now_ms):
                slots += target.registration.slots
                occupancy += target.occupancy(now_ms)
        return occupancy / slots if slots else 1.0

    def _key_of(self, request: CallerRequest, table: RouteTable) -> ClassKey:
        workspace = request.workspace
        if workspace is None:
            priority = self._lowest_priority_of(table)
            return ClassKey('', priority, request.route.priority)
        return ClassKey(
            workspace.name, workspace.priority, request.route.priority
        )

    def _lowest_priority_of(self, table: RouteTable) -> int:
        if table is not self._table and table.workspaces is not None:
            self._table = table
            self._lowest_priority = table.workspaces.lowest_priority
        return self._lowest_priority

    def _is_returning(self, request: CallerRequest, workspace: str) -> bool:
        """Return whether the caller seems to retry.

        The route's own detector takes the callers of a workspace for
        returning ones if their deadlines are shorter than those of others.
        """
        patience_ms = request.caller_deadline_ms - request.received_ms
        if patience_ms >= MAX_TIME_LEFT_MS:
            return False
        name = (request.route.name, workspace)
        detector = self._detectors.get(name)
        if detector is None:
            if len(self._detectors) >= MAX_DETECTORS:
                self._detectors.clear()
            detector = self._detectors[name] = ReturningCallerDetector()
        return detector.is_returning(patience_ms)

    def _log_refusal(
        self,
        request: CallerRequest,
        key: ClassKey,
        shares: ServiceShares,
        *,
        is_returning: bool,
    ) -> None:
        share = shares.shares[key]
        self._log.write(
            RefusedByShare(
                request=request.request_id.decode('latin-1'),
                workspace=key.workspace,
                service=request.service,
                rule=share.rule,
                priority=key.priority,
                route_priority=key.route_priority,
                share_per_s=round(share.share_per_s, 2),
                asked_per_s=round(share.asked_per_s, 2),
                room_per_s=round(share.room_per_s, 2),
                is_returning=is_returning,
                counts_age_ms=round(self._clock() - share.counted_ms),
            )
        )
