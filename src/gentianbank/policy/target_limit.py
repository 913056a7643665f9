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

# A limit that stays the same is told on again after this time.
REPEAT_MS = 1_000.0
# After this time without an answer that tells of the limit, a node without a
# quota asks the target itself, so that a limit that has ended is forgotten.
SILENCE_MS = 6_000.0
# Nodes without a quota ask one after the other, this far apart, also when
# they do not hear each other.
PROBE_STEP_MS = 2_000.0


@dataclass(frozen=True, slots=True)
class LimitNews:
    """What one node tells others of a target's limit.

    Parameters
    ----------
    requests_per_s
        The limit; ``None`` if it has ended.
    heard_ms
        Time of the answer that told of it.
    """

    requests_per_s: float | None
    heard_ms: float


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
    has_news
        Whether other nodes are to be told what this node knows.
    """

    requests_per_s: float | None = None
    named_since_ms: float = float('-inf')
    heard_ms: float = float('-inf')
    has_news: bool = False
    _unreadable_text: str = ''
    _told_heard_ms: float = float('-inf')
    _last_sent_ms: float = float('-inf')
    _ended_ms: float = float('-inf')
    _sent: SlidingCount = field(
        default_factory=lambda: SlidingCount(LIMIT_WINDOW_MS)
    )

    @property
    def is_named(self) -> bool:
        """Return whether a limit is in force."""
        return self.requests_per_s is not None

    def on_send(self, now_ms: float) -> None:
        """Count a request that is sent under a limit or soon after one.

        Should the target name a limit again, those in between count as well.
        """
        if self.is_named or now_ms < self._ended_ms + LIMIT_WINDOW_MS:
            self._sent.add(now_ms)
            self._last_sent_ms = now_ms

    def may_send(self, now_ms: float, quota: int) -> bool:
        """Return whether another request fits into this node's quota."""
        return self._sent.count(now_ms) < quota

    def may_probe(self, now_ms: float, rank: int, nodes: int) -> bool:
        """Return whether a node without a quota may ask the target.

        Parameters
        ----------
        rank
            Position of the node among all nodes.
        nodes
            Number of all nodes.
        """
        if now_ms - self._last_sent_ms < nodes * PROBE_STEP_MS:
            return False
        return now_ms - self.heard_ms > SILENCE_MS + rank * PROBE_STEP_MS

    def on_peer_news(self, news: LimitNews) -> bool:
        """Record what another node tells; return whether the limit changed.

        Older news than what this node knows is ignored. Other news is told
        on, since not every node is connected to every other.
        """
        if news.heard_ms <= self.heard_ms:
            return False
        return self._set(news.requests_per_s, news.heard_ms)

    def pop_news(self) -> LimitNews | None:
        """Return what other nodes are to be told now, if anything."""
        if not self.has_news:
            return None
        self.has_news = False
        self._told_heard_ms = self.heard_ms
        return self.news

    @property
    def news(self) -> LimitNews:
        """Return what this node knows of the limit."""
        return LimitNews(self.requests_per_s, self.heard_ms)

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

    def is_new_text(self, statement: UnreadableLimit) -> bool:
        """Record a limit that cannot be read; return whether it is new."""
        is_new = statement.text != self._unreadable_text
        self._unreadable_text = statement.text
        return is_new

    def _set(self, requests_per_s: float | None, heard_ms: float) -> bool:
        """Record a limit or its end; return whether that is a change."""
        before = self.requests_per_s
        self.heard_ms = heard_ms
        self.requests_per_s = requests_per_s
        if before is None and requests_per_s is not None:
            self.named_since_ms = heard_ms
        if before is not None and requests_per_s is None:
            self._ended_ms = heard_ms
        changed = before != requests_per_s
        if changed or heard_ms - self._told_heard_ms >= REPEAT_MS:
            self.has_news = True
        return changed
