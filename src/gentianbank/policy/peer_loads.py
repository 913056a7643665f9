"""What other nodes have in flight at the targets, as they tell it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# A node that is not heard for so long has ended or is cut off.
SILENCE_MS = 1_500.0
# With this part of the nodes heard, their loads stand for those of all.
COMPLETE_PART = 0.7


@dataclass(slots=True)
class PeerLoads:
    """Requests in flight of other nodes, by node and target.

    Parameters
    ----------
    peers
        Nodes that are known besides this one.
    """

    peers: int = 0
    _in_flight: dict[str, dict[str, int]] = field(default_factory=dict)
    _totals: dict[str, int] = field(default_factory=dict)
    _heard_ms: dict[str, float] = field(default_factory=dict)

    def on_heard(self, vm: str, now_ms: float) -> None:
        """Note that a node lives."""
        self._heard_ms[vm] = now_ms
        self._in_flight.setdefault(vm, {})

    def put(self, vm: str, target: str, in_flight: int) -> None:
        """Take what a node has in flight at a target."""
        loads = self._in_flight.setdefault(vm, {})
        difference = in_flight - loads.get(target, 0)
        if in_flight:
            loads[target] = in_flight
        else:
            loads.pop(target, None)
        total = self._totals.get(target, 0) + difference
        if total:
            self._totals[target] = total
        else:
            self._totals.pop(target, None)

    def forget(self, vm: str) -> None:
        """Drop what a node has told, as it is not heard any more."""
        self._heard_ms.pop(vm, None)
        for target in list(self._in_flight.get(vm, ())):
            self.put(vm, target, 0)
        self._in_flight.pop(vm, None)

    def silent(self, now_ms: float) -> list[str]:
        """Return the nodes that have not been heard for long."""
        return [
            vm
            for vm, heard_ms in self._heard_ms.items()
            if now_ms - heard_ms > SILENCE_MS
        ]

    @property
    def heard(self) -> int:
        """Return how many nodes are heard."""
        return len(self._heard_ms)

    @property
    def is_complete(self) -> bool:
        """Tell whether the loads stand for those of all nodes."""
        heard = self.heard
        return heard > 0 and heard >= COMPLETE_PART * self.peers

    def of(self, target: str) -> float:
        """Return the estimated requests of all other nodes at a target."""
        total = self._totals.get(target, 0)
        return total * max(1.0, self.peers / max(1, self.heard))
