"""State machine: the rule of a cap holds whatever fails."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from gentianbank.policy.usage_caps.account import Account
from gentianbank.policy.usage_caps.owner import CapOwner
from gentianbank.policy.usage_caps.parts import EqualPart
from gentianbank.policy.usage_caps.plan import Cap
from gentianbank.policy.usage_caps.tenure import Tenure
from tests.support.cap_machine import CapWorld
from tests.support.machines import check_machine
from tests.support.machines import check_mutant

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.policy.usage_caps.exchange import FleetView
    from gentianbank.policy.usage_caps.exchange import Offer

NODES = 4
CAPS = (Cap(20, 10), Cap(20, 0), Cap(10, 60), Cap(40, 5), Cap(4, 30))
HIGHEST_CAP = Cap(80, 20)
DEMANDS_PER_S = (0.0, 2.0, 30.0, 100.0)
NODE = st.integers(0, NODES - 1).map('vm-{}'.format)
EXAMPLES = 30
MUTANT_EXAMPLES = 400
MUTANT_STEPS = 8
STEPS = 30
# Shorter than the wait of an owner, longer than that on a first start.
CRASH_PERIOD_MS = 2_000.0
# Longer than the wait of an owner.
SETTLE_MS = 8_000.0
ISOLATION_MS = 12_000.0
FAULTS = (
    'token',
    'part',
    'handover',
    'kill',
    'stop',
    'start',
    'freeze',
    'cut peers',
    'cut store',
    'cap',
)
COUNTS: Counter[str] = Counter()


class CapMachine(RuleBasedStateMachine):
    """Faults at a few nodes, with the rule as the model."""

    world: CapWorld

    @initialize(
        cap=st.sampled_from(CAPS),
        number=st.integers(0, 1_000),
        first=st.booleans(),
    )
    def begin(self, cap: Cap, number: int, first: bool) -> None:
        self.world = CapWorld(NODES, cap, seed=number, is_first_start=first)
        for machine in self.world.machines.values():
            machine.demand_per_s = 30.0
        self.world.advance(8_000.0)

    @rule(duration_ms=st.sampled_from((200.0, 1_000.0, 3_000.0, 8_000.0)))
    def advance(self, duration_ms: float) -> None:
        self.world.advance(duration_ms)

    @rule(vm=NODE, per_s=st.sampled_from(DEMANDS_PER_S))
    def set_demand(self, vm: str, per_s: float) -> None:
        self.world.machines[vm].demand_per_s = per_s

    @rule(per_s=st.sampled_from(DEMANDS_PER_S))
    def set_all_demand(self, per_s: float) -> None:
        for machine in self.world.machines.values():
            machine.demand_per_s = per_s

    @rule(vm=NODE)
    def kill(self, vm: str) -> None:
        if self.world.machines[vm].is_up:
            self.world.kill(vm)

    @rule()
    def kill_all(self) -> None:
        for vm in self.world.machines:
            self.kill(vm)

    @rule()
    def start_all(self) -> None:
        for vm in self.world.machines:
            self.start(vm)

    @rule(vm=NODE)
    def start(self, vm: str) -> None:
        if not self.world.machines[vm].is_up:
            self.world.start(vm)

    @rule(vm=NODE)
    def restart(self, vm: str) -> None:
        self.kill(vm)
        self.start(vm)

    @rule(crashes=st.integers(1, 4))
    def crash_all(self, crashes: int) -> None:
        for _ in range(crashes):
            self.kill_all()
            self.start_all()
            self.world.advance(CRASH_PERIOD_MS)

    @rule(vm=NODE)
    def stop(self, vm: str) -> None:
        if self.world.machines[vm].runs:
            self.world.stop(vm)

    @rule(vm=NODE, frozen=st.booleans())
    def freeze(self, vm: str, frozen: bool) -> None:
        self.world.events['freeze'] += frozen
        self.world.machines[vm].is_frozen = frozen

    @rule(vm=NODE, linked=st.booleans())
    def cut_peers(self, vm: str, linked: bool) -> None:
        self.world.events['cut peers'] += not linked
        self.world.machines[vm].has_peers = linked

    @rule(vm=NODE, linked=st.booleans())
    def cut_store(self, vm: str, linked: bool) -> None:
        self.world.events['cut store'] += not linked
        self.world.machines[vm].has_store = linked

    @rule(linked=st.booleans())
    def cut_store_for_all(self, linked: bool) -> None:
        for vm in self.world.machines:
            self.cut_store(vm, linked)

    @rule(cap=st.sampled_from(CAPS))
    def set_cap(self, cap: Cap) -> None:
        self.world.set_cap(cap)

    @rule(vm=NODE, cut=st.sampled_from(('peers', 'store', 'both')))
    def isolate_one(self, vm: str, cut: str) -> None:
        """Cut one node off for long, with more demand than the cap."""
        self._heal()
        self.set_all_demand(DEMANDS_PER_S[-1])
        self.world.advance(SETTLE_MS)
        if cut != 'store':
            self.cut_peers(vm, linked=False)
        if cut != 'peers':
            self.cut_store(vm, linked=False)
        self.world.advance(ISOLATION_MS)
        self._heal()

    @rule()
    def move_demand(self) -> None:
        """Let one node after the other have the demand, and then all."""
        self._heal()
        self.world.advance(SETTLE_MS)
        for machine in self.world.machines.values():
            self.set_all_demand(0.0)
            machine.demand_per_s = DEMANDS_PER_S[-1]
            self.world.advance(CRASH_PERIOD_MS)
        self.set_all_demand(DEMANDS_PER_S[-1])
        self.world.advance(SETTLE_MS)

    @rule()
    def lower_cap(self) -> None:
        """Lower the cap while all nodes have more demand than that."""
        self._heal()
        self.world.set_cap(HIGHEST_CAP)
        self.set_all_demand(DEMANDS_PER_S[-1])
        self.world.advance(SETTLE_MS)
        self.world.set_cap(CAPS[0])
        self.world.advance(2 * SETTLE_MS)

    def _heal(self) -> None:
        self.start_all()
        for machine in self.world.machines.values():
            machine.is_frozen = False
            machine.has_peers = machine.has_store = True

    def teardown(self) -> None:
        COUNTS.update(self.world.events)


def test_use_stays_within_the_rule_whatever_fails() -> None:
    """Guards against use over the cap during and after any fault."""
    check_machine(CapMachine, COUNTS, FAULTS, EXAMPLES, STEPS)


def _grant_burst_again(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Tenure, 'starts_full', lambda self, now_ms: True)


def _use_expired_tokens(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Account, 'in_hand', lambda self, now_ms: len(self._tokens))


def _act_without_tenure(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Tenure, 'is_recent', lambda self, heard_ms, now_ms: True)
    patch.setattr(Tenure, 'wait_ms', lambda self, grant_ms, now_ms: 0.0)


def _apply_lowered_cap_late(patch: pytest.MonkeyPatch) -> None:
    update = CapOwner.update
    # Holds the owners, so that no id is used again.
    last: dict[int, tuple[float, Cap, CapOwner]] = {}

    def late(
        self: CapOwner, view: FleetView, caps: dict[str, Cap], now_ms: float
    ) -> dict[str, Offer]:
        (name, cap), *_ = caps.items()
        since_ms, held, _ = last.get(id(self), (now_ms, cap, self))
        if cap.rate_per_s >= held.rate_per_s or now_ms - since_ms > 15_000:
            since_ms, held = now_ms, cap
        last[id(self)] = (since_ms if held != cap else now_ms, held, self)
        return update(self, view, {name: held}, now_ms)

    patch.setattr(CapOwner, 'update', late)


def _hold_back_nothing(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(CapOwner, '_held_per_s', lambda *_: 0.0)


def _use_whole_part_at_once(patch: pytest.MonkeyPatch) -> None:
    def is_free(
        self: EqualPart, quota: int, now_ms: float, phase: float = 0.0
    ) -> bool:
        return self.used(now_ms) < quota

    patch.setattr(EqualPart, 'is_free', is_free)


@pytest.mark.parametrize(
    'mutate',
    [
        _grant_burst_again,
        _use_expired_tokens,
        _act_without_tenure,
        _apply_lowered_cap_late,
        _hold_back_nothing,
        _use_whole_part_at_once,
    ],
)
def test_rule_catches_mutant(
    mutate: Callable[[pytest.MonkeyPatch], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a state machine that no longer sees a broken rule."""
    mutate(monkeypatch)
    check_mutant(
        CapMachine, 'over the rule|two owners', MUTANT_EXAMPLES, MUTANT_STEPS
    )
