"""A load on full targets, with and without a queue in front of them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import heapq
from itertools import count
import random

SLOTS = 30
WORK_MS = 150.0
OBJECTIVE_MS = 400.0
PATIENCE_MS = 2_000.0
# Requests for each slot that targets queue themselves.
TARGET_QUEUE_PER_SLOT = 0.5
RETRY_MS = (150.0, 600.0)
MAX_WAIT_FRACTION = 1 / 3
MAX_ATTEMPTS = 4
DURATION_MS = 60_000.0
# A late answer earns this part of one within the objective.
LATE_VALUE = 0.2


@dataclass(frozen=True)
class QueueBounds:
    """Bounds of a queue at the nodes.

    Parameters
    ----------
    per_slot
        Requests that may wait for each slot of the targets; 0 for no queue.
    max_ms
        Longest wait.
    loads_age_ms
        Age of the loads that nodes know. A request that is released by an
        older load may find the targets full, and is refused then.
    """

    per_slot: float = 0.0
    max_ms: float = 0.0
    loads_age_ms: float = 0.0


@dataclass(frozen=True)
class Arrivals:
    """Callers that ask for the first time.

    Parameters
    ----------
    ratio
        Their rate for each request that the targets can answer.
    burst
        Part of each second in which all of them come.
    """

    ratio: float
    burst: float = 1.0


@dataclass
class Caller:
    """A caller, and what it has got."""

    priority: int
    begin_ms: float
    attempts: int = 0
    answered_ms: float | None = None


@dataclass
class Result:
    """What callers got."""

    callers: list[Caller]
    waits: int = 0

    @property
    def value(self) -> float:
        """Return the mean earning, 1 for an answer within the objective."""
        return sum(_value(caller) for caller in self.callers) / len(
            self.callers
        )

    @property
    def in_time(self) -> float:
        """Return the fraction of answers within the objective."""
        in_time = [_value(caller) == 1.0 for caller in self.callers]
        return sum(in_time) / len(in_time)

    @property
    def answered(self) -> float:
        """Return the fraction of callers that got an answer."""
        answered = [c.answered_ms is not None for c in self.callers]
        return sum(answered) / len(answered)


def _value(caller: Caller) -> float:
    if caller.answered_ms is None:
        return 0.0
    took_ms = caller.answered_ms - caller.begin_ms
    return 1.0 if took_ms <= OBJECTIVE_MS else LATE_VALUE


@dataclass
class QueueLoad:
    """Simulates a load, event by event."""

    arrivals: Arrivals
    bounds: QueueBounds
    seed: int
    callers: list[Caller] = field(default_factory=list)
    waits: int = 0

    def run(self) -> Result:
        """Return what callers got."""
        self._random = random.Random(self.seed)
        self._order = count()
        self._events: list[tuple[float, int, str, Caller]] = []
        self._running = 0
        self._at_targets: list[Caller] = []
        self._queue: list[tuple[tuple[int, bool, bool], int, Caller]] = []
        self._waiting: set[int] = set()
        self._free_seen: list[tuple[float, int]] = []
        self._add_arrivals()
        while self._events:
            now_ms, _, kind, caller = heapq.heappop(self._events)
            if kind == 'ask':
                self._ask(caller, now_ms)
            elif kind == 'done':
                self._finish(caller, now_ms)
            elif kind == 'release':
                self._release(now_ms)
            elif id(caller) in self._waiting:
                self._waiting.discard(id(caller))
                self._refuse(caller, now_ms)
        return Result(self.callers, self.waits)

    def _add_arrivals(self) -> None:
        rate_per_ms = self.arrivals.ratio * SLOTS / WORK_MS
        now_ms = 0.0
        while now_ms < DURATION_MS:
            now_ms += self._random.expovariate(rate_per_ms)
            second_ms = now_ms // 1_000 * 1_000
            at_ms = second_ms + (now_ms - second_ms) * self.arrivals.burst
            caller = Caller(self._random.choice((0, 1, 1)), at_ms)
            self.callers.append(caller)
            self._at(at_ms, 'ask', caller)

    def _at(self, at_ms: float, kind: str, caller: Caller) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), kind, caller))

    def _ask(self, caller: Caller, now_ms: float) -> None:
        caller.attempts += 1
        if self._take(caller, now_ms):
            return
        limit = self.bounds.per_slot * SLOTS
        if len(self._waiting) >= limit:
            self._refuse(caller, now_ms)
            return
        # Only those wait that can still be answered in time.
        wait_ms = min(self.bounds.max_ms, self._longest_wait_ms(caller, now_ms))
        if wait_ms <= 0:
            self._refuse(caller, now_ms)
            return
        self.waits += 1
        self._waiting.add(id(caller))
        rank = (caller.priority, False, caller.attempts == 1)
        heapq.heappush(self._queue, (rank, next(self._order), caller))
        self._at(now_ms + wait_ms, 'leave', caller)

    def _longest_wait_ms(self, caller: Caller, now_ms: float) -> float:
        queued_ms = TARGET_QUEUE_PER_SLOT * WORK_MS
        return caller.begin_ms + OBJECTIVE_MS - WORK_MS - queued_ms - now_ms

    def _take(self, caller: Caller, now_ms: float) -> bool:
        if self._running < SLOTS:
            self._running += 1
            self._at(now_ms + self._work_ms(), 'done', caller)
            return True
        if len(self._at_targets) < SLOTS * TARGET_QUEUE_PER_SLOT:
            self._at_targets.append(caller)
            return True
        return False

    def _work_ms(self) -> float:
        return WORK_MS * self._random.choice((0.5, 0.7, 0.9, 1.9))

    def _finish(self, caller: Caller, now_ms: float) -> None:
        caller.answered_ms = now_ms
        self._running -= 1
        if self._at_targets:
            following = self._at_targets.pop(0)
            self._running += 1
            self._at(now_ms + self._work_ms(), 'done', following)
        if self._waiting:
            self._at(now_ms + self.bounds.loads_age_ms, 'release', caller)

    def _release(self, now_ms: float) -> None:
        while self._queue:
            caller = heapq.heappop(self._queue)[2]
            if id(caller) not in self._waiting:
                continue
            self._waiting.discard(id(caller))
            if not self._take(caller, now_ms):
                self._refuse(caller, now_ms)
            return

    def _refuse(self, caller: Caller, now_ms: float) -> None:
        left_ms = caller.begin_ms + PATIENCE_MS - now_ms
        if caller.attempts >= MAX_ATTEMPTS or left_ms <= WORK_MS:
            return
        wait_ms = self._random.uniform(*RETRY_MS)
        wait_ms = min(wait_ms, left_ms * MAX_WAIT_FRACTION)
        self._at(now_ms + wait_ms, 'ask', caller)
