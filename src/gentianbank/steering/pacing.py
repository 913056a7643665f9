"""Applies the pace of targets that have just started or recovered."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from gentianbank.policy.cold_ratio import ColdRatio
from gentianbank.policy.placement import ROUND_TRIP_MS
from gentianbank.policy.target_load import COLD_TOLERANCE_MS
from gentianbank.policy.target_pace import PaceCause
from gentianbank.policy.windows import SlidingCount

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.policy.placement import Placement
    from gentianbank.policy.route_times import RouteTimes
    from gentianbank.policy.target_load import TargetLoad
    from gentianbank.policy.target_pace import TargetPace
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.steering.fleet_quotas import FleetQuotas

# A slowdown that a target reports excuses its times up to this factor, so
# that one that reports too much is still seen to be late.
MAX_EXCUSED_SLOWDOWN = 2.0
# A request that takes longer than this multiple of the expected time is
# taken for a failure before its deadline.
OVERDUE_RATIO = 4.0
LOG_LINES_PER_WINDOW = 20
LOG_WINDOW_MS = 10_000.0


class Pacing:
    """Keeps the paces of this node's targets.

    Parameters
    ----------
    quotas
        Names the nodes that take turns at a target.
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        quotas: FleetQuotas,
        cluster_view: ClusterView,
        clock: Callable[[], float],
    ) -> None:
        self._quotas = quotas
        self._cluster_view = cluster_view
        self._clock = clock
        self._cold_ratios: dict[str, ColdRatio] = {}
        self._logged = SlidingCount(LOG_WINDOW_MS)

    @property
    def paced_target_count(self) -> int:
        """Return the number of targets under pace."""
        now_ms = self._clock()
        return sum(
            target.pace is not None
            and target.pace.is_active
            and not target.pace.has_expired(now_ms)
            for target in self._cluster_view.targets.values()
        )

    def cold_ratio(self, service: str) -> float:
        """Return the measured ratio of cold targets' times to warm ones'."""
        return self._ratio(service).value

    def may_send(self, target: TargetLoad, now_ms: float) -> bool:
        """Return whether the pace of a target allows a request."""
        pace = self._update(target, now_ms)
        if pace is not None and pace.is_overdue(now_ms):
            pace.on_overdue(now_ms)
            self._on_change(target)
        if pace is None or not pace.is_active:
            return True
        turn = self._quotas.turn(target, now_ms)
        occupancy = target.occupancy(now_ms)
        return pace.may_send(
            occupancy, target.in_flight, turn.rank, turn.nodes, now_ms
        )

    def on_send(self, placed: Placement, request: int) -> None:
        """Record that a request, given by a number, is sent."""
        expected_ms = placed.expected_ms
        due_ms = self._clock() + expected_ms * OVERDUE_RATIO
        placed.target.ensure_pace().on_send(request, due_ms)

    def on_end(self, placed: Placement, request: int) -> None:
        """Record the end of a request, whatever its outcome."""
        placed.target.ensure_pace().on_end(request)

    def on_success(
        self, placed: Placement, times: RouteTimes, topic: str, time_ms: float
    ) -> None:
        """Record a success and the time that it took."""
        target = placed.target
        if placed.wait_ms:
            return
        now_ms = self._clock()
        expected_ms = times.mean_ms
        if topic:
            expected_ms = times.warm_ms if placed.warm else times.cold_ms
        slowdown = min(MAX_EXCUSED_SLOWDOWN, target.slowdown(now_ms))
        work_ms = max(0.0, time_ms - ROUND_TRIP_MS)
        ratio = work_ms / slowdown / max(1.0, expected_ms)
        if target.is_cold(now_ms):
            self._ratio(target.registration.service).on_answer(ratio)
        pace = target.pace
        if pace is not None and pace.on_answer(ratio, now_ms):
            pace.end(now_ms, PaceCause.RECOVERED)
        self._on_change(target)

    def on_rejected(self, target: TargetLoad) -> None:
        """Record that a target rejected a request."""
        if target.pace is not None:
            target.pace.on_rejected(self._clock())
            self._on_change(target)

    def on_failed(self, target: TargetLoad) -> None:
        """Record a failure of a target, which may start its pace."""
        now_ms = self._clock()
        pace = target.ensure_pace()
        if pace.on_failed(target.failure_rate, now_ms):
            pace.start(now_ms, PaceCause.ERRORS)
        self._on_change(target)

    def _update(self, target: TargetLoad, now_ms: float) -> TargetPace | None:
        """Start the pace of a target that has become cold; end an old one."""
        pace = target.pace
        cold_until_ms = target.cold_until_ms
        if target.is_cold(now_ms) and (
            cold_until_ms > target.paced_until_ms + COLD_TOLERANCE_MS
        ):
            pace = target.ensure_pace()
            target.paced_until_ms = cold_until_ms
            is_restart = target.restart_cold_until_ms >= cold_until_ms
            pace.start(
                now_ms, PaceCause.RESTART if is_restart else PaceCause.COLD
            )
        if pace is not None and pace.has_expired(now_ms):
            pace.end(now_ms, PaceCause.EXPIRED)
        if pace is not None and pace.unlogged is not None:
            self._on_change(target)
        return pace

    def _on_change(self, target: TargetLoad) -> None:
        """Log a start or an end, and let other nodes be told of changes."""
        pace = target.pace
        if pace is None:
            return
        if pace.has_news:
            target.changed_loads.add(target.registration.target_id)
        cause, pace.unlogged = pace.unlogged, None
        if cause is not None:
            verb = 'starts' if pace.is_active else 'ends'
            self._log(f'pace of a target {verb}', target, cause)

    def _ratio(self, service: str) -> ColdRatio:
        return self._cold_ratios.setdefault(service, ColdRatio())

    def _log(self, text: str, target: TargetLoad, cause: PaceCause) -> None:
        now_ms = self._clock()
        if self._logged.count(now_ms) >= LOG_LINES_PER_WINDOW:
            return
        self._logged.add(now_ms)
        logging.info(
            text,
            extra={
                'target': target.registration.target_id,
                'cause': cause.value,
            },
        )
