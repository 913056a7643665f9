"""What stays in force after the store was restored from an older copy.

The copy lacks the last changes before the restore: in it a target that has
left is still registered, and a failure domain may not be evacuated. Until
these changes are written again, the cautious one of what the copy says and
of what was known before holds, for a limited time.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import enum

# The greatest age of a copy, after which all changes are written again.
CAUTION_MS = 10_000.0
# Longer than a copy is old and the store is away.
GONE_MEMORY_MS = 30_000.0
MAX_GONE_TARGETS = 10_000


class TargetUse(enum.Enum):
    """How the entry of a target in a restored store is to be used."""

    AS_STORED = 'as the entry says'
    DRAINING = 'as one that drains, though the entry does not say so'
    UNUSED = 'not at all: the target is gone'


@dataclass(frozen=True, slots=True)
class _GoneTarget:
    """The start of a target whose entry is gone."""

    born_ms: int
    gone_ms: float


@dataclass(slots=True)
class GoneTargets:
    """The targets whose entries have gone lately, oldest first."""

    _gone: dict[str, _GoneTarget] = field(default_factory=dict)

    def put(self, target_id: str, born_ms: int, now_ms: float) -> None:
        """Note that a target is gone.

        Parameters
        ----------
        born_ms
            Start of the target, as its last entry stated it.
        """
        self._gone.pop(target_id, None)
        self._gone[target_id] = _GoneTarget(born_ms, now_ms)
        self._forget_expired(now_ms)

    def forget(self, target_id: str) -> None:
        """Note that a target is registered again."""
        self._gone.pop(target_id, None)

    def recent(self, now_ms: float) -> dict[str, int]:
        """Return the starts of the targets that have gone lately, by id."""
        self._forget_expired(now_ms)
        return {name: gone.born_ms for name, gone in self._gone.items()}

    def _forget_expired(self, now_ms: float) -> None:
        while self._gone:
            oldest = next(iter(self._gone))
            age_ms = now_ms - self._gone[oldest].gone_ms
            is_expired = age_ms >= GONE_MEMORY_MS
            if not is_expired and len(self._gone) <= MAX_GONE_TARGETS:
                return
            del self._gone[oldest]


@dataclass(slots=True)
class KnownBefore:
    """What was known before a restore and holds on for ``CAUTION_MS``.

    An entry that was written after the restore ends this for its key.

    Parameters
    ----------
    revision
        Revision of the first listing after the restore. Later ones are those
        of changes after the restore. Earlier ones may be too, but that
        cannot be told.
    ends_ms
        Time at which the content of the store holds again.
    evacuated
        Evacuated failure domains.
    draining, gone
        Starts of the targets that drained or were gone, by id.
    """

    revision: int
    ends_ms: float
    evacuated: frozenset[str]
    draining: dict[str, int]
    gone: dict[str, int]

    def is_over(self, now_ms: float) -> bool:
        """Return whether only the content of the store holds."""
        return now_ms >= self.ends_ms

    def use_of_target(
        self, target_id: str, born_ms: int, revision: int
    ) -> TargetUse:
        """Return how the entry of a target is to be used.

        Parameters
        ----------
        born_ms
            Start of the target. A later one than was known is of a process
            that started after the copy was taken.
        revision
            Revision at which the entry was written.
        """
        if revision > self.revision:
            self.draining.pop(target_id, None)
            self.gone.pop(target_id, None)
        if born_ms <= self.gone.get(target_id, -1):
            return TargetUse.UNUSED
        if born_ms <= self.draining.get(target_id, -1):
            return TargetUse.DRAINING
        return TargetUse.AS_STORED

    def on_evacuated(self, name: str, revision: int) -> None:
        """Handle that the store has an evacuation of a failure domain."""
        if revision > self.revision:
            self.evacuated -= {name}

    def on_evacuation_removed(self, name: str) -> None:
        """Handle that an evacuation in the restored store was removed."""
        self.evacuated -= {name}
