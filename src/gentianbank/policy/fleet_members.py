"""The nodes among which limits for all nodes together are divided."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# A node whose entry is gone counts for this long. It may only be cut off from
# the store, or finish its requests before it stops, and still send.
MEMORY_MS = 60_000.0


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
    _forget_ms: dict[str, float] = field(default_factory=dict)

    def put(self, vm: str, region: str) -> None:
        """Add a node whose entry exists."""
        self._forget_ms.pop(vm, None)
        if self._regions.get(vm) != region:
            self._regions[vm] = region
            self.generation += 1

    def on_entry_gone(self, vm: str, now_ms: float) -> None:
        """Keep a node for some time after its entry is gone."""
        if vm in self._regions:
            self._forget_ms.setdefault(vm, now_ms + MEMORY_MS)

    def forget_departed(self, now_ms: float) -> None:
        """Remove the nodes whose entries have been gone for long."""
        for vm, forget_ms in list(self._forget_ms.items()):
            if now_ms >= forget_ms:
                del self._forget_ms[vm]
                del self._regions[vm]
                self.generation += 1

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
