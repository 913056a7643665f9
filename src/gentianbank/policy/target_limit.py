"""The limit that a target names on the requests of all nodes together."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gentianbank.domain.request_limit import NamedLimit
from gentianbank.domain.request_limit import UnreadableLimit
from gentianbank.policy.fleet_limits import LIMIT_WINDOW_MS
from gentianbank.policy.windows import SlidingCount

if TYPE_CHECKING:
    from gentianbank.domain.request_limit import LimitStatement


@dataclass(slots=True)
class TargetLimit:
    """Limit of one target, as this node knows it.

    Parameters
    ----------
    requests_per_s
        Limit that is in force; ``None`` without one.
    named_since_ms
        Time since which a limit has been in force without a break.
    heard_ms
        Time of the newest answer that told of the limit or of its end.
    """

    requests_per_s: float | None = None
    named_since_ms: float = float('-inf')
    heard_ms: float = float('-inf')
    _sent: SlidingCount = field(
        default_factory=lambda: SlidingCount(LIMIT_WINDOW_MS)
    )

    @property
    def is_named(self) -> bool:
        """Return whether a limit is in force."""
        return self.requests_per_s is not None

    def on_send(self, now_ms: float) -> None:
        """Count a request that is sent while a limit is in force."""
        if self.is_named:
            self._sent.add(now_ms)

    def may_send(self, now_ms: float, quota: int) -> bool:
        """Return whether another request fits into this node's quota."""
        return self._sent.count(now_ms) < quota

    def on_answer(
        self, statement: LimitStatement, sent_ms: float, now_ms: float
    ) -> bool:
        """Record what an answer of the target says.

        An answer without a limit ends it only if its request was sent after
        the limit became known. The target may have given an earlier one
        before it named the limit.

        Parameters
        ----------
        sent_ms
            Time when the request was sent.

        Returns
        -------
        bool
            Whether the limit changed.
        """
        if isinstance(statement, UnreadableLimit):
            return False
        if isinstance(statement, NamedLimit):
            return self._set(statement.requests_per_s, now_ms)
        if self.requests_per_s is None or sent_ms <= self.named_since_ms:
            return False
        return self._set(None, now_ms)

    def _set(self, requests_per_s: float | None, heard_ms: float) -> bool:
        before = self.requests_per_s
        self.heard_ms = heard_ms
        self.requests_per_s = requests_per_s
        if before is None and requests_per_s is not None:
            self.named_since_ms = heard_ms
        return before != requests_per_s
