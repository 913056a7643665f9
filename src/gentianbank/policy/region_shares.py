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
    """

    occupied: float
    slots: int

    @property
    def fraction(self) -> float:
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

    def start(self, loads: dict[str, RegionLoad]) -> None:
        """Set the initial shares, unless this was done before.

        If every region has the same demand, a region with fewer slots than
        the mean sends the excess to regions with more.
        """
        if self._started:
            return
        self._started = True
        home = loads.get(self.home, RegionLoad(0.0, 0))
        others = {r: load.slots for r, load in loads.items() if r != self.home}
        even = (home.slots + sum(others.values())) / max(1, len(loads))
        if home.slots >= even:
            return
        remote = min(MAX_REMOTE_SHARE, 1 - home.slots / even)
        spare = {r: max(0.0, slots - even) for r, slots in others.items()}
        total = sum(spare.values())
        for region, slots in spare.items():
            if slots > 0:
                self.shares[region] = remote * slots / total

    def is_due(self, now_ms: float) -> bool:
        """Return whether it is time for the next step."""
        return now_ms - self._last_step_ms >= STEP_MS

    def step(
        self, loads: dict[str, RegionLoad], now_ms: float, part: float = 1.0
    ) -> None:
        """Shift the shares towards regions with free slots.

        Parameters
        ----------
        part
            Fraction that these requests are of all requests of the node.
        """
        elapsed_ms = now_ms - self._last_step_ms
        self._last_step_ms = now_ms
        step = self.rate_per_s * min(elapsed_ms, 2 * STEP_MS) / _MS_PER_S
        home = loads.get(self.home, RegionLoad(0.0, 0))
        others = [region for region in loads if region != self.home]
        step *= max(1.0, SMALL_TRAFFIC_FRACTION / part) if part > 0 else 1.0
        if not home.slots:
            self._shift_everything(loads, others)
            return
        if home.fraction > self.busy_fraction:
            self._increase_shares(loads, others, home, step)
        elif home.fraction < self.busy_fraction - RETURN_MARGIN:
            self._decrease_shares(step)

    def region_of(self, topic: str) -> str:
        """Return the region that serves an object.

        The hash of the object decides, so objects stay in their region while
        the shares stay the same.
        """
        point = _hash_fraction(topic)
        for region, share in self.shares.items():
            if point < share:
                return region
            point -= share
        return self.home

    def on_request(self, now_ms: float) -> None:
        """Count a request."""
        self._requests.add(now_ms)

    def count(self, now_ms: float) -> int:
        """Return the number of requests in the sliding window."""
        return self._requests.count(now_ms)

    def may_overflow(self, now_ms: float) -> bool:
        """Return whether a request may leave a full region unplanned."""
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
        step: float,
    ) -> None:
        free = {
            region: loads[region].slots - loads[region].occupied
            for region in others
            if loads[region].fraction + HEADROOM_MARGIN < home.fraction
        }
        total = sum(room for room in free.values() if room > 0)
        if total <= 0 or sum(self.shares.values()) >= MAX_REMOTE_SHARE:
            return
        for region, room in free.items():
            if room > 0:
                grown = self.shares.get(region, 0.0) + step * room / total
                self.shares[region] = grown

    def _decrease_shares(self, step: float) -> None:
        total = sum(self.shares.values())
        if total <= step:
            self.shares.clear()
            return
        for region in self.shares:
            self.shares[region] *= 1 - step / total

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
