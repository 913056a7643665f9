"""Tells callers that come back from those that come for the first time.

A caller states how long it will wait. The callers of a route begin with the
same patience, so who states clearly less has waited before.
"""

from __future__ import annotations

from dataclasses import dataclass

# A caller that comes back has waited at least so long.
MIN_WAITED_MS = 60.0
# The longest patience is forgotten slowly, as operators may change it.
FADING = 0.9995


@dataclass(slots=True)
class PatienceMemory:
    """The longest patience that callers of one route have stated."""

    _longest_ms: float = 0.0

    def is_return(self, patience_ms: float) -> bool:
        """Take a caller's patience; tell whether it has waited before."""
        self._longest_ms = max(self._longest_ms * FADING, patience_ms)
        return patience_ms < self._longest_ms * FADING - MIN_WAITED_MS
