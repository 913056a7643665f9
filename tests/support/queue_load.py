"""A load on full targets, with and without a short queue at the nodes."""

from __future__ import annotations

from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
import heapq
from itertools import count
import random

from gentianbank.policy.fair_shares.waiting_queue import longest_wait_ms
from gentianbank.policy.fair_shares.waiting_queue import Waiting
from gentianbank.policy.fair_shares.waiting_queue import WaitingQueue

NODES = 6
TARGETS = 10
SLOTS = 4
# Targets that may serve one object.
TARGETS_PER_OBJECT = 2
WORK_MS = 150.0
WORK_FACTORS = (0.5, 0.7, 0.9, 1.9)
OBJECTIVE_MS = 400.0
PATIENCE_MS = 2_000.0
# Requests for each slot, waiting ones included, that a target takes.
TARGET_LIMIT = 1.5
# The loads that a node knows of the others are as old as this.
LOADS_PERIOD_MS = 300.0
RETRY_MS = (150.0, 600.0)
MAX_WAIT_FRACTION = 1 / 3
MAX_ATTEMPTS = 4
DURATION_MS = 30_000.0
# A late answer earns this part of one within the objective.
LATE_VALUE = 0.2


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
    """A caller with one request, and what it has got."""

    node: int
    priority: int
    targets: tuple[int, ...]
    begin_ms: float
    asked_ms: float = 0.0
    attempts: int = 0
    answered_ms: float | None = None

    @property
    def value(self) -> float:
        """Return what its answer earns."""
        if self.answered_ms is None:
            return 0.0
        took_ms = self.answered_ms - self.begin_ms
        return 1.0 if took_ms <= OBJECTIVE_MS else LATE_VALUE


@dataclass
class Target:
    """A target with slots and a queue of its own."""

    running: int = 0
    queued: deque[Caller] = field(default_factory=deque)
    by_node: Counter[int] = field(default_factory=Counter)

    @property
    def is_full(self) -> bool:
        return self.running + len(self.queued) >= SLOTS * TARGET_LIMIT


