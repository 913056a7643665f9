"""When a node may act as owner."""

from __future__ import annotations

from dataclasses import dataclass

from gentianbank.policy.usage_caps.plan import TENURE_MS

# A longer time between two checks means that the process was frozen.
MAX_GAP_MS = 1_000.0
# On the first start of the whole system, the time without a change of the
# owners after which a node acts. Nodes that start together register within it.
FIRST_START_WAIT_MS = 1_500.0
# A node that becomes owner this long after its start waits as usual.
FIRST_START_SPAN_MS = 15_000.0
# A handover is used only this soon after the claim for it was sent.
MAX_CLAIM_AGE_MS = 500.0


@dataclass(slots=True)
class Tenure:
    """Checks that a node's view is recent and that it was not frozen.

    Parameters
    ----------
    started_ms
        Time when the node started.
    is_first_start
        Whether the whole system starts for the first time.
    """

    started_ms: float
    is_first_start: bool = False
    _checked_ms: float | None = None

    def check_gap(self, now_ms: float) -> bool:
        """Record a check; return whether the node was frozen before it."""
        last_ms = self._checked_ms
        self._checked_ms = now_ms
        return last_ms is not None and now_ms - last_ms > MAX_GAP_MS

    def is_recent(self, heard_ms: float, now_ms: float) -> bool:
        """Return whether a view of the store is recent enough to act on."""
        return now_ms - heard_ms < TENURE_MS

    def starts_full(self, now_ms: float) -> bool:
        """Return whether a bucket starts full and without the usual wait."""
        return (
            self.is_first_start
            and now_ms - self.started_ms < FIRST_START_SPAN_MS
        )

    def wait_ms(self, grant_ms: float, now_ms: float) -> float:
        """Return for how long a node must have ranked first."""
        if self.starts_full(now_ms):
            return FIRST_START_WAIT_MS
        return TENURE_MS + grant_ms
