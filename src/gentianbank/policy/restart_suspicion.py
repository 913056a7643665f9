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
    when the target has told its status since then.

    Parameters
    ----------
    since_ms
        Time of the latest lost connection; ``None`` without suspicion.
    told_ms
        Time when the target last told its status.
    """

    since_ms: float | None = None
    told_ms: float = float('-inf')

    @property
    def is_active(self) -> bool:
        """Return whether the target may have started again."""
        return self.since_ms is not None

    def on_connection_lost(self, now_ms: float) -> None:
        """Record that a connection was lost or refused."""
        self.since_ms = now_ms

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
