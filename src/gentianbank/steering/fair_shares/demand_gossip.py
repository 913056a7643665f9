"""Exchange of what callers ask of the services that are short of room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianbank.steering.fair_shares.demand_update import decode_counts
from gentianbank.steering.fair_shares.demand_update import encode_counts

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Set as AbstractSet

    from gentianbank.control.peers import PeerConnections
    from gentianbank.steering.fair_shares.demand_update import DemandUpdate
    from gentianbank.steering.fair_shares.fair_shares import FairShares

SEND_PERIOD_MS = 1_000.0


class DemandGossip:
    """Sends the counts of short services and takes those of peers.

    Parameters
    ----------
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        fair_shares: FairShares,
        peers: PeerConnections,
        clock: Callable[[], float],
    ) -> None:
        self._fair_shares = fair_shares
        self._peers = peers
        self._clock = clock
        self._last_tick_ms = clock()
        self._last_sent_ms = float('-inf')

    def tick(self, connected: AbstractSet[str]) -> None:
        """Compute the shares that are due, and send counts if needed."""
        now_ms = self._clock()
        self._fair_shares.step(now_ms - self._last_tick_ms)
        self._last_tick_ms = now_ms
        if now_ms - self._last_sent_ms < SEND_PERIOD_MS:
            return
        reports = self._fair_shares.reports()
        if not reports:
            return
        self._last_sent_ms = now_ms
        for service, counts in reports.items():
            self._peers.send_to_each(connected, encode_counts(service, counts))

    def on_update(self, vm: str, update: DemandUpdate) -> None:
        """Take the counts of a peer."""
        counts = decode_counts(update)
        self._fair_shares.on_report(vm, update.service, counts)

    def on_disconnected(self, vm: str) -> None:
        """Forget the counts of a peer."""
        self._fair_shares.remove_node(vm)
