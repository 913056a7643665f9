"""Schedule of a graceful shutdown."""

from __future__ import annotations

from dataclasses import dataclass

# New requests are served for this fraction of the grace period; the rest is
# for the requests in flight.
SERVING_FRACTION = 0.48
# Callers that know only an older look-up answer come no longer than this.
MAX_SERVING_MS = 2_800.0
# The node listens for this fraction of the grace period, since callers may
# still use a cached look-up answer that names it.
LISTENING_FRACTION = 0.6
# The process exits after this fraction, before it is killed.
EXIT_FRACTION = 0.95


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Times of the steps of a graceful shutdown.

    Parameters
    ----------
    began_ms
        Time when the shutdown was requested.
    grace_ms
        Grace period: time from then until the process is killed.
    """

    began_ms: float
    grace_ms: float

    def refuses_requests(self, now_ms: float) -> bool:
        """Return whether new requests are refused."""
        serving_ms = min(SERVING_FRACTION * self.grace_ms, MAX_SERVING_MS)
        return now_ms >= self.began_ms + serving_ms

    def may_exit(self, now_ms: float, in_flight: int) -> bool:
        """Return whether the process may exit.

        It may once the node need not listen any more and nothing is in
        flight, or when the grace period is almost over.
        """
        if now_ms >= self.began_ms + EXIT_FRACTION * self.grace_ms:
            return True
        listening_is_over = (
            now_ms >= self.began_ms + LISTENING_FRACTION * self.grace_ms
        )
        return listening_is_over and not in_flight
