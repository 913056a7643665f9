"""Requests in flight of the other nodes, as they report them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# If messages arrive from at least this fraction of the other nodes, the load
# of all is estimated from theirs alone.
REPRESENTATIVE_FRACTION = 0.7


@dataclass(slots=True)
class PeerLoads:
    """Requests in flight of the other nodes, by node and target.

    Parameters
    ----------
    peers
        Number of known nodes besides this one.
    """

    peers: int = 0
    _in_flight: dict[str, dict[str, int]] = field(default_factory=dict)
    _totals: dict[str, int] = field(default_factory=dict)
    _heard_ms: dict[str, float] = field(default_factory=dict)

    def on_heartbeat(self, vm: str, now_ms: float) -> None:
        """Record the time of a message from a node."""
        self._heard_ms[vm] = now_ms
        self._in_flight.setdefault(vm, {})

    def set_in_flight(self, vm: str, target: str, in_flight: int) -> None:
        """Set the number of requests that a node has in flight at a target."""
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

    def remove_node(self, vm: str) -> None:
        """Remove a node and its loads."""
        self._heard_ms.pop(vm, None)
        for target in list(self._in_flight.get(vm, ())):
            self.set_in_flight(vm, target, 0)
        self._in_flight.pop(vm, None)

    def silent_nodes(
        self, vms: Iterable[str], now_ms: float, silence_ms: float
    ) -> list[str]:
        """Return which of some nodes have sent nothing for some time."""
        return [
            vm
            for vm in vms
            if vm in self._heard_ms
            and now_ms - self._heard_ms[vm] > silence_ms
        ]

    @property
    def live_count(self) -> int:
        """Return the number of nodes whose messages arrive here."""
        return len(self._heard_ms)

    @property
    def is_representative(self) -> bool:
        """Return whether enough nodes are heard to estimate the total load."""
        heard = self.live_count
        return heard > 0 and heard >= REPRESENTATIVE_FRACTION * self.peers

    def estimated_in_flight(self, target: str) -> float:
        """Return the estimate of what all other nodes have in flight there.

        The sum over the nodes that are heard is scaled up to all known nodes.
        """
        total = self._totals.get(target, 0)
        return total * max(1.0, self.peers / max(1, self.live_count))
