"""Which part of a region's requests is served by other regions.

The parts move slowly, since a sudden move would bring a load that the
other region's targets are not warm for, and swing back.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import hashlib

# A region over this part of its slots sends requests elsewhere.
BUSY_FRACTION = 0.7
# The other region must have so much more room.
ROOM_MARGIN = 0.15
CALM_FRACTION = 0.5
MAX_REMOTE_SHARE = 0.9
STEP_MS = 200.0
_MS_PER_S = 1_000
_HASH_RANGE = 2**32


@dataclass(frozen=True, slots=True)
class RegionLoad:
    """Load of a service's usable targets in a region."""

    occupied: float
    slots: int

    @property
    def fraction(self) -> float:
        """Return the occupied part of the slots."""
        return self.occupied / self.slots if self.slots else float('inf')


@dataclass(slots=True)
class RegionShares:
    """Parts of one service's requests that go to other regions.

    Parameters
    ----------
    home
        Region of the node.
    rate_per_s
        Speed at which the parts may change.
    """

    home: str
    rate_per_s: float
    shares: dict[str, float] = field(default_factory=dict)
    _stepped_ms: float = float('-inf')

    def step(self, loads: dict[str, RegionLoad], now_ms: float) -> None:
        """Move the parts towards where there is room."""
        elapsed_ms = now_ms - self._stepped_ms
        if elapsed_ms < STEP_MS:
            return
        self._stepped_ms = now_ms
        step = self.rate_per_s * min(elapsed_ms, 2 * STEP_MS) / _MS_PER_S
        home = loads.get(self.home, RegionLoad(0.0, 0))
        others = [region for region in loads if region != self.home]
        if not home.slots:
            self._leave_home(loads, others)
            return
        if home.fraction > BUSY_FRACTION:
            self._grow(loads, others, home, step)
        elif home.fraction < CALM_FRACTION:
            self._shrink(step)

    def region_of(self, topic: str) -> str:
        """Return the region that serves an object."""
        point = _point(topic)
        for region, share in self.shares.items():
            if point < share:
                return region
            point -= share
        return self.home

    def _grow(
        self,
        loads: dict[str, RegionLoad],
        others: list[str],
        home: RegionLoad,
        step: float,
    ) -> None:
        free = {
            region: max(0.0, loads[region].slots * BUSY_FRACTION)
            - loads[region].occupied
            for region in others
            if loads[region].fraction + ROOM_MARGIN < home.fraction
        }
        total = sum(room for room in free.values() if room > 0)
        if total <= 0 or sum(self.shares.values()) >= MAX_REMOTE_SHARE:
            return
        for region, room in free.items():
            if room > 0:
                grown = self.shares.get(region, 0.0) + step * room / total
                self.shares[region] = grown

    def _shrink(self, step: float) -> None:
        total = sum(self.shares.values())
        if total <= step:
            self.shares.clear()
            return
        for region in self.shares:
            self.shares[region] *= 1 - step / total

    def _leave_home(
        self, loads: dict[str, RegionLoad], others: list[str]
    ) -> None:
        """Serve everything elsewhere while the region has no target."""
        slots = sum(loads[region].slots for region in others)
        if slots:
            self.shares = {
                region: loads[region].slots / slots for region in others
            }


def _point(topic: str) -> float:
    digest = hashlib.blake2b(topic.encode(), digest_size=4).digest()
    return int.from_bytes(digest, 'big') / _HASH_RANGE
