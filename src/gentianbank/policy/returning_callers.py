"""Detection of callers that retry a refused request.

Each request states how long its caller still waits, its patience. All
callers of a route start with the same patience, so a caller that states
clearly less has already waited for an earlier attempt.
"""

from __future__ import annotations

from dataclasses import dataclass

# A caller that retries has waited at least this long.
MIN_WAITED_MS = 60.0
# Factor per request on the longest patience, so that the estimate follows
# when the callers' initial patience becomes shorter.
DECAY_PER_REQUEST = 0.9995


@dataclass(slots=True)
class ReturningCallerDetector:
    """Decaying maximum of the patience stated by the callers of a route."""

    _longest_ms: float = 0.0

    def is_returning(self, patience_ms: float) -> bool:
        """Record a caller's patience; return whether it has waited before."""
        self._longest_ms = max(
            self._longest_ms * DECAY_PER_REQUEST, patience_ms
        )
        return (
            patience_ms < self._longest_ms * DECAY_PER_REQUEST - MIN_WAITED_MS
        )
