"""Nodes of the fleet and the latest gossip record of each."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import hashlib
from typing import TYPE_CHECKING

from gentianbank.domain import schema

if TYPE_CHECKING:
    from collections.abc import Iterable

READY = 'ready'
LEAVING = 'leaving'
DOWN = 'down'


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """Gossip record of one node.

    Parameters
    ----------
    generation
        Order of the incarnations of one VM; the highest wins. It starts as
        the Unix time in milliseconds at which the node started.
    version
        Order of the records of one incarnation; the highest wins.
    heir
        VM whose node took over the request outcomes of this node at a
        planned stop; empty for none.
    """

    vm: str = schema.name()
    region: str = schema.name()
    failure_domain: str = schema.name()
    http: str = schema.text(schema.ADDRESS_PATTERN)
    peer: str = schema.text(schema.ADDRESS_PATTERN)
    incarnation: str = schema.text(r'[0-9a-f]{16}')
    generation: int = schema.integer(0, 2**53)
    version: int = schema.integer(0, 2**53)
    state: str = schema.text(choices=(READY, LEAVING, DOWN))
    heir: str = schema.text(rf'({schema.NAME_PATTERN})?', default='')

    @property
    def order(self) -> tuple[int, int, str]:
        """Return the sort key between records of one VM; the highest wins."""
        return (self.generation, self.version, self.incarnation)

    @property
    def digest(self) -> int:
        """Return a 64-bit digest of the record."""
        data = f'{self.vm}/{self.order}/{self.state}/{self.heir}'.encode()
        hashed = hashlib.blake2b(data, digest_size=8).digest()
        return int.from_bytes(hashed, 'big')


@dataclass(slots=True)
class MemberTable:
    """Latest record of each VM; merging is commutative and idempotent."""

    _members: dict[str, Member] = field(default_factory=dict)
    _digest: int = 0

    @property
    def digest(self) -> int:
        """Return a digest of all records, equal for equal tables."""
        return self._digest

    def merge(self, records: Iterable[Member]) -> list[Member]:
        """Store the records that are newer than those held; return them."""
        changed = []
        for record in records:
            held = self._members.get(record.vm)
            if held is None or record.order > held.order:
                self._members[record.vm] = record
                self._digest ^= record.digest ^ (held.digest if held else 0)
                changed.append(record)
        return changed

    def mark_down(self, vm: str) -> list[Member]:
        """Mark a node as down; return the new record, if there is one."""
        held = self._members.get(vm)
        if held is None or held.state == DOWN:
            return []
        record = replace(held, state=DOWN, version=held.version + 1)
        return self.merge([record])

    def get(self, vm: str) -> Member | None:
        """Return the record of a VM."""
        return self._members.get(vm)

    def all(self) -> list[Member]:
        """Return every record."""
        return list(self._members.values())

    def ready(self) -> list[Member]:
        """Return the members that look-ups may give to callers."""
        return [m for m in self._members.values() if m.state == READY]

    def running(self) -> list[Member]:
        """Return the members that are not known to be down."""
        return [m for m in self._members.values() if m.state != DOWN]

    def region_digests(self) -> dict[str, int]:
        """Return a digest over the records of each region, by region."""
        digests: dict[str, int] = {}
        for member in self._members.values():
            held = digests.get(member.region, 0)
            digests[member.region] = held ^ member.digest
        return digests

    def outcome_owner_of(self, incarnation: str) -> Member | None:
        """Return the member to ask about outcomes of an incarnation.

        That is the heir once one is named, whatever its state, else the
        member itself unless it is down.
        """
        for member in self._members.values():
            if member.incarnation != incarnation:
                continue
            if member.heir:
                return self._members.get(member.heir)
            return member if member.state != DOWN else None
        return None
