"""Pace of a target that has just started or recovered."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
import math

from gentianbank.policy.gossip_schedule import GossipSchedule

# The allowance starts at this part of the slots. With a quarter, callers of
# targets that were fast at once got 1 % fewer answers in time.
START_SLOT_FRACTION = 2 / 3
MIN_ALLOWANCE = 1.0
GROWTH_PER_ANSWER = 1.0
# Answers within this multiple of the expected time let the allowance grow.
ON_TIME_RATIO = 1.5
# Answers beyond this multiple of the expected time let it shrink.
LATE_RATIO = 3.0
FAILURE_SHRINK = 0.5
LATE_SHRINK = 0.75
# Requests of one moment fail together, and are one sign of overload.
SHRINK_PERIOD_MS = 300.0
# A target that has not recovered until then starts a new pace by its errors.
MAX_PACE_MS = 10_000.0
# Errors that start a pace.
MIN_ERRORS = 2
MIN_FAILURE_RATE = 0.3
# Nodes take turns, each at least this long.
TURN_MS = 300.0
# Nodes that have their turn at a time, as a multiple of the allowance.
NODES_PER_ALLOWANCE = 4
# Nodes hear of the same start with delays that differ by less.
START_TOLERANCE_MS = 1_000.0


class PaceCause(Enum):
    """Why a pace starts or ends."""

    COLD = 'the target is cold'
    RESTART = 'the target has started again'
    ERRORS = 'the target fails'
    OVERDUE = 'the target does not answer'
    PEER = 'told by a peer'
    RECOVERED = 'the target answers in time'
    EXPIRED = 'the longest time is over'


@dataclass(frozen=True, slots=True)
class PaceNews:
    """What one node tells others of a target's pace.

    Parameters
    ----------
    allowance
        Requests that the target may have; ``None`` if the pace has ended.
    started_ms
        Time when the pace started.
    """

    allowance: float | None
    started_ms: float


@dataclass(slots=True)
class TargetPace:
    """Requests that the fleet may have at a target after its start.

    Parameters
    ----------
    slots
        Requests that the target runs at a time.
    allowance
        Requests at the target, of all nodes; ``None`` without a pace.
    started_ms
        Time when the newest pace started.
    has_news
        Whether other nodes are to be told of a change.
    unlogged
        Cause of a start or an end that has not been logged.
    """

    slots: int
    allowance: float | None = None
    started_ms: float = float('-inf')
    has_news: bool = False
    unlogged: PaceCause | None = None
    _due_ms: dict[int, float] = field(default_factory=dict)
    _shrunk_ms: float = float('-inf')
    _errors: int = 0

    @property
    def is_active(self) -> bool:
        """Return whether the target is under pace."""
        return self.allowance is not None

    def start(self, now_ms: float, cause: PaceCause) -> None:
        """Start a pace, or begin again with a low allowance."""
        self.allowance = max(MIN_ALLOWANCE, self.slots * START_SLOT_FRACTION)
        self.started_ms = now_ms
        self._errors = 0
        self.unlogged = cause
        self.has_news = cause in (PaceCause.ERRORS, PaceCause.OVERDUE)

    def has_expired(self, now_ms: float) -> bool:
        """Return whether the pace has lasted as long as it may."""
        return self.is_active and now_ms - self.started_ms >= MAX_PACE_MS

    def end(self, now_ms: float, cause: PaceCause) -> None:
        """End the pace."""
        self.allowance = None
        self._errors = 0
        self.unlogged = cause
        self.has_news = True

    def on_send(self, request: int, due_ms: float) -> None:
        """Record that a request is sent.

        Parameters
        ----------
        request
            Number of the request.
        due_ms
            Time after which it counts as a failure if it is not answered.
        """
        self._due_ms[request] = due_ms

    def on_end(self, request: int) -> None:
        """Record the end of a request, whatever its outcome."""
        self._due_ms.pop(request, None)

    def is_overdue(self, now_ms: float) -> bool:
        """Return whether the oldest request in flight is overdue."""
        due_ms = next(iter(self._due_ms.values()), float('inf'))
        return now_ms > due_ms

    def on_overdue(self, now_ms: float) -> None:
        """Start a pace, or shrink the allowance, for an overdue request."""
        if self.is_active:
            self._shrink(FAILURE_SHRINK, now_ms)
        else:
            self.start(now_ms, PaceCause.OVERDUE)

    def may_send(
        self, occupancy: float, own: int, rank: int, nodes: int, now_ms: float
    ) -> bool:
        """Return whether this node may send another request.

        Load messages arrive late, so only some nodes have their turn at a
        time: if all saw a free target, each would send it a request. A turn
        lasts about as long as a message takes to be sent, and each node has
        no more than its part of the allowance.

        Parameters
        ----------
        occupancy
            Estimated requests of all nodes at the target.
        own
            Requests of this node at the target.
        rank
            Position of this node in the order of the target, from 0.
        nodes
            Number of nodes that take turns.
        """
        if self.allowance is None:
            return True
        if occupancy + 1 > self.allowance:
            return False
        at_once = math.ceil(self.allowance * NODES_PER_ALLOWANCE)
        if own >= math.ceil(self.allowance / max(1, min(nodes, at_once))):
            return False
        turn_ms = max(TURN_MS, GossipSchedule(nodes - 1, 0).tick_ms)
        turn = int((now_ms - self.started_ms) // turn_ms)
        return (rank - turn * at_once) % max(1, nodes) < at_once

    def on_answer(self, time_ratio: float, now_ms: float) -> bool:
        """Record a success; return whether the target has recovered.

        Parameters
        ----------
        time_ratio
            Time of the answer relative to the expected one.
        """
        self._errors = 0
        if self.allowance is None:
            return False
        if time_ratio > LATE_RATIO:
            self._shrink(LATE_SHRINK, now_ms)
        elif time_ratio <= ON_TIME_RATIO:
            self.allowance += GROWTH_PER_ANSWER
            self.has_news = True
        return self.allowance > self.slots

    def on_rejected(self, now_ms: float) -> None:
        """Record that the target rejected a request."""
        self._shrink(FAILURE_SHRINK, now_ms)

    def on_failed(self, failure_rate: float, now_ms: float) -> bool:
        """Record a failure; return whether it calls for a pace.

        Parameters
        ----------
        failure_rate
            Smoothed part of this node's requests that failed.
        """
        if self.is_active:
            self._shrink(FAILURE_SHRINK, now_ms)
            return False
        self._errors += 1
        return self._errors >= MIN_ERRORS or failure_rate >= MIN_FAILURE_RATE

    def on_peer_news(self, news: PaceNews, now_ms: float) -> None:
        """Apply what a peer tells.

        The newest word counts. Word of a pace that started before the one
        in force is ignored. Word alone starts no pace: one node's errors
        may come from its own network, and with many nodes there is always
        one that sees some.
        """
        if not self.is_active:
            return
        if now_ms - news.started_ms >= MAX_PACE_MS:
            return
        if news.started_ms < self.started_ms - START_TOLERANCE_MS:
            return
        if news.allowance is None:
            self.end(now_ms, PaceCause.PEER)
            self.has_news = False
            return
        if news.started_ms > self.started_ms + START_TOLERANCE_MS:
            self.started_ms = news.started_ms
        self.allowance = max(MIN_ALLOWANCE, min(news.allowance, self.slots))

    def pop_news(self) -> PaceNews | None:
        """Return what other nodes are to be told now, if anything."""
        if not self.has_news:
            return None
        self.has_news = False
        return PaceNews(self.allowance, self.started_ms)

    def _shrink(self, factor: float, now_ms: float) -> None:
        if self.allowance is None:
            return
        if now_ms - self._shrunk_ms < SHRINK_PERIOD_MS:
            return
        self._shrunk_ms = now_ms
        self.allowance = max(MIN_ALLOWANCE, self.allowance * factor)
        self.has_news = True
