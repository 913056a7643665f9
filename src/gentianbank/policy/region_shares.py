"""Shares of a region's requests that other regions serve.

The shares change slowly. A sudden shift would hit targets that do not have
the objects warm, overload them and make the shares oscillate.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import hashlib

from gentianbank.policy.windows import SlidingCount

# Utilization of the slots above which a region sends more requests
# elsewhere. It is higher for large answers, since traffic between regions is
# expensive.
BUSY_FRACTION = 0.6
BUSY_FRACTION_OF_LARGE = 0.85
# Another region gets more only if its utilization is lower by this much.
HEADROOM_MARGIN = 0.1
# A region takes requests back when its utilization is below the busy
# fraction by this much.
RETURN_MARGIN = 0.2
MAX_REMOTE_SHARE = 0.9
STEP_MS = 200.0
# Requests that are a smaller fraction of all than this may shift faster in
# proportion, since few of all requests change region.
SMALL_TRAFFIC_FRACTION = 0.3
WINDOW_MS = 2_000.0
# Fraction of requests that may leave a full region in addition to the
# planned share.
OVERFLOW_SHARE = 0.05
_MS_PER_S = 1_000
_HASH_RANGE = 2**32


@dataclass(frozen=True, slots=True)
class RegionLoad:
    """Load of a service's usable targets in a region.

    Parameters
    ----------
    occupied
        Estimated requests at the targets.
    slots
        Requests that the targets run at a time.
    is_limited
        Whether every target of the region names a limit on its requests.
    """

    occupied: float
    slots: int
    is_limited: bool = False

    @property
    def utilization(self) -> float:
        """Return the utilization of the slots; infinite without slots."""
        return self.occupied / self.slots if self.slots else float('inf')


@dataclass(slots=True)
class RegionShares:
    """Shares of one service's requests that go to other regions.

    Parameters
    ----------
    home
        Region of the node.
    rate_per_s
        Rate at which the sum of the shares may change.
    busy_fraction
        Utilization above which the region sends more elsewhere.
    shares
        Share of the requests, by the region that serves them.
    """

    home: str
    rate_per_s: float
    busy_fraction: float = BUSY_FRACTION
    shares: dict[str, float] = field(default_factory=dict)
    _last_step_ms: float = float('-inf')
    _started: bool = False
    _requests: SlidingCount = field(
        default_factory=lambda: SlidingCount(WINDOW_MS)
    )
    _overflowed: SlidingCount = field(
        default_factory=lambda: SlidingCount(WINDOW_MS)
    )

    def set_initial_shares(self, loads: dict[str, RegionLoad]) -> None:
        """Set the initial shares, unless this was done before.

        If every region has the same demand, a region with fewer slots than
        the mean sends the excess to regions with more.
        """
        if self._started:
            return
        self._started = True
        home = loads.get(self.home, RegionLoad(0.0, 0))
        others = {r: load.slots for r, load in loads.items() if r != self.home}
        mean_slots = (home.slots + sum(others.values())) / max(1, len(loads))
        if home.slots >= mean_slots:
            return
        remote_share = min(MAX_REMOTE_SHARE, 1 - home.slots / mean_slots)
        spare_slots = {
            r: max(0.0, slots - mean_slots) for r, slots in others.items()
        }
        total_spare_slots = sum(spare_slots.values())
        for region, slots in spare_slots.items():
            if slots > 0:
                self.shares[region] = remote_share * slots / total_spare_slots

    def is_due(self, now_ms: float) -> bool:
        """Return whether it is time for the next step."""
        return now_ms - self._last_step_ms >= STEP_MS

    def step(
        self,
        loads: dict[str, RegionLoad],
        now_ms: float,
        request_fraction: float = 1.0,
    ) -> None:
        """Adapt the shares to the loads, at the limited rate.

        Shares grow while the home region is busy and other regions have
        free slots, and shrink once its utilization is low. Without slots at
        home, all requests go elsewhere at once.

        Parameters
        ----------
        request_fraction
            Fraction that these requests are of all requests of the node.
        """
        elapsed_ms = now_ms - self._last_step_ms
        self._last_step_ms = now_ms
        max_shift = self.rate_per_s * min(elapsed_ms, 2 * STEP_MS) / _MS_PER_S
        home = loads.get(self.home, RegionLoad(0.0, 0))
        others = [region for region in loads if region != self.home]
        max_shift *= (
            max(1.0, SMALL_TRAFFIC_FRACTION / request_fraction)
            if request_fraction > 0
            else 1.0
        )
        if not home.slots:
            self._shift_everything(loads, others)
            return
        self._leave_limited_regions(loads)
        if home.utilization > self.busy_fraction:
            self._increase_shares(loads, others, home, max_shift)
        elif home.utilization < self.busy_fraction - RETURN_MARGIN:
            self._decrease_shares(max_shift)

    def region_of(self, topic: str) -> str:
        """Return the region that serves an object.

        The hash of the object decides, so objects stay in their region while
        the shares stay the same.
        """
        position = _hash_fraction(topic)
        for region, share in self.shares.items():
            if position < share:
                return region
            position -= share
        return self.home

    def on_request(self, now_ms: float) -> None:
        """Count a request."""
        self._requests.add(now_ms)

    def request_count(self, now_ms: float) -> int:
        """Return the number of requests in the sliding window."""
        return self._requests.count(now_ms)

    def may_overflow(self, now_ms: float) -> bool:
        """Return whether a request may leave a full region unplanned.

        A small fraction of the requests may, in addition to the shares.
        """
        allowed = OVERFLOW_SHARE * self._requests.count(now_ms)
        return self._overflowed.count(now_ms) + 1 <= allowed

    def on_overflow(self, now_ms: float) -> None:
        """Count a request that left the full region unplanned."""
        self._overflowed.add(now_ms)

    def _increase_shares(
        self,
        loads: dict[str, RegionLoad],
        others: list[str],
        home: RegionLoad,
        max_shift: float,
    ) -> None:
        free_slots = {
            region: loads[region].slots - loads[region].occupied
            for region in others
            if loads[region].utilization + HEADROOM_MARGIN < home.utilization
        }
        total_free = sum(free for free in free_slots.values() if free > 0)
        if total_free <= 0 or sum(self.shares.values()) >= MAX_REMOTE_SHARE:
            return
        for region, free in free_slots.items():
            if free > 0:
                new_share = (
                    self.shares.get(region, 0.0)
                    + max_shift * free / total_free
                )
                self.shares[region] = new_share

    def _decrease_shares(self, max_shift: float) -> None:
        total_share = sum(self.shares.values())
        if total_share <= max_shift:
            self.shares.clear()
            return
        for region in self.shares:
            self.shares[region] *= 1 - max_shift / total_share

    def _leave_limited_regions(self, loads: dict[str, RegionLoad]) -> None:
        """Divide the shares of limited regions among the others.

        The home region takes its part as well. The shares of regions whose
        targets are only cold stay, since these are back within seconds.
        """
        lost_share = 0.0
        for region, load in loads.items():
            if load.is_limited:
                lost_share += self.shares.pop(region, 0.0)
        if not lost_share:
            return
        free_slots = {
            region: max(0.0, load.slots - load.occupied)
            for region, load in loads.items()
        }
        total_free = sum(free_slots.values())
        for region, free in free_slots.items():
            if free > 0 and region != self.home:
                share = self.shares.get(region, 0.0)
                self.shares[region] = share + lost_share * free / total_free

    def _shift_everything(
        self, loads: dict[str, RegionLoad], others: list[str]
    ) -> None:
        """Send all requests elsewhere, as the region has no usable slot."""
        slots = sum(loads[region].slots for region in others)
        if slots:
            self.shares = {
                region: loads[region].slots / slots for region in others
            }


def _hash_fraction(topic: str) -> float:
    digest = hashlib.blake2b(topic.encode(), digest_size=4).digest()
    return int.from_bytes(digest, 'big') / _HASH_RANGE
