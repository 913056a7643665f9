"""A simulated fleet that shares usage caps, with faults and a model."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import heapq
import itertools
import random
from typing import Any

from gentianbank.policy.usage_caps.account import Token
from gentianbank.policy.usage_caps.exchange import Ask
from gentianbank.policy.usage_caps.exchange import Claim
from gentianbank.policy.usage_caps.exchange import FleetView
from gentianbank.policy.usage_caps.exchange import Grant
from gentianbank.policy.usage_caps.exchange import Handover
from gentianbank.policy.usage_caps.exchange import Offer
from gentianbank.policy.usage_caps.node import CapNode
from gentianbank.policy.usage_caps.node import MustAsk
from gentianbank.policy.usage_caps.owner import CapOwner
from gentianbank.policy.usage_caps.plan import Cap
from gentianbank.policy.usage_caps.plan import CapRule
from gentianbank.policy.usage_caps.tenure import Tenure

STEP_MS = 50.0
TICK_STEPS = 2
# The store is read this often, and forgets a node after its lease.
READ_MS = 400.0
LEASE_MS = 4_000.0
# A message over a link that is cut may arrive once the link is back.
LONGEST_DELAY_MS = 9_000.0
CONFIGURATION_MS = 3_000.0
MEMORY_MS = 60_000.0
WAIT_MS = 150.0
NOT_RUN_FRACTION = 0.1
RUN_CHECK_MS = 200.0
WORKSPACE = 'lab'
RULE = CapRule()


@dataclass
class Machine:
    """One VM, its clock and the process on it."""

    vm: str
    offset_ms: float
    owner: CapOwner
    node: CapNode
    incarnation: int = 1
    is_up: bool = True
    is_frozen: bool = False
    has_peers: bool = True
    has_store: bool = True
    demand_per_s: float = 0.0
    owed: float = 0.0
    cap: Cap = field(default_factory=lambda: Cap(0, 0))
    view: FleetView | None = None
    last_read_ms: float = float('-inf')
    waiting: list[tuple[float, bytes]] = field(default_factory=list)
    returns: list[tuple[float, Token]] = field(default_factory=list)

    @property
    def runs(self) -> bool:
        """Return whether the process makes progress."""
        return self.is_up and not self.is_frozen


@dataclass(frozen=True)
class CapChange:
    """A cap and the time at which every running node had it."""

    cap: Cap
    known_ms: float


class CapWorld:
    """Nodes, the store and the links between them.

    Parameters
    ----------
    is_first_start
        Whether the buckets start full.
    """

    def __init__(
        self, nodes: int, cap: Cap, *, seed: int, is_first_start: bool = False
    ) -> None:
        self.random = random.Random(seed)
        self.now_ms = 1_000_000.0
        self.leases: dict[str, float] = {}
        self.uses_ms: list[float] = []
        self.events: Counter[str] = Counter()
        self.changes = [CapChange(cap, self.now_ms)]
        self._pending_cap_ms: dict[str, float] = {}
        self._order = itertools.count()
        self._bus: list[tuple[float, int, str, str, int, Any]] = []
        self._requests = itertools.count()
        self._steps = 0
        self.machines: dict[str, Machine] = {}
        for number in range(nodes):
            vm = f'vm-{number}'
            offset_ms = self.random.uniform(-500_000, 500_000)
            self.machines[vm] = self._machine(vm, offset_ms, is_first_start)
            self.machines[vm].cap = cap
        self.started = set(self.machines)
        for vm in self.machines:
            self.leases[vm] = self.now_ms + LEASE_MS

    def advance(self, duration_ms: float) -> None:
        """Let time pass, and check the rule."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self._step()
        self.check()

    def check(self) -> None:
        """Check the rule for each window of the last seconds."""
        window_ms = RULE.window_ms
        first = bisect_left(self.uses_ms, self.now_ms - 4 * window_ms)
        for index in range(first, len(self.uses_ms)):
            begin_ms = self.uses_ms[index]
            end = bisect_left(self.uses_ms, begin_ms + window_ms)
            allowed = self._allowed(begin_ms)
            assert end - index <= allowed, (
                f'over the rule: {end - index} > {allowed:.1f}'
            )

    def kill(self, vm: str) -> None:
        """End a process at once."""
        self.events['kill'] += 1
        self.machines[vm].is_up = False

    def stop(self, vm: str) -> None:
        """End a process by its planned stop."""
        self.events['stop'] += 1
        machine = self.machines[vm]
        offers = machine.owner.leave(self._clock(machine))
        self._send_all(machine, offers)
        if machine.has_store:
            self.leases.pop(vm, None)
        # It answers claims for a moment, then exits.
        self.advance(300.0)
        machine.is_up = False

    def start(self, vm: str, *, is_first_start: bool = False) -> None:
        """Start a process again."""
        self.events['start'] += 1
        last = self.machines[vm]
        machine = self._machine(vm, last.offset_ms, is_first_start)
        machine.incarnation = last.incarnation + 1
        machine.has_peers = last.has_peers
        machine.has_store = last.has_store
        machine.cap = self.changes[-1].cap
        machine.demand_per_s = last.demand_per_s
        self.machines[vm] = machine

    def set_cap(self, cap: Cap) -> None:
        """Change the cap; nodes learn of it at different times."""
        self.events['cap'] += 1
        latest_ms = self.now_ms
        for vm in self.machines:
            delay_ms = self.random.uniform(0, CONFIGURATION_MS)
            self._pending_cap_ms[vm] = self.now_ms + delay_ms
            latest_ms = max(latest_ms, self._pending_cap_ms[vm])
        self.changes.append(CapChange(cap, latest_ms))

    def _machine(
        self, vm: str, offset_ms: float, is_first_start: bool
    ) -> Machine:
        now_ms = self.now_ms + offset_ms
        return Machine(
            vm,
            offset_ms,
            CapOwner(vm, RULE, Tenure(now_ms, is_first_start)),
            CapNode(vm, RULE, now_ms, is_first_start),
        )

    def _allowed(self, begin_ms: float) -> float:
        """Return what the rule allows in a window, without the slack."""
        caps = [self.changes[-1].cap]
        for change, after in itertools.pairwise(reversed(self.changes)):
            if begin_ms >= change.known_ms + CONFIGURATION_MS:
                break
            caps.append(after.cap)
        return max(RULE.allowed(cap) for cap in caps)

    def _clock(self, machine: Machine) -> float:
        return self.now_ms + machine.offset_ms

    def _step(self) -> None:
        self.now_ms += STEP_MS
        self._steps += 1
        for vm, due_ms in list(self._pending_cap_ms.items()):
            machine = self.machines[vm]
            if self.now_ms >= due_ms and not machine.is_frozen:
                machine.cap = self.changes[-1].cap
                del self._pending_cap_ms[vm]
        self._deliver()
        # A process that wakes may do its work in any order.
        machines = list(self.machines.values())
        self.random.shuffle(machines)
        for machine in machines:
            if machine.runs:
                self._run(machine)
        if self._steps % TICK_STEPS == 0:
            self._check_owners()

    def _check_owners(self) -> None:
        """Check that no two nodes act as owner, after each has ticked."""
        acting = [
            machine.vm
            for machine in self.machines.values()
            if machine.runs
            and machine.owner.is_active(WORKSPACE, self._clock(machine))
        ]
        assert len(acting) <= 1, f'two owners: {acting}'

    def _run(self, machine: Machine) -> None:
        self._use_store(machine)
        if machine.view is None:
            return
        if self._steps % TICK_STEPS == 0:
            self._tick(machine)
        self._return_tokens(machine)
        self._serve(machine)

    def _use_store(self, machine: Machine) -> None:
        if not machine.has_store:
            return
        if not machine.owner.is_leaving:
            self.leases[machine.vm] = self.now_ms + LEASE_MS
        if self.now_ms - machine.last_read_ms < READ_MS:
            return
        machine.last_read_ms = self.now_ms
        registered = frozenset(
            vm for vm, end_ms in self.leases.items() if self.now_ms < end_ms
        )
        machine.view = FleetView(
            registered, frozenset(self.started), self._clock(machine)
        )

    def _tick(self, machine: Machine) -> None:
        now_ms = self._clock(machine)
        assert machine.view is not None
        caps = {WORKSPACE: machine.cap}
        offers = machine.owner.update(machine.view, caps, now_ms)
        self._send_all(machine, offers)
        age_ms = now_ms - machine.view.heard_ms
        machine.node.update(
            machine.view, caps, now_ms, is_counted=age_ms < MEMORY_MS
        )
        self._ask(machine)

    def _ask(self, machine: Machine) -> None:
        now_ms = self._clock(machine)
        for owner, ask in machine.node.asks(now_ms).items():
            if owner == machine.vm:
                grant = machine.owner.on_ask(owner, ask, now_ms)
                machine.node.on_grant(owner, grant, now_ms)
            else:
                self._send(machine, owner, ask)

    def _serve(self, machine: Machine) -> None:
        now_ms = self._clock(machine)
        if WORKSPACE not in machine.node.accounts:
            return
        for waits_until_ms, request in list(machine.waiting):
            if now_ms >= waits_until_ms or machine.node.accounts[
                WORKSPACE
            ].in_hand(now_ms):
                machine.waiting.remove((waits_until_ms, request))
                machine.node.end_wait(WORKSPACE)
                self._admit(machine, request, has_waited=True)
        machine.owed += machine.demand_per_s * STEP_MS / 1_000
        while machine.owed >= 1:
            machine.owed -= 1
            request = str(next(self._requests)).encode()
            self._admit(machine, request, has_waited=False)
        self._ask(machine)

    def _admit(
        self, machine: Machine, request: bytes, *, has_waited: bool
    ) -> None:
        now_ms = self._clock(machine)
        decision = machine.node.admit(
            WORKSPACE,
            request,
            500.0,
            now_ms,
            is_connected=machine.has_peers,
            has_waited=has_waited,
        )
        match decision:
            case MustAsk():
                machine.waiting.append((now_ms + WAIT_MS, request))
            case Token():
                if self.random.random() < NOT_RUN_FRACTION:
                    due_ms = now_ms + self.random.uniform(0, RUN_CHECK_MS)
                    machine.returns.append((due_ms, decision))
                else:
                    kind = 'part' if decision.part_ms else 'token'
                    self.events[kind] += 1
                    self.uses_ms.append(self.now_ms)

    def _return_tokens(self, machine: Machine) -> None:
        now_ms = self._clock(machine)
        for due_ms, token in list(machine.returns):
            if now_ms >= due_ms:
                machine.returns.remove((due_ms, token))
                machine.node.give_back(token, now_ms)

    def _send_all(self, machine: Machine, messages: dict[str, Offer]) -> None:
        for vm, message in messages.items():
            self._send(machine, vm, message)

    def _send(self, machine: Machine, to: str, message: Any) -> None:
        delay_ms = self.random.choice((0.0, STEP_MS, STEP_MS))
        if not (machine.has_peers and self.machines[to].has_peers):
            if self.random.random() < 0.5:
                return
            delay_ms = self.random.uniform(0, LONGEST_DELAY_MS)
        heapq.heappush(
            self._bus,
            (
                self.now_ms + delay_ms,
                next(self._order),
                machine.vm,
                to,
                self.machines[to].incarnation,
                message,
            ),
        )

    def _deliver(self) -> None:
        held = []
        while self._bus and self._bus[0][0] <= self.now_ms:
            item = heapq.heappop(self._bus)
            _, _, sender, to, incarnation, message = item
            machine = self.machines[to]
            if not machine.is_up or machine.incarnation != incarnation:
                continue
            is_linked = machine.has_peers and self.machines[sender].has_peers
            if machine.is_frozen or not is_linked:
                held.append(item)
                continue
            self._receive(machine, sender, message)
        for item in held:
            heapq.heappush(self._bus, item)

    def _receive(self, machine: Machine, sender: str, message: Any) -> None:
        now_ms = self._clock(machine)
        owner = machine.owner
        match message:
            case Ask():
                self._send(
                    machine, sender, owner.on_ask(sender, message, now_ms)
                )
            case Grant():
                if message.is_leaving:
                    owner.on_leaving(sender, now_ms)
                machine.node.on_grant(sender, message, now_ms)
            case Offer():
                claim = owner.on_offer(sender, message, now_ms)
                if claim is not None:
                    self._send(machine, sender, claim)
            case Claim():
                self._send(
                    machine, sender, owner.on_claim(sender, message, now_ms)
                )
            case Handover():
                self.events['handover'] += bool(message.levels)
                owner.on_handover(sender, message, now_ms)