class QueueLoad:
    """Simulates a load, event by event.

    Parameters
    ----------
    queues
        Whether nodes let requests wait.
    """

    def __init__(self, arrivals: Arrivals, seed: int, *, queues: bool) -> None:
        self.callers: list[Caller] = []
        self.waits = 0
        self._queues_on = queues
        self._random = random.Random(seed)
        self._order = count()
        self._events: list[tuple[float, int, str, Caller]] = []
        self._targets = [Target() for _ in range(TARGETS)]
        self._known: list[Counter[int]] = [Counter() for _ in self._targets]
        self._known_ms = float('-inf')
        self._queues = [WaitingQueue() for _ in range(NODES)]
        self._waiting: dict[int, Caller] = {}
        self._add_arrivals(arrivals)

    def run(self) -> QueueLoad:
        """Let all callers come and go."""
        while self._events:
            now_ms, _, kind, caller = heapq.heappop(self._events)
            if now_ms - self._known_ms >= LOADS_PERIOD_MS:
                self._known_ms = now_ms
                self._known = [Counter(t.by_node) for t in self._targets]
            if kind == 'ask':
                caller.attempts += 1
                caller.asked_ms = now_ms
                self._try(caller, now_ms)
            elif kind.startswith('done'):
                self._finish(caller, int(kind[4:]), now_ms)
            else:
                self._leave(caller, int(kind[5:]), now_ms)
        return self

    @property
    def value(self) -> float:
        """Return what callers earn on average."""
        return sum(c.value for c in self.callers) / len(self.callers)

    @property
    def answered(self) -> float:
        """Return the fraction of callers that got an answer."""
        answered = sum(c.answered_ms is not None for c in self.callers)
        return answered / len(self.callers)

    def _add_arrivals(self, arrivals: Arrivals) -> None:
        rate_per_ms = arrivals.ratio * TARGETS * SLOTS / WORK_MS
        now_ms = 0.0
        while now_ms < DURATION_MS:
            now_ms += self._random.expovariate(rate_per_ms)
            second_ms = now_ms // 1_000 * 1_000
            at_ms = second_ms + (now_ms - second_ms) * arrivals.burst
            caller = Caller(
                self._random.randrange(NODES),
                self._random.choice((0, 1, 1)),
                tuple(self._random.sample(range(TARGETS), TARGETS_PER_OBJECT)),
                at_ms,
            )
            self.callers.append(caller)
            self._at(at_ms, 'ask', caller)

    def _at(self, at_ms: float, kind: str, caller: Caller) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), kind, caller))

    def _occupancy(self, node: int, target: int) -> int:
        """Return the load of a target as a node knows it."""
        known = self._known[target]
        own = self._targets[target].by_node[node]
        return known.total() - known[node] + own

    def _try(self, caller: Caller, now_ms: float) -> None:
        loads = {t: self._occupancy(caller.node, t) for t in caller.targets}
        for target in sorted(loads, key=lambda t: loads[t]):
            if loads[target] >= SLOTS * TARGET_LIMIT:
                continue
            if not self._targets[target].is_full:
                self._send(caller, target, now_ms)
                return
        if not self._queues_on or not self._wait(caller, now_ms):
            self._refuse(caller, now_ms)

    def _wait(self, caller: Caller, now_ms: float) -> bool:
        queue = self._queues[caller.node]
        names = frozenset(str(target) for target in caller.targets)
        in_flight = sum(
            self._targets[target].by_node[caller.node]
            for target in caller.targets
        )
        held_ms = now_ms - caller.asked_ms
        wait_ms = longest_wait_ms(
            OBJECTIVE_MS - held_ms,
            caller.begin_ms + PATIENCE_MS - now_ms,
            WORK_MS,
        )
        if wait_ms <= held_ms or not queue.has_room(names, in_flight):
            return False
        self.waits += 1
        number = next(self._order)
        is_new = caller.attempts == 1
        queue.add(Waiting((caller.priority, 0), is_new, number, names))
        self._waiting[number] = caller
        self._at(now_ms + wait_ms - held_ms, f'leave{number}', caller)
        return True

    def _leave(self, caller: Caller, number: int, now_ms: float) -> None:
        if self._waiting.pop(number, None) is None:
            return
        queue = self._queues[caller.node]
        for entry in list(queue._entries):
            if entry.number == number:
                queue.remove(entry)
        self._refuse(caller, now_ms)

    def _send(self, caller: Caller, number: int, now_ms: float) -> None:
        target = self._targets[number]
        target.by_node[caller.node] += 1
        target.queued.append(caller)
        self._start(number, now_ms)

    def _start(self, number: int, now_ms: float) -> None:
        target = self._targets[number]
        while target.queued and target.running < SLOTS:
            caller = target.queued.popleft()
            target.running += 1
            work_ms = WORK_MS * self._random.choice(WORK_FACTORS)
            self._at(now_ms + work_ms, f'done{number}', caller)

    def _finish(self, caller: Caller, number: int, now_ms: float) -> None:
        caller.answered_ms = now_ms
        target = self._targets[number]
        target.running -= 1
        target.by_node[caller.node] -= 1
        self._start(number, now_ms)
        entry = self._queues[caller.node].release(str(number))
        if entry is not None:
            self._try(self._waiting.pop(entry.number), now_ms)

    def _refuse(self, caller: Caller, now_ms: float) -> None:
        left_ms = caller.begin_ms + PATIENCE_MS - now_ms
        if caller.attempts >= MAX_ATTEMPTS or left_ms <= WORK_MS:
            return
        wait_ms = self._random.uniform(*RETRY_MS)
        wait_ms = min(wait_ms, left_ms * MAX_WAIT_FRACTION)
        self._at(now_ms + wait_ms, 'ask', caller)
