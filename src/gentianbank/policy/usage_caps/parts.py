"""Equal parts of a cap, which nodes use that get no answer of an owner."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
import functools

from gentianbank.policy import rendezvous

MAX_CACHED_DIVISIONS = 4_096


@dataclass(frozen=True, slots=True)
class PartDivision:
    """The equal parts of a number of requests per window.

    Parameters
    ----------
    base
        Part of every member.
    extra
        Members that get one request more, so that the parts sum to the
        whole.
    """

    base: int
    extra: frozenset[str]

    def quota(self, vm: str) -> int:
        """Return the part of a member, in requests per window."""
        return self.base + (vm in self.extra)

    def quota_of_all(self, vms: frozenset[str]) -> int:
        """Return what the parts of some members sum to."""
        return self.base * len(vms) + len(self.extra & vms)


@functools.lru_cache(MAX_CACHED_DIVISIONS)
def divide(
    workspace: str, members: frozenset[str], total: int
) -> PartDivision:
    """Divide a number of requests per window among the members."""
    base, remainder = divmod(total, max(1, len(members)))
    if not remainder:
        return PartDivision(base, frozenset())
    order = rendezvous.rank_names(members, workspace)
    return PartDivision(base, frozenset(order[:remainder]))


@dataclass(slots=True)
class EqualPart:
    """A node's use of its equal part of one cap.

    Parameters
    ----------
    window_ms
        Window in which use is counted.
    from_ms
        Time from which the part accrues. All nodes may lose the owner at
        once, so the part of a window must not be free at once then.
    """

    window_ms: float
    from_ms: float
    _used_ms: deque[float] = field(default_factory=deque)

    def postpone(self, until_ms: float) -> None:
        """Let the part accrue from a later time on."""
        self.from_ms = max(self.from_ms, until_ms)

    def is_free(self, quota: int, now_ms: float) -> bool:
        """Return whether the part allows a request now."""
        elapsed = min(1.0, (now_ms - self.from_ms) / self.window_ms)
        return self.used(now_ms) < int(quota * elapsed)

    def use(self, now_ms: float) -> None:
        """Count a request."""
        self._used_ms.append(now_ms)

    def give_back(self, used_ms: float) -> None:
        """Take back a request that did not run."""
        if used_ms in self._used_ms:
            self._used_ms.remove(used_ms)

    def used(self, now_ms: float) -> int:
        """Return the requests in the window that ends now."""
        while self._used_ms and self._used_ms[0] <= now_ms - self.window_ms:
            self._used_ms.popleft()
        return len(self._used_ms)

    def age_ms(self, now_ms: float) -> float | None:
        """Return the time since the last use; ``None`` if not in a window."""
        if not self.used(now_ms):
            return None
        return now_ms - self._used_ms[-1]
