"""What a node knows of one target's load, speed and warm objects."""

from __future__ import annotations

from collections import deque
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
import math
from typing import TYPE_CHECKING
import zlib

from gentianbank.policy.peer_loads import PeerLoads
from gentianbank.policy.shared_allowance import ColdAllowance

if TYPE_CHECKING:
    from gentianbank.domain.load_report import LoadReport
    from gentianbank.domain.registration import TargetRegistration

# Objects that a target is believed to keep warm.
REMEMBERED_OBJECTS = 30
# Neighbours' bursts on a target's machine last about this long.
SLOWDOWN_MEMORY_MS = 500.0
# What a report says of the load fades, as the requests it counted end.
REPORT_MEMORY_MS = 800.0
USUAL_SLOWDOWN = 1.15
# Objects of one target that are told at a time.
MAX_UNTOLD = 50
FAILURE_SMOOTHING = 0.15
SUSPECT_MIN_MS = 400.0
SUSPECT_MAX_MS = 4_000.0
# Another target has the address; the store's next word ends this.
MISDIRECTED_MS = 15_000.0


@dataclass(slots=True, eq=False)
class TargetLoad:
    """A target as this node sees it.

    Parameters
    ----------
    since_ms
        Time when this node learned of the target.
    cold_until_ms
        Time until which few requests may be sent.
    in_flight
        Requests of this node that the target has.
    sent_since_report
        Requests that were sent after the newest report was made.
    failure_rate
        Smoothed part of the requests that failed.
    suspect_until_ms
        Time until which the target is avoided after connection failures.
    is_doubtful
        Whether the entry was missing after an outage of the store, so that
        the target may be gone.
    peer_loads
        What other nodes have in flight; shared by all targets.
    changed_loads
        Ids of targets whose load changed lately; shared by all targets.
    """

    registration: TargetRegistration
    region: str
    since_ms: float
    cold_until_ms: float = float('-inf')
    in_flight: int = 0
    report: LoadReport | None = None
    report_ms: float = float('-inf')
    sent_since_report: int = 0
    failure_rate: float = 0.0
    failures_in_row: int = 0
    suspect_until_ms: float = float('-inf')
    is_doubtful: bool = False
    peer_loads: PeerLoads = field(default_factory=PeerLoads)
    changed_loads: set[str] = field(default_factory=set)
    cold: ColdAllowance = field(default_factory=ColdAllowance)
    _speed: float = USUAL_SLOWDOWN
    _speed_ms: float = float('-inf')
    _untold: LoadReport | None = None
    # By a hash of their names, as nodes tell each other.
    _objects: OrderedDict[int, None] = field(default_factory=OrderedDict)
    _untold_objects: deque[int] = field(
        default_factory=lambda: deque(maxlen=MAX_UNTOLD)
    )

    def is_cold(self, now_ms: float) -> bool:
        """Tell whether the target is cold."""
        return now_ms < self.cold_until_ms

    def is_suspect(self, now_ms: float) -> bool:
        """Tell whether connections to the target failed just now."""
        return now_ms < self.suspect_until_ms

    def slowdown(self, now_ms: float) -> float:
        """Return the expected slowdown; an old report counts for less."""
        fading = math.exp((self._speed_ms - now_ms) / SLOWDOWN_MEMORY_MS)
        return USUAL_SLOWDOWN + fading * (self._speed - USUAL_SLOWDOWN)

    def occupancy(self, now_ms: float) -> float:
        """Return the estimated requests that the target has."""
        others = self.peer_loads.of(self.registration.target_id)
        known = self.in_flight + others
        if self.report is None or self.peer_loads.is_complete:
            return known
        fading = math.exp((self.report_ms - now_ms) / REPORT_MEMORY_MS)
        reported = (self.report.running + self.report.waiting) * fading
        return max(known, reported + self.sent_since_report)

    def knows(self, topic: str) -> bool:
        """Tell whether the target was given an object lately."""
        return hash_object(topic) in self._objects

    def on_send(self, now_ms: float, topic: str) -> None:
        """Count a request in."""
        self.in_flight += 1
        self.changed_loads.add(self.registration.target_id)
        self.sent_since_report += 1
        if self.is_cold(now_ms):
            self.cold.on_send(now_ms)
        if topic:
            number = hash_object(topic)
            self.on_object(number)
            self._untold_objects.append(number)

    def on_object(self, number: int) -> None:
        """Note that the target was given an object, by its hash."""
        self._objects[number] = None
        self._objects.move_to_end(number)
        if len(self._objects) > REMEMBERED_OBJECTS:
            self._objects.popitem(last=False)

    def take_untold_objects(self) -> list[int]:
        """Return the objects that were given since the last call."""
        untold = list(self._untold_objects)
        self._untold_objects.clear()
        return untold

    def on_end(self) -> None:
        """Count a request out, whatever became of it."""
        self.in_flight -= 1
        self.changed_loads.add(self.registration.target_id)

    def on_report(self, report: LoadReport, now_ms: float) -> None:
        """Take a load report."""
        self.report = report
        self.report_ms = now_ms
        self.sent_since_report = 0
        self._untold = report
        self.on_speed(report.slowdown, now_ms)

    def on_speed(self, slowdown: float, now_ms: float) -> None:
        """Take how long work takes at the target now."""
        self._speed = slowdown
        self._speed_ms = now_ms

    def take_untold_report(self) -> LoadReport | None:
        """Return the newest report unless it was returned before."""
        report, self._untold = self._untold, None
        return report

    def on_answer(self, *, failed: bool) -> None:
        """Count an answer."""
        self.failures_in_row = 0
        self.suspect_until_ms = float('-inf')
        goal = 1.0 if failed else 0.0
        self.failure_rate += FAILURE_SMOOTHING * (goal - self.failure_rate)

    def on_misdirected(self, now_ms: float) -> None:
        """Note that another target answered at the address."""
        self.suspect_until_ms = now_ms + MISDIRECTED_MS

    def on_unreachable(self, now_ms: float) -> None:
        """Count a connection that could not be opened."""
        self.failures_in_row += 1
        self._avoid(now_ms, self.failures_in_row - 1)

    def on_broken(self, now_ms: float) -> None:
        """Count an answer that did not come whole."""
        self.failures_in_row += 1
        self.failure_rate += FAILURE_SMOOTHING * (1 - self.failure_rate)
        if self.failures_in_row > 1:
            self._avoid(now_ms, self.failures_in_row - 2)

    def _avoid(self, now_ms: float, step: int) -> None:
        pause_ms = SUSPECT_MIN_MS * 2**step
        self.suspect_until_ms = now_ms + min(pause_ms, SUSPECT_MAX_MS)

    def forget_objects(self) -> None:
        """Forget which objects are warm, as the target started anew."""
        self._objects.clear()


def hash_object(topic: str) -> int:
    """Return a number of 32 bits for an object, the same on all nodes."""
    return zlib.crc32(topic.encode())
