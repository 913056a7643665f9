"""Budget that limits the extra load from retries."""

from __future__ import annotations

from dataclasses import dataclass

# Retries that each request adds to the budget.
RETRY_FRACTION = 0.05
RETRY_BURST = 10.0
MAX_ATTEMPTS = 3


@dataclass(slots=True)
class RetryBudget:
    """Token bucket of retries for one service, filled by its requests."""

    _tokens: float = RETRY_BURST

    def on_request(self) -> None:
        """Add the fraction of a retry that a request earns."""
        self._tokens = min(RETRY_BURST, self._tokens + RETRY_FRACTION)

    def try_spend(self) -> bool:
        """Spend one retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
