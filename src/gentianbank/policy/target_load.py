"""A node's view of one target: load, slowdown, failures, warm objects."""

from __future__ import annotations

from collections import deque
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
import math
from typing import TYPE_CHECKING
import zlib

from gentianbank.policy.fleet_limits import ColdRateLimit
from gentianbank.policy.leaving import LeavingState
from gentianbank.policy.peer_loads import PeerLoads
from gentianbank.policy.restart_suspicion import RestartSuspicion
from gentianbank.policy.target_limit import TargetLimit
from gentianbank.policy.target_pace import TargetPace

if TYPE_CHECKING:
    from gentianbank.domain.load_report import LoadReport
    from gentianbank.domain.registration import TargetRegistration
    from gentianbank.policy.target_pace import PaceNews

# Number of objects that a target is assumed to keep warm.
MAX_WARM_OBJECTS = 30
# Time constant of the decay of a reported slowdown. Bursts of other loads on
# the target's machine last about this long.
SLOWDOWN_DECAY_MS = 500.0
# Time constant of the decay of a reported load, as the requests that it
# counts end.
REPORT_DECAY_MS = 800.0
# Slowdown that is expected without a recent report.
DEFAULT_SLOWDOWN = 1.15
# Limit on the objects per target in the next message to other nodes.
MAX_UNSENT_OBJECTS = 50
FAILURE_SMOOTHING = 0.15
# Backoff after connection failures.
MIN_BACKOFF_MS = 400.0
MAX_BACKOFF_MS = 4_000.0
# Enough doublings to reach the longest backoff; 2 to the power of a count
# that grows without end is no float any more.
MAX_BACKOFF_DOUBLINGS = 10
# Unreadable load reports of a target are logged this far apart at the least.
UNREADABLE_LOG_PERIOD_MS = 10_000.0
# Times until which a target is cold that differ by less are the same; nodes
# hear of them with different delays.
COLD_TOLERANCE_MS = 500.0
# Backoff while another target has the address; an entry from the store with
# the new address ends it sooner.
MISDIRECTED_BACKOFF_MS = 15_000.0


