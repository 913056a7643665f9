"""A load on several nodes that share a service's room, without a network."""

from __future__ import annotations

from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
import heapq
from itertools import count
import random

from gentianbank.policy.fair_shares.division import ClassKey
from gentianbank.policy.fair_shares.service_shares import ServiceShares
from gentianbank.policy.fair_shares.service_shares import Surroundings

STEP_MS = 20.0
WORK_MS = 200.0
# Requests that may wait at the targets, for each slot.
QUEUE_PER_SLOT = 0.5
MESSAGE_MS = 40.0
RETRY_MS = (150.0, 600.0)


@dataclass
class Callers:
    """Callers of one workspace.

    Parameters
    ----------
    domain
        Index of the only node that they use; ``None`` if they use all.
    attempts
        Times that a caller sends a request until it gives up.
    """

    name: str
    rate_per_s: float
    priority: int = 1
    domain: int | None = None
    attempts: int = 2
    due: float = 0.0

    @property
    def key(self) -> ClassKey:
        return ClassKey(self.name, self.priority, 1)


@dataclass
class Outcomes:
    """Requests by workspace, each counted once however often it was sent."""

    asked: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    by_share: Counter[str] = field(default_factory=Counter)
    no_room: Counter[str] = field(default_factory=Counter)


class Targets:
    """Slots with a short queue; a full queue refuses."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._running: list[tuple[float, int, Request]] = []
        self._waiting: deque[Request] = deque()
        self._order = count()

    @property
    def load(self) -> float:
        return (len(self._running) + len(self._waiting)) / self.slots

    def take(self, request: Request, now_ms: float) -> bool:
        """Return whether there is room, and take the request if so."""
        if self.load >= 1 + QUEUE_PER_SLOT:
            return False
        self._waiting.append(request)
        self._start(now_ms)
        return True

    def finished(self, now_ms: float) -> list[Request]:
        """Return the requests that are answered by now."""
        done = []
        while self._running and self._running[0][0] <= now_ms:
            done.append(heapq.heappop(self._running)[2])
        self._start(now_ms)
        return done

    def _start(self, now_ms: float) -> None:
        while self._waiting and len(self._running) < self.slots:
            request = self._waiting.popleft()
            entry = (now_ms + WORK_MS, next(self._order), request)
            heapq.heappush(self._running, entry)


@dataclass
class Request:
    """A request at a node."""

    callers: Callers
    node: int
    attempt: int = 1


class ShareFleet:
    """Nodes that take the requests of callers to common targets.

    Parameters
    ----------
    peers
        Number of the others that each node is connected to.
    """

    def __init__(
        self, nodes: int, slots: int, seed: int = 0, peers: int | None = None
    ) -> None:
        self.now_ms = 0.0
        self.targets = Targets(slots)
        self.nodes = [ServiceShares(f'vm-{n}', 0.0) for n in range(nodes)]
        self.callers: list[Callers] = []
        self.outcomes = Outcomes()
        self.cut: set[int] = set()
        self._peers = min(nodes - 1, nodes if peers is None else peers)
        self._random = random.Random(seed)
        self._loads: deque[float] = deque(maxlen=round(1_000 / STEP_MS))
        self._order = count()
        self._later: list[tuple[float, int, Request]] = []
        self._due_ms = [self._random.uniform(0, 1_000.0) for _ in range(nodes)]
        self._mail: deque[tuple[float, int, int, object]] = deque()

    @property
    def capacity_per_s(self) -> float:
        return self.targets.slots / WORK_MS * 1_000

    def run_s(self, duration_s: float) -> Outcomes:
        """Let time pass; return what happened meanwhile."""
        self.outcomes = Outcomes()
        for _ in range(round(duration_s * 1_000 / STEP_MS)):
            self.now_ms += STEP_MS
            self._step()
        return self.outcomes

    def _step(self) -> None:
        self._loads.append(self.targets.load)
        for request in self.targets.finished(self.now_ms):
            self.nodes[request.node].on_answered()
            self.outcomes.served[request.callers.name] += 1
        for number in range(len(self.nodes)):
            if self.now_ms >= self._due_ms[number]:
                self._due_ms[number] = self.now_ms + 1_000.0
                self._step_node(number)
        self._deliver()
        arrivals = self._arrivals()
        self._random.shuffle(arrivals)
        for request in arrivals:
            self._ask(request)

    def _step_node(self, number: int) -> None:
        peers = self._peers_of(number)
        load = sum(self._loads) / len(self._loads)
        seen = Surroundings(len(self.nodes) - 1, len(peers), load)
        self.nodes[number].step(self.now_ms, seen)
        report = self.nodes[number].report(self.now_ms)
        if report is not None:
            for peer in peers:
                at_ms = self.now_ms + MESSAGE_MS
                self._mail.append((at_ms, number, peer, report))

    def _peers_of(self, number: int) -> list[int]:
        if number in self.cut:
            return []
        total = len(self.nodes)
        half = self._peers // 2
        near = range(number - half, number - half + self._peers + 1)
        ring = {other % total for other in near} - {number}
        return sorted(ring - self.cut)

    def _deliver(self) -> None:
        while self._mail and self._mail[0][0] <= self.now_ms:
            _, sender, receiver, report = self._mail.popleft()
            self.nodes[receiver].on_report(
                f'vm-{sender}',
                report,  # type: ignore[arg-type]
                self.now_ms,
            )

    def _arrivals(self) -> list[Request]:
        arrivals = []
        while self._later and self._later[0][0] <= self.now_ms:
            arrivals.append(heapq.heappop(self._later)[2])
        for callers in self.callers:
            part = callers.rate_per_s * STEP_MS / 1_000
            callers.due += part * self._random.uniform(0.5, 1.5)
            while callers.due >= 1:
                callers.due -= 1
                node = callers.domain
                if node is None:
                    node = self._random.randrange(len(self.nodes))
                arrivals.append(Request(callers, node))
                self.outcomes.asked[callers.name] += 1
        return arrivals

    def _ask(self, request: Request) -> None:
        callers = request.callers
        node = self.nodes[request.node]
        if not node.admits(callers.key, returning=request.attempt > 1):
            self.outcomes.by_share[callers.name] += 1
        elif self.targets.take(request, self.now_ms):
            return
        else:
            node.on_no_room()
            self.outcomes.no_room[callers.name] += 1
        if request.attempt < callers.attempts:
            again = Request(callers, request.node, request.attempt + 1)
            at_ms = self.now_ms + self._random.uniform(*RETRY_MS)
            heapq.heappush(self._later, (at_ms, next(self._order), again))
