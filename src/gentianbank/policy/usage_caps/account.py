"""A node's tokens of one workspace."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gentianbank.policy.usage_caps.demand import Bookings
from gentianbank.policy.usage_caps.demand import SmoothedRate

if TYPE_CHECKING:
    from gentianbank.policy.usage_caps.parts import EqualPart


@dataclass(frozen=True, slots=True)
class Token:
    """Permission to send one request to a target.

    Parameters
    ----------
    expires_ms
        Time from which it must not be used.
    part_ms
        Time at which it was taken from the equal part; ``None`` for a token
        of an owner.
    """

    workspace: str
    expires_ms: float
    part_ms: float | None = None


@dataclass(slots=True)
class Account:
    """Tokens in hand and what decides on the next ones.

    Parameters
    ----------
    promised_ms
        Time until which this node promised not to use its equal part.
    heard_ms
        Time of the last answer of an owner that acts for the workspace.
    dry_until_ms
        Time until which the owner has no token, as it said.
    asked, asked_ms
        Tokens of the last ask that was not answered, and its time.
    waiting
        Requests that wait for a token.
    refused, used_count
        Requests that were refused and admitted since the start.
    """

    part: EqualPart
    promised_ms: float = float('-inf')
    heard_ms: float = float('-inf')
    dry_until_ms: float = float('-inf')
    asked: int = 0
    asked_ms: float = float('-inf')
    waiting: int = 0
    demand: SmoothedRate = field(default_factory=SmoothedRate)
    supply: SmoothedRate = field(default_factory=SmoothedRate)
    used: SmoothedRate = field(default_factory=SmoothedRate)
    bookings: Bookings = field(default_factory=Bookings)
    refused: int = 0
    used_count: int = 0
    _tokens: deque[float] = field(default_factory=deque)

    def put(self, expires_ms: float, count: int, now_ms: float) -> None:
        """Add tokens of a grant unless they have expired."""
        if now_ms < expires_ms:
            self._tokens.extend([expires_ms] * count)

    def in_hand(self, now_ms: float) -> int:
        """Return the number of tokens that have not expired."""
        while self._tokens and self._tokens[0] <= now_ms:
            self._tokens.popleft()
        return len(self._tokens)

    def take(self, now_ms: float) -> float | None:
        """Take the token that expires first; return when it does."""
        return self._tokens.popleft() if self.in_hand(now_ms) else None

    def give_back(self, expires_ms: float, now_ms: float) -> None:
        """Take back a token that was not used, unless it has expired."""
        if now_ms < expires_ms:
            self._tokens.appendleft(expires_ms)

    def cut(self, factor: float) -> None:
        """Keep a part of the tokens, as the cap was lowered."""
        for _ in range(len(self._tokens) - int(len(self._tokens) * factor)):
            self._tokens.pop()
