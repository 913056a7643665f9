"""Shares of one service's room at one node."""

from __future__ import annotations

import copy
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
import zlib

from gentianbank.policy.fair_shares.admission import ClassAdmission
from gentianbank.policy.fair_shares.counts import NodeCounts
from gentianbank.policy.fair_shares.counts import sum_counts
from gentianbank.policy.fair_shares.counts import WindowedCounter
from gentianbank.policy.fair_shares.division import divide_room
from gentianbank.policy.fair_shares.division import find_floors
from gentianbank.policy.fair_shares.room import RoomEstimate
from gentianbank.policy.fair_shares.room import ShortageDetector

if TYPE_CHECKING:
    from gentianbank.policy.fair_shares.division import ClassKey

# Reports of peers are not used when they are older, unless the peers send
# more rarely.
MAX_REPORT_AGE_MS = 3_000.0
# Part of the connected peers that must report before anything is refused by
# share. Right after the first report the others have not answered yet.
REPRESENTATIVE_FRACTION = 0.7
_CREDIT_STEPS = 997


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What a node sees of the fleet and of a service's targets.

    Parameters
    ----------
    known_peers
        Number of the other nodes.
    connected_peers
        How many of them this node is connected to.
    load
        Fraction of the slots in use at all targets of the service.
    max_report_age_ms
        Age from which a peer's report is not used.
    """

    known_peers: int
    connected_peers: int
    load: float
    max_report_age_ms: float = MAX_REPORT_AGE_MS


@dataclass(frozen=True, slots=True)
class Share:
    """Share of a class in the room of a service, over all nodes.

    Parameters
    ----------
    share_per_s
        Requests per second that are admitted.
    floor_per_s
        The least that the class gets whatever others ask for.
    asked_per_s
        Requests per second that callers send.
    room_per_s
        Requests per second that the service can answer.
    counted_ms
        Time of the oldest counts that it rests on.
    """

    share_per_s: float
    floor_per_s: float
    asked_per_s: float
    room_per_s: float
    counted_ms: float

    @property
    def rule(self) -> str:
        """Return which rule gave the share: ``floor`` or ``max-min``."""
        return 'max-min' if self.share_per_s > self.floor_per_s else 'floor'


@dataclass(frozen=True, slots=True)
class _Heard:
    counts: NodeCounts
    heard_ms: float


class ServiceShares:
    """Counts requests, and admits those within the share of their class.

    Parameters
    ----------
    vm
        This node.
    """

    def __init__(self, vm: str, now_ms: float) -> None:
        self._vm = vm
        self._counter = WindowedCounter(now_ms)
        self._own = NodeCounts()
        self._detector = ShortageDetector()
        self._room = RoomEstimate()
        self._heard: dict[str, _Heard] = {}
        self._admissions: dict[ClassKey, ClassAdmission] = {}
        self._refuses = False
        self.shares: dict[ClassKey, Share] = {}

    def admits(self, key: ClassKey, *, returning: bool) -> bool:
        """Count a request and return whether it is within the share.

        Parameters
        ----------
        returning
            Whether the caller seems to retry a request that was refused.
        """
        self._counter.on_request(key, returning=returning)
        admission = self._admissions.get(key)
        return admission is None or admission.admits(returning=returning)

    def would_admit(self, key: ClassKey, *, returning: bool) -> bool:
        """Return what ``admits`` would, without counting the request."""
        admission = copy.deepcopy(self._admissions.get(key))
        return admission is None or admission.admits(returning=returning)

    def on_answered(self) -> None:
        """Count a request that a target answered."""
        self._counter.on_answered()

    def on_no_room(self) -> None:
        """Count a request that was refused since no target had room."""
        self._counter.on_no_room()

    def on_report(self, vm: str, counts: NodeCounts, now_ms: float) -> None:
        """Record the counts of another node."""
        self._heard[vm] = _Heard(counts, now_ms)

    def remove_node(self, vm: str) -> None:
        """Forget the counts of a node whose connection ended."""
        self._heard.pop(vm, None)

    def report(self, now_ms: float) -> NodeCounts | None:
        """Return the counts for the peers; ``None`` if they need none."""
        return self._own if self._room.is_short(now_ms) else None

    @property
    def needs_load(self) -> bool:
        """Return whether the load of the targets matters for the shares."""
        is_short = self._room.room_per_s is not None or bool(self._heard)
        return is_short or self._counter.has_refusals

    def is_due(self, now_ms: float) -> bool:
        """Return whether the shares are to be computed again."""
        return self._counter.is_due(now_ms)

    def step(self, now_ms: float, seen: Surroundings) -> None:
        """Compute the shares from the counts of the last window."""
        counts = self._counter.end_window(now_ms)
        is_short = self._detector.observe(
            counts, seen.load, was_short=self._refuses
        )
        self._own = replace(counts, is_short=is_short)
        self._heard = {
            vm: heard
            for vm, heard in self._heard.items()
            if now_ms - heard.heard_ms <= seen.max_report_age_ms
        }
        heard = self._heard.values()
        scale = max(1.0, seen.known_peers / max(1, len(heard)))
        fleet = sum_counts(self._own, (item.counts for item in heard), scale)
        self._room.step(fleet, seen.load, now_ms)
        room_per_s = self._room.room_per_s
        needed = REPRESENTATIVE_FRACTION * seen.connected_peers
        if room_per_s is None or len(heard) < needed:
            self._clear()
            return
        counted_ms = min((item.heard_ms for item in heard), default=now_ms)
        self._apply(fleet, room_per_s, counted_ms)

    def _clear(self) -> None:
        self._refuses = False
        self.shares = {}
        self._admissions = {}

    def _apply(
        self, fleet: NodeCounts, room_per_s: float, counted_ms: float
    ) -> None:
        self._refuses = _sum_asked(fleet) > room_per_s
        parts = divide_room(fleet.asked, room_per_s)
        floors = find_floors(fleet.asked, room_per_s)
        self.shares = {
            key: Share(
                part_per_s,
                floors[key],
                fleet.asked[key].per_s,
                room_per_s,
                counted_ms,
            )
            for key, part_per_s in parts.items()
        }
        admissions = {}
        for key, part_per_s in parts.items():
            admission = self._admissions.get(key)
            if admission is None:
                admission = ClassAdmission(self._start_credit(key))
            admission.apply(fleet.asked[key], part_per_s)
            admissions[key] = admission
        self._admissions = admissions

    def _start_credit(self, key: ClassKey) -> float:
        label = f'{self._vm} {key}'.encode()
        return zlib.crc32(label) % _CREDIT_STEPS / _CREDIT_STEPS


def _sum_asked(fleet: NodeCounts) -> float:
    return sum(item.per_s for item in fleet.asked.values())
