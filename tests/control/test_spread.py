"""Model tests: accepted configuration reaches every node and stays.

No node goes back to an earlier revision, and every accepted change is in the
audit trail once. The tests named ``test_proof_catches_...`` break a mechanism
and check that the state machine then fails.
"""

from __future__ import annotations

from collections import Counter
from typing import Any
from typing import TYPE_CHECKING

from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from gentianbank.control import assembly
from gentianbank.control import state as state_module
from gentianbank.control.peers import Received
from gentianbank.control.state import ControlState
from tests.support.control_world import build_fleet_configuration
from tests.support.control_world import change_cache
from tests.support.control_world import ControlWorld
from tests.support.machines import check_machine
from tests.support.machines import check_mutant

if TYPE_CHECKING:
    import asyncio

# Time within which a change must be in force on every node.
IN_FORCE_S = 6.0
SIZES = {'kingston': 3, 'mandeville': 2, 'montego-bay': 2}
# How often each fault has occurred; each of ``FAULTS`` must occur.
OCCURRED_FAULTS: Counter[str] = Counter()
REQUIRED_FAULTS = (
    'kill',
    'freeze',
    'cut link',
    'region cut',
    'region lost',
    'store outage',
    'slow store',
    'answer lost',
    'late write',
    'racing operators',
    'VM list lags',
    'start in an outage',
    'old revision offered',
)
# Played at the start of some examples. Within a run of free rules they would
# be left to chance.
FIRST_FAULTS = ('', 'slow store', 'old revision offered')


class Spread(RuleBasedStateMachine):
    """Operators change the configuration while faults occur.

    Nodes, regions, links, the store and the VM list fail.
    """

    @initialize(first_fault=st.sampled_from(FIRST_FAULTS))
    def start(self, first_fault: str) -> None:
        self.world = ControlWorld(SIZES)
        self.configuration = build_fleet_configuration(SIZES)
        self.highest: dict[str, int] = {}
        self.changes: list[asyncio.Task[Any]] = []
        self.world.start_all()
        self.world.accept(self.configuration)
        self.world.advance(3)
        snapshot = next(iter(self.world.nodes.values())).state.snapshot
        assert snapshot is not None
        self.first_revision = assembly.full_change_set(snapshot)
        self._play(first_fault)

    def _play(self, fault: str) -> None:
        if fault == 'slow store':
            self.disturb_platform(set(), False, 0.3, 0.0)
            self.world.advance(3)
        elif fault == 'old revision offered':
            self.change(2_000, False, '', 2.0)
            self.offer_old_revision(0, 1)

    @rule(
        cache_ms=st.integers(1000, 9000),
        racing=st.booleans(),
        fault=st.sampled_from(('', '', 'lose', 'late')),
        then_s=st.sampled_from((0.0, 0.3, 2.0)),
    )
    def change(
        self, cache_ms: int, racing: bool, fault: str, then_s: float
    ) -> None:
        self.world.store.lose_answers = int(fault == 'lose')
        self.world.store.late_writes = int(fault == 'late')
        for number in range(1 + racing):
            changed = change_cache(self.configuration, cache_ms + number)
            self.changes.append(self.world.accept(changed))
        self.world.fired['racing operators'] += racing
        self.world.advance(then_s)

    @rule(seconds=st.sampled_from((0.2, 1.0, 5.0)))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(number=st.integers(0, 6), fault=st.sampled_from(('kill', 'freeze')))
    def disturb_node(self, number: int, fault: str) -> None:
        vm = list(self.world.nodes)[number]
        node = self.world.nodes[vm]
        if fault == 'freeze' and not node.dead:
            self.world.freeze(vm, 5.0)
        elif node.dead:
            self.highest.pop(vm, None)
            self.world.restart(vm)
        else:
            self.world.kill(vm)

    @rule(number=st.integers(0, 6))
    def restart_in_an_outage(self, number: int) -> None:
        vm = list(self.world.nodes)[number]
        node = self.world.nodes[vm]
        self.world.set_store({node.state.me.region}, 0.0)
        if not node.dead:
            self.world.kill(vm)
        self.highest.pop(vm, None)
        self.world.restart(vm)
        self.world.fired['start in an outage'] += 1

    @rule(region=st.sampled_from(list(SIZES)))
    def lose_region(self, region: str) -> None:
        for vm, node in self.world.nodes.items():
            if node.state.me.region == region and not node.dead:
                self.world.kill(vm)
        self.world.fired['region lost'] += 1

    @rule(region=st.sampled_from([*SIZES, '']))
    def cut_region(self, region: str) -> None:
        self.world.cut_region(region)

    @rule(
        regions=st.sets(st.sampled_from(list(SIZES))),
        outage=st.booleans(),
        slow_s=st.sampled_from((0.0, 0.0, 0.3)),
        lag_s=st.sampled_from((0.0, 30.0)),
    )
    def disturb_platform(
        self, regions: set[str], outage: bool, slow_s: float, lag_s: float
    ) -> None:
        self.world.set_store(regions if outage else set(), slow_s)
        self.world.vm_list.lag_s = lag_s
        self.world.fired['VM list lags'] += lag_s > 0

    @rule(number=st.integers(0, 6), sender=st.integers(0, 6))
    def offer_old_revision(self, number: int, sender: int) -> None:
        names = list(self.world.nodes)
        node = self.world.nodes[names[number]]
        if node.dead or node.state.revision < 2 or number == sender:
            return
        node.agent.on_peer_event(Received(names[sender], self.first_revision))
        self.world.advance(0.01)
        self.world.fired['old revision offered'] += 1

    @invariant()
    def no_node_goes_back(self) -> None:
        if not hasattr(self, 'world'):
            return
        for vm, revision in self.world.revisions_in_force().items():
            highest = self.highest.get(vm, 0)
            assert revision >= highest, f'{vm} went back from {highest}'
            self.highest[vm] = revision

    def teardown(self) -> None:
        if not hasattr(self, 'world'):
            return
        try:
            self.no_node_goes_back()
            self._check_in_force()
            self._check_changes()
        finally:
            self._close()

    def _close(self) -> None:
        OCCURRED_FAULTS.update(self.world.all_fired())
        self.world.close()

    def _check_changes(self) -> None:
        """Check that each accepted change has its own revision for good.

        The audit trail names every accepted revision and has no gaps.
        """
        results = [task.result() for task in self.changes if task.done()]
        accepted = [result.ok for result in results if result.is_ok()]
        assert len(accepted) == len(set(accepted)), 'accepted twice'
        history = self.world.loop.run_until_complete(
            self.world.revisions.read_history(1000)
        ).ok
        trail = [entry.revision for entry in history]
        assert set(accepted) <= set(trail), 'missing in the audit trail'
        assert trail == list(range(len(trail), 0, -1)), 'gaps in the trail'

    def _check_in_force(self) -> None:
        """Check that a change is in force in time once the faults ended."""
        self.world.set_store(set(), 0.0)
        self.world.store.lose_answers = self.world.store.late_writes = 0
        self.world.cut_region('')
        for vm, node in list(self.world.nodes.items()):
            if node.dead:
                self.highest.pop(vm, None)
                self.world.restart(vm)
        self.world.advance(20)
        changed = change_cache(self.configuration, 9999)
        task = self.world.accept(changed)
        self.world.advance(0.1)
        accepted = task.result()
        assert accepted.is_ok(), accepted
        self.world.advance(IN_FORCE_S)
        for vm, revision in self.world.revisions_in_force().items():
            assert revision >= accepted.ok, (
                f'{vm} has {revision}, not {accepted.ok}, in force'
            )
        self.no_node_goes_back()


