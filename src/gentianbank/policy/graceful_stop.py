"""The order of a graceful stop."""

from __future__ import annotations

from dataclasses import dataclass

# Requests that come in this part of the time are still served; the rest of
# it is for finishing them.
SERVED_FRACTION = 0.48
# Callers may hold a look-up's answer, so the node listens for so long.
LISTEN_FRACTION = 0.6
# The process ends by itself before it is killed.
END_FRACTION = 0.95


@dataclass(frozen=True, slots=True)
class StopPlan:
    """What a stopping node does when.

    Parameters
    ----------
    began_ms
        Time of the request to stop.
    grace_ms
        Time after that until the process is killed.
    """

    began_ms: float
    grace_ms: float

    def refuses(self, now_ms: float) -> bool:
        """Tell whether new requests are refused by now."""
        return now_ms >= self.began_ms + SERVED_FRACTION * self.grace_ms

    def may_exit(self, now_ms: float, in_flight: int) -> bool:
        """Tell whether the process may end."""
        if now_ms >= self.began_ms + END_FRACTION * self.grace_ms:
            return True
        listened = now_ms >= self.began_ms + LISTEN_FRACTION * self.grace_ms
        return listened and not in_flight
