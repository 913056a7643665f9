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
    ranks
        Position of each member; those with a request more come first.
    """

    base: int
    extra: frozenset[str]
    ranks: dict[str, int]

    def phase(self, vm: str) -> float:
        """Return the fraction of its first request that a member starts with.

        The members of equal parts start with fractions that are spread over
        0 to 1, so that the sum of all parts accrues evenly. Else each member
        of a small cap would have to wait for a whole window first.
        """
        has_extra = vm in self.extra
        members = len(self.extra) if has_extra else self._plain_members
        first_rank = 0 if has_extra else len(self.extra)
        rank = self.ranks.get(vm, first_rank) - first_rank
        return rank / max(1, members)

    @property
    def _plain_members(self) -> int:
        return len(self.ranks) - len(self.extra)

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
    order = rendezvous.rank_names(members, workspace)
    ranks = {vm: rank for rank, vm in enumerate(order)}
    return PartDivision(base, frozenset(order[:remainder]), ranks)


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

    def is_free(self, quota: int, now_ms: float, phase: float = 0.0) -> bool:
        """Return whether the part allows a request now.

        Parameters
        ----------
        quota
            Requests per window.
        phase
            Fraction of a request that the part starts with.
        """
        elapsed = min(1.0, (now_ms - self.from_ms) / self.window_ms)
        if elapsed < 0 or not quota:
            return False
        allowed = min(quota, int(quota * elapsed + phase))
        return self.used(now_ms) < allowed

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