def test_configuration_is_in_force_and_never_reverts() -> None:
    check_machine(
        Spread, OCCURRED_FAULTS, REQUIRED_FAULTS, examples=60, steps=25
    )


def test_proof_catches_revisions_installed_in_any_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def needs_revision(self: ControlState, revision: int) -> bool:
        return revision != self.revision

    def install(self: ControlState, snapshot: object) -> list[object]:
        self.snapshot = snapshot  # type: ignore[assignment]
        return []

    monkeypatch.setattr(ControlState, '_needs_revision', needs_revision)
    monkeypatch.setattr(ControlState, 'on_snapshot_installed', install)
    check_mutant(Spread, 'went back|in force', steps=25)


def test_proof_catches_nodes_that_do_not_request_revisions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        state_module, 'REVISION_REQUEST_INTERVAL_MS', float('inf')
    )
    monkeypatch.setattr(ControlState, '_on_revision_request', lambda *_: [])
    check_mutant(Spread, 'in force', steps=25)


def test_change_reaches_region_without_store() -> None:
    world = ControlWorld(SIZES)
    world.start_all()
    configuration = build_fleet_configuration(SIZES)
    world.accept(configuration)
    world.advance(3)
    world.set_store({'montego-bay'}, 0.0)
    world.advance(1)
    world.accept(change_cache(configuration, 5000))
    world.advance(IN_FORCE_S)
    assert set(world.revisions_in_force().values()) == {2}
    world.close()


def test_node_started_in_store_outage_gets_latest_revision_from_peers() -> (
    None
):
    world = ControlWorld(SIZES)
    world.start_all()
    configuration = build_fleet_configuration(SIZES)
    world.accept(configuration)
    world.advance(3)
    world.accept(change_cache(configuration, 5000))
    world.advance(3)
    world.set_store(set(SIZES), 0.0)
    world.kill('mandeville-0')
    world.advance(5)
    world.restart('mandeville-0')
    world.advance(IN_FORCE_S)
    assert world.nodes['mandeville-0'].state.revision == 2
    world.close()


@pytest.mark.parametrize('nodes_per_region', [2, 23, 70])
def test_store_calls_grow_slower_than_the_fleet(nodes_per_region: int) -> None:
    sizes = dict.fromkeys(SIZES, nodes_per_region)
    world = ControlWorld(sizes)
    world.start_all()
    world.accept(build_fleet_configuration(sizes))
    world.advance(20)
    for node in world.nodes.values():
        node.store.calls.clear()
    watching = sum(n.agent._is_relay for n in world.nodes.values())
    world.advance(20)
    # Two relays of each region watch, and one keeper renews its lease.
    assert watching == 2 * len(sizes)
    calls = world.store_calls()
    assert calls['lease'] <= len(sizes) * 20
    assert calls.total() <= len(sizes) * 30
    assert set(world.revisions_in_force().values()) == {1}
    world.close()
