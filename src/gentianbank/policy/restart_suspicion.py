"""Whether a target may have started again, unknown to this node.

A target that starts again under its id is cold, and its entry in the store
tells so. The store may be out, or the entry late. What a node sees by itself
is that the connections to the target end.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """What a target says of itself when asked for its status.

    Parameters
    ----------
    target_id
        Id of the target that answered; empty if the answer names none.
    cold_left_ms
        Time for which the target is still cold; 0 for one that is warm, and
        ``None`` if that cannot be read.
    """

    target_id: str
    cold_left_ms: float | None


@dataclass(slots=True)
class RestartSuspicion:
    """Suspicion that one target has started again.

    It begins when a connection to the target is lost or refused, and ends
    when the target has told its status since then. It also ends when the
    target has been reachable since then for as long as one is cold.

    Parameters
    ----------
    since_ms
        Time of the latest lost connection; ``None`` without suspicion.
    told_ms
        Time when the target last told its status.
    """

    since_ms: float | None = None
    told_ms: float = float('-inf')
    _reached_ms: float | None = None

    @property
    def is_active(self) -> bool:
        """Return whether the target may have started again."""
        return self.since_ms is not None

    def on_connection_lost(self, now_ms: float) -> None:
        """Record that a connection was lost or refused."""
        self.since_ms = now_ms
        self._reached_ms = None

    def on_reached(self, now_ms: float, cold_start_ms: float) -> None:
        """Record that the target was reached, but told no status.

        Parameters
        ----------
        cold_start_ms
            Time for which a target is cold after its start.
        """
        if self._reached_ms is None:
            self._reached_ms = now_ms
        if now_ms - self._reached_ms >= cold_start_ms:
            self.since_ms = None

    def on_status(self, asked_ms: float, now_ms: float) -> bool:
        """Record that the target told its status.

        Parameters
        ----------
        asked_ms
            Time when it was asked. What was lost later may come from a
            restart after the answer.

        Returns
        -------
        bool
            Whether the status may be used.
        """
        self.told_ms = now_ms
        if self.since_ms is not None and self.since_ms > asked_ms:
            return False
        self.since_ms = None
        return True
