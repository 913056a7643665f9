"""Property tests: a graceful shutdown interrupts no request."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from gentianbank.dataplane.forwarder import Forwarder
from tests.support.machines import check_machine
from tests.support.machines import check_mutant
from tests.support.world import Reply
from tests.support.world import World

if TYPE_CHECKING:
    import asyncio

    import pytest

VMS = ('vm-1', 'vm-2')
DEADLINE_S = 2.0
NOTICE_S = 3.0
OCCURRED_FAULTS: Counter[str] = Counter()
REQUIRED_FAULTS = (
    'planned stop',
    'freeze',
    'cut link',
    'late run',
    'lost answer',
    'shed',
    'store outage',
    'slow store',
)


class PlannedStops(RuleBasedStateMachine):
    """Nodes shut down gracefully amid requests and other faults."""

    @initialize()
    def start(self) -> None:
        self.world = World()
        self.open: dict[asyncio.Task[Reply], float] = {}
        self.cut: list[str] = []
        self.stopping: set[str] = set()
        self.number = 0
        for vm in VMS:
            self.world.start(vm)
        self.world.gossip()

    @rule(
        vm=st.sampled_from(VMS),
        method=st.sampled_from(('GET', 'POST')),
        key=st.sampled_from(('', 'own')),
        fault=st.sampled_from(('', '', 'late run', 'lost answer', 'shed')),
        work_s=st.sampled_from((0.03, 1.5)),
        then_s=st.sampled_from((0.0, 0.02, 0.5)),
    )
    def send(
        self,
        vm: str,
        method: str,
        key: str,
        fault: str,
        work_s: float,
        then_s: float,
    ) -> None:
        if self.world.nodes[vm].dead:
            return
        self.number += 1
        self.world.targets.fault = fault
        self.world.targets.work_s = work_s
        path = f'/services/ordering/token-{self.number}'
        body = path.encode() if method == 'POST' else b''
        name = f'{key}-{self.number}' if key else ''
        task = self.world.submit(vm, method, path, name, body)
        task.add_done_callback(self._record_end)
        self.open[task] = self.world.loop.time()
        self.world.advance(then_s)

    @rule(vm=st.sampled_from(VMS), seconds=st.sampled_from((0.02, 4.0)))
    def stop(self, vm: str, seconds: float) -> None:
        node = self.world.nodes[vm]
        if node.dead or vm in self.stopping:
            return
        self.stopping.add(vm)
        task = self.world.loop.create_task(self.world.stop(vm, NOTICE_S))
        node.tasks.add(task)
        self.world.advance(seconds)

    @rule(vm=st.sampled_from(VMS))
    def replace(self, vm: str) -> None:
        if self.world.nodes[vm].dead:
            self.stopping.discard(vm)
            self.world.start(vm)
            self.world.gossip()

    @rule(vm=st.sampled_from(VMS), seconds=st.sampled_from((0.1, 3.0)))
    def freeze(self, vm: str, seconds: float) -> None:
        self.world.freeze(vm)
        self.world.loop.call_later(seconds, self.world.thaw, vm)

    @rule(
        outage=st.booleans(),
        slow_s=st.sampled_from((0.0, 0.3)),
        cut=st.booleans(),
    )
    def disturb(self, outage: bool, slow_s: float, cut: bool) -> None:
        self.world.store.outage = outage
        self.world.store.slow_s = slow_s
        self.world.cut = {frozenset(VMS)} if cut else set()

    @invariant()
    def nothing_is_cut(self) -> None:
        if not hasattr(self, 'world'):
            return
        assert not self.cut, self.cut[0]

    def _record_end(self, task: asyncio.Task[Reply]) -> None:
        """Record a request that ended without a whole reply.

        After the deadline a reply may be incomplete, since a node may have
        been paused.
        """
        elapsed_s = self.world.loop.time() - self.open.pop(task)
        if task.cancelled():
            self.cut.append('cut by the stop')
        elif not task.result().whole and elapsed_s < DEADLINE_S:
            self.cut.append(f'cut short after {elapsed_s} s')

    def teardown(self) -> None:
        if not hasattr(self, 'world'):
            return
        try:
            self.world.advance(20)
            self.nothing_is_cut()
            assert not self.open, 'never answered'
        finally:
            for task in self.open:
                task.remove_done_callback(self._record_end)
            for source in (self.world, self.world.store, self.world.targets):
                OCCURRED_FAULTS.update(source.fired)
            self.world.close()


def test_planned_stop_cuts_no_request() -> None:
    check_machine(
        PlannedStops, OCCURRED_FAULTS, REQUIRED_FAULTS, examples=150, steps=20
    )


def test_proof_catches_stop_that_does_not_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def wait_idle(_: Forwarder) -> None:
        return

    monkeypatch.setattr(Forwarder, 'wait_idle', wait_idle)
    check_mutant(PlannedStops, 'cut by the stop|cut short', steps=20)
