"""Member records that wait to be gossiped."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianbank.domain.member import Member


@dataclass(frozen=True, slots=True)
class _QueuedRecord:
    """A member record to gossip, and the peer that it came from.

    The source is ``None`` if the record was made on this node.
    """

    record: Member
    source: str | None


@dataclass(slots=True)
class RecordQueue:
    """Queue of records, of which the latest of each VM counts."""

    _queued: dict[str, _QueuedRecord] = field(default_factory=dict)

    def add(self, records: list[Member], source: str | None) -> None:
        """Queue records for gossip at the next tick.

        Parameters
        ----------
        source
            Peer that the records came from; ``None`` for this node.
        """
        for record in records:
            self._queued[record.vm] = _QueuedRecord(record, source)

    def take_for(self, peers: Iterable[str]) -> dict[str, tuple[Member, ...]]:
        """Empty the queue; return the records for each peer that gets any.

        A peer does not get the records that came from it.
        """
        queued, self._queued = list(self._queued.values()), {}
        records = {
            vm: tuple(item.record for item in queued if item.source != vm)
            for vm in (peers if queued else ())
        }
        return {vm: found for vm, found in records.items() if found}
