"""How much extra work retries may make."""

from __future__ import annotations

from dataclasses import dataclass

RETRY_FRACTION = 0.05
RETRY_BURST = 10.0
MAX_ATTEMPTS = 3


@dataclass(slots=True)
class RetryBudget:
    """Retries that the requests of a service have earned."""

    _tokens: float = RETRY_BURST

    def on_request(self) -> None:
        """Earn a part of a retry."""
        self._tokens = min(RETRY_BURST, self._tokens + RETRY_FRACTION)

    def try_spend(self) -> bool:
        """Spend one retry if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
