"""The nodes among which limits for all nodes together are divided."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import auto
from enum import Enum

# A node whose entry is gone counts for this long. It may only be cut off from
# the store, or finish its requests before it stops, and still send.
MEMORY_MS = 60_000.0


class MemberSource(Enum):
    """Kind of the store's entries that name a node."""

    NODE = auto()
    LASTING = auto()


@dataclass(slots=True)
class FleetMembers:
    """Nodes that may send requests, with their regions.

    Parameters
    ----------
    generation
        Incremented when the members change.
    """

    generation: int = 0
    _regions: dict[str, str] = field(default_factory=dict)
    _sources: dict[str, set[MemberSource]] = field(default_factory=dict)
    _forget_ms: dict[str, float] = field(default_factory=dict)

    def put(
        self, vm: str, region: str, source: MemberSource = MemberSource.NODE
    ) -> None:
        """Add a node that an entry names."""
        self._forget_ms.pop(vm, None)
        self._sources.setdefault(vm, set()).add(source)
        if self._regions.get(vm) != region:
            self._regions[vm] = region
            self.generation += 1

    def on_entry_gone(
        self,
        vm: str,
        now_ms: float,
        source: MemberSource = MemberSource.NODE,
    ) -> None:
        """Keep a node for some time after the last entry is gone."""
        sources = self._sources.get(vm, set())
        sources.discard(source)
        if vm in self._regions and not sources:
            self._forget_ms.setdefault(vm, now_ms + MEMORY_MS)

    def forget_departed(self, now_ms: float) -> None:
        """Remove the nodes whose entries have been gone for long."""
        for vm, forget_ms in list(self._forget_ms.items()):
            if now_ms >= forget_ms:
                del self._forget_ms[vm]
                del self._regions[vm]
                del self._sources[vm]
                self.generation += 1

    def has_entry(self, vm: str, source: MemberSource) -> bool:
        """Return whether an entry of some kind names a node."""
        return source in self._sources.get(vm, ())

    def named_by(self, source: MemberSource) -> list[str]:
        """Return the nodes that an entry of some kind names."""
        return [
            vm for vm, sources in self._sources.items() if source in sources
        ]

    @property
    def regions(self) -> dict[str, str]:
        """Return the region of each member, by VM."""
        return dict(self._regions)

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self._regions)

    def __contains__(self, vm: str) -> bool:
        """Return whether a node is a member."""
        return vm in self._regions