@dataclass(slots=True, eq=False)
class TargetLoad:
    """This node's view of a target.

    Parameters
    ----------
    known_since_ms
        Time when this node learned of the target.
    cold_until_ms
        Time until which the target is cold and its rate limit holds.
    restart_cold_until_ms
        The part of it that follows from a restart that a status check found.
        Nodes tell only that to each other: what follows from an entry each
        node works out by itself, from when it has read the entry.
    in_flight
        Requests of this node in flight at the target.
    report, report_ms
        Newest load report received from the target itself, and its time.
    sent_since_report
        Requests that were sent after the newest load report arrived.
    last_sent_ms
        Time when the last request was sent.
    failure_rate
        Smoothed fraction of the requests that failed.
    consecutive_failures
        Connection failures and truncated answers since the last answer.
    suspect_until_ms
        Time until which the target is avoided after connection failures.
    leaving
        Whether the target says in its answers that it leaves.
    is_unconfirmed
        Whether the target's entry was missing after an outage of the store,
        so that the target may be gone.
    peer_loads
        What other nodes have in flight; shared by all targets.
    changed_loads
        Ids of targets whose load changed since the last message to other
        nodes; shared by all targets.
    cold
        Rate limit that holds while the target is cold.
    limit
        Limit that the target itself names.
    restart
        Suspicion that the target has started again.
    pace
        Pace after a start or errors; ``None`` if there never was one.
    paced_until_ms
        The ``cold_until_ms`` for which a pace was started.
    """

    registration: TargetRegistration
    region: str
    known_since_ms: float
    cold_until_ms: float = float('-inf')
    restart_cold_until_ms: float = float('-inf')
    in_flight: int = 0
    report: LoadReport | None = None
    report_ms: float = float('-inf')
    sent_since_report: int = 0
    last_sent_ms: float = float('-inf')
    failure_rate: float = 0.0
    consecutive_failures: int = 0
    suspect_until_ms: float = float('-inf')
    leaving: LeavingState = field(default_factory=LeavingState)
    is_unconfirmed: bool = False
    peer_loads: PeerLoads = field(default_factory=PeerLoads)
    changed_loads: set[str] = field(default_factory=set)
    cold: ColdRateLimit = field(default_factory=ColdRateLimit)
    limit: TargetLimit = field(default_factory=TargetLimit)
    restart: RestartSuspicion = field(default_factory=RestartSuspicion)
    pace: TargetPace | None = None
    paced_until_ms: float = float('-inf')
    _reported_slowdown: float = DEFAULT_SLOWDOWN
    _slowdown_reported_ms: float = float('-inf')
    _unsent_report: LoadReport | None = None
    _unreadable_logged_ms: float = float('-inf')
    _has_unsent_cold: bool = False
    # By hash, which is how nodes name objects to each other; least recently
    # used first.
    _warm_objects: OrderedDict[int, None] = field(default_factory=OrderedDict)
    _unsent_objects: deque[int] = field(
        default_factory=lambda: deque(maxlen=MAX_UNSENT_OBJECTS)
    )

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the target started or came back recently."""
        return now_ms < self.cold_until_ms

    def may_be_cold(self, now_ms: float) -> bool:
        """Return whether the rate limit for cold targets holds."""
        return self.is_cold(now_ms) or self.restart.is_active

    def is_suspect(self, now_ms: float) -> bool:
        """Return whether the target is avoided after connection failures."""
        return now_ms < self.suspect_until_ms

    def slowdown(self, now_ms: float) -> float:
        """Return the estimated slowdown, from the last report and its age.

        It is the processing time relative to the target's normal one.
        """
        decay = math.exp(
            (self._slowdown_reported_ms - now_ms) / SLOWDOWN_DECAY_MS
        )
        return DEFAULT_SLOWDOWN + decay * (
            self._reported_slowdown - DEFAULT_SLOWDOWN
        )

    def occupancy(self, now_ms: float) -> float:
        """Return the estimated requests at the target, running and waiting.

        The target's own load report counts only while too few other nodes
        report their requests in flight.
        """
        others = self.peer_loads.estimated_in_flight(
            self.registration.target_id
        )
        counted = self.in_flight + others
        if self.report is None or self.peer_loads.is_representative:
            return counted
        decay = math.exp((self.report_ms - now_ms) / REPORT_DECAY_MS)
        reported = (self.report.running + self.report.waiting) * decay
        return max(counted, reported + self._count_unreported(now_ms))

    def _count_unreported(self, now_ms: float) -> float:
        """Return the requests sent since the report that are assumed to run.

        Those that ended without a report may still run at the target, but
        not for long. If they counted for good, a target that seems full
        would get no request, and thus bring no report, ever again.
        """
        open_requests = min(self.sent_since_report, self.in_flight)
        ended = self.sent_since_report - open_requests
        decay = math.exp((self.last_sent_ms - now_ms) / REPORT_DECAY_MS)
        return open_requests + ended * decay

    def has_warm_object(self, topic: str) -> bool:
        """Return whether an object is assumed to be warm at the target."""
        return hash_object(topic) in self._warm_objects

    def on_send(self, now_ms: float, topic: str) -> None:
        """Record that a request is sent."""
        self.in_flight += 1
        self.changed_loads.add(self.registration.target_id)
        self.sent_since_report += 1
        self.last_sent_ms = now_ms
        self.cold.on_send(now_ms)
        self.limit.on_send(now_ms)
        if topic:
            object_hash = hash_object(topic)
            self.on_object_sent(object_hash)
            self._unsent_objects.append(object_hash)

    def on_object_sent(self, object_hash: int) -> None:
        """Record that a request with an object, given by hash, was sent."""
        self._warm_objects[object_hash] = None
        self._warm_objects.move_to_end(object_hash)
        if len(self._warm_objects) > MAX_WARM_OBJECTS:
            self._warm_objects.popitem(last=False)

    def pop_unsent_objects(self) -> list[int]:
        """Return the objects of requests sent since the last call, by hash."""
        object_hashes = list(self._unsent_objects)
        self._unsent_objects.clear()
        return object_hashes

    def on_end(self) -> None:
        """Record the end of a request, whatever its outcome."""
        self.in_flight -= 1
        self.changed_loads.add(self.registration.target_id)

    def on_report(self, report: LoadReport, now_ms: float) -> None:
        """Record a load report of the target."""
        self.report = report
        self.report_ms = now_ms
        self.sent_since_report = 0
        self._unsent_report = report
        self.on_slowdown(report.slowdown, now_ms)

    def on_unreadable_report(self, now_ms: float) -> bool:
        """Record a report that cannot be read; return whether to log it."""
        if now_ms - self._unreadable_logged_ms < UNREADABLE_LOG_PERIOD_MS:
            return False
        self._unreadable_logged_ms = now_ms
        return True

    def on_slowdown(self, slowdown: float, now_ms: float) -> None:
        """Record a slowdown, reported by the target or by another node."""
        self._reported_slowdown = slowdown
        self._slowdown_reported_ms = now_ms

    def pop_unsent_report(self) -> LoadReport | None:
        """Return the newest load report unless it was returned before."""
        report, self._unsent_report = self._unsent_report, None
        return report

    def on_answer(self, *, failed: bool) -> None:
        """Record an answer; it ends the backoff.

        Parameters
        ----------
        failed
            Whether the status of the answer counts as a failure.
        """
        self.consecutive_failures = 0
        self.suspect_until_ms = float('-inf')
        failure = 1.0 if failed else 0.0
        self.failure_rate += FAILURE_SMOOTHING * (failure - self.failure_rate)

    def on_misdirected(self, now_ms: float) -> None:
        """Avoid the target, as another one answered at its address."""
        self.suspect_until_ms = now_ms + MISDIRECTED_BACKOFF_MS

    def on_unreachable(self, now_ms: float) -> None:
        """Record a connection that could not be opened."""
        self.consecutive_failures += 1
        self._back_off(now_ms, self.consecutive_failures - 1)

    def on_broken(self, now_ms: float) -> None:
        """Record an answer that did not arrive whole.

        A single one does not start the backoff.
        """
        self.consecutive_failures += 1
        self.failure_rate += FAILURE_SMOOTHING * (1 - self.failure_rate)
        if self.consecutive_failures > 1:
            self._back_off(now_ms, self.consecutive_failures - 2)

    def _back_off(self, now_ms: float, doublings: int) -> None:
        backoff_ms = MIN_BACKOFF_MS * 2 ** min(
            doublings, MAX_BACKOFF_DOUBLINGS
        )
        self.suspect_until_ms = now_ms + min(backoff_ms, MAX_BACKOFF_MS)

    def on_restart(self, cold_until_ms: float, now_ms: float) -> None:
        """Record that the target has started again and is cold.

        What was sent to it lately still counts towards its rate limit. Other
        nodes are told, unless this node knew it already.
        """
        was_known = cold_until_ms <= self.cold_until_ms + COLD_TOLERANCE_MS
        self.cold_until_ms = max(self.cold_until_ms, cold_until_ms)
        self.restart_cold_until_ms = max(
            self.restart_cold_until_ms, cold_until_ms
        )
        if was_known:
            return
        self.known_since_ms = now_ms
        self.clear_warm_objects()
        self._has_unsent_cold = True
        self.changed_loads.add(self.registration.target_id)

    def pop_unsent_cold_ms(self) -> float | None:
        """Return until when the target is cold if others must be told."""
        if not self._has_unsent_cold:
            return None
        self._has_unsent_cold = False
        return self.restart_cold_until_ms

    def ensure_pace(self) -> TargetPace:
        """Return the pace of the target, whether active or not."""
        if self.pace is None:
            self.pace = TargetPace(self.registration.slots)
        return self.pace

    def pop_pace_news(self) -> PaceNews | None:
        """Return what others are to be told of the pace, if anything."""
        return self.pace.pop_news() if self.pace is not None else None

    def clear_warm_objects(self) -> None:
        """Clear the warm objects, as the target comes back cold."""
        self._warm_objects.clear()


def hash_object(topic: str) -> int:
    """Return a 32-bit hash of an object, the same on all nodes."""
    return zlib.crc32(topic.encode())
