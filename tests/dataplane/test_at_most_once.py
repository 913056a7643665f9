"""Property tests: an order runs at most once, and *not run* is true."""

from __future__ import annotations

from collections import Counter
import json
from typing import Any
from typing import ClassVar
from typing import TYPE_CHECKING

from expression import Ok
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from gentianbank import requests as requests_module
from gentianbank.dataplane import attempts as attempts_module
from gentianbank.dataplane import outcomes as outcomes_module
from gentianbank.dataplane.attempts import RetryingSender
from gentianbank.dataplane.outcomes import KeyAdmission
from gentianbank.domain import outcome as outcome_module
from gentianbank.domain.outcome import OutcomeTable
from gentianbank.policy import run_evidence
from gentianbank_standins.soak.promises import NOT_RUN_STATUSES
from tests.support.machines import check_machine
from tests.support.machines import check_mutant
from tests.support.world import Reply
from tests.support.world import World

if TYPE_CHECKING:
    import asyncio
    from collections.abc import AsyncIterator


VMS = ('vm-1', 'vm-2', 'vm-3')
REQUIRED_FAULTS = (
    'kill',
    'freeze',
    'cut link',
    'planned stop',
    'answer lost',
    'late write',
    'store outage',
    'slow store',
    'lost answer',
    'late run',
    'shed',
    'refused connection',
    'crossed answer',
    'cut answer',
    '503 after run',
    'refusal of two',
    'success not run',
)
TARGET_FAULTS = (
    '',
    'refused connection',
    'shed',
    'lost answer',
    'late run',
    'crossed answer',
    'cut answer',
    '503 after run',
    'refusal of two',
    'success not run',
)
VIOLATIONS = r'ran more than once|called not run, but ran'
OCCURRED_FAULTS: Counter[str] = Counter()


@pytest.fixture(autouse=True)
def hand_over_one_by_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(requests_module, 'HANDOVER_BATCH_SIZE', 1)


class AtMostOnce(RuleBasedStateMachine):
    """Callers send keys repeatedly, on several nodes, amid faults.

    Nodes, links, the store and the targets fail. A scoped key names the node
    that owns it; an opaque key is claimed in the store by one node.
    """

    table: ClassVar[type[OutcomeTable]] = OutcomeTable

    @initialize()
    def start(self) -> None:
        self.world = World(outcome_table=self.table)
        self.submitted: Counter[str] = Counter()
        self.open: dict[asyncio.Task[Reply], str] = {}
        self.violations: list[str] = []
        self.told_not_run: dict[str, int] = {}
        self.owners: dict[str, str] = {}
        for vm in VMS:
            self.world.start(vm)
        self.world.gossip()

    @rule(
        vm=st.sampled_from(VMS),
        number=st.integers(0, 2),
        opaque=st.booleans(),
        then_s=st.sampled_from((0.0, 0.003, 0.03, 0.2, 1.5)),
    )
    def submit(
        self, vm: str, number: int, opaque: bool, then_s: float
    ) -> None:
        if self.world.nodes[vm].dead:
            return
        name = f'{"opaque" if opaque else "scoped"}-{number}'
        if not opaque and name not in self.owners:
            owner = self.world.nodes[VMS[number]]
            self.owners[name] = f'{owner.member.incarnation}.0.{name}'
        key = name if opaque else self.owners[name]
        self.submitted[name] += 1
        task = self.world.submit(
            vm, 'POST', '/services/ordering/orders', key, name.encode()
        )
        self.open[task] = name
        task.add_done_callback(self._check_reply)
        self.world.advance(then_s)

    @rule(seconds=st.sampled_from((0.01, 0.4, 6.0, 40.0)))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(
        vm=st.sampled_from(VMS),
        fault=st.sampled_from(
            ('kill', 'freeze', 'long freeze', 'stop', 'replace')
        ),
    )
    def disturb_node(self, vm: str, fault: str) -> None:
        node = self.world.nodes[vm]
        if fault == 'kill':
            self.world.kill(vm)
            self.world.advance(0.001)
            self.world.suspect(vm)
            self.world.start(vm)
        elif fault in ('freeze', 'long freeze'):
            seconds = 0.05 if fault == 'freeze' else 12.0
            self.world.freeze(vm)
            self.world.loop.call_later(seconds, self.world.thaw, vm)
        elif fault == 'stop' and not node.dead and node.running.is_set():
            stop = self.world.loop.create_task(self.world.stop(vm))
            node.tasks.add(stop)
        elif node.dead:
            self.world.start(vm)

    @rule(pair=st.sampled_from(((0, 1), (0, 2), (1, 2), None)))
    def disturb_links(self, pair: tuple[int, int] | None) -> None:
        if pair is None:
            self.world.cut.clear()
            self.world.gossip()
        else:
            self.world.cut.add(frozenset((VMS[pair[0]], VMS[pair[1]])))

    @rule(
        outage=st.booleans(),
        slow_s=st.sampled_from((0.0, 0.0, 0.3, 1.5)),
        lose=st.sampled_from((0, 0, 1)),
        late=st.sampled_from((0, 0, 1)),
    )
    def disturb_store(
        self, outage: bool, slow_s: float, lose: int, late: int
    ) -> None:
        store = self.world.store
        store.outage = outage
        store.slow_s = slow_s
        store.lose_answers = lose
        store.late_writes = late

    @rule(fault=st.sampled_from(TARGET_FAULTS))
    def disturb_targets(self, fault: str) -> None:
        self.world.targets.fault = fault

    @invariant()
    def nothing_runs_twice(self) -> None:
        if not hasattr(self, 'world'):
            return
        for name, count in self.world.targets.executed.items():
            assert count <= 1, f'ran more than once: {name}'

    @invariant()
    def not_run_is_true(self) -> None:
        if not hasattr(self, 'world'):
            return
        assert not self.violations, self.violations[0]
        for name, submitted in self.told_not_run.items():
            if self.submitted[name] == submitted:
                ran = self.world.targets.executed[name]
                assert not ran, f'called not run, but ran: {name}'

    def _check_reply(self, task: asyncio.Task[Reply]) -> None:
        """Check a reply at the moment when its caller gets it."""
        name = self.open.pop(task)
        if task.cancelled():
            return
        reply = task.result()
        if reply.outcome == 'not-run' or reply.status in NOT_RUN_STATUSES:
            if self.world.targets.executed[name]:
                self.violations.append(f'called not run, but ran: {name}')
            # While another attempt with this key is open, the key may still
            # run; the reply to that attempt is checked by itself.
            if name not in self.open.values():
                self.told_not_run[name] = self.submitted[name]
        elif reply.whole and reply.status == 200:
            token = json.loads(reply.body)['token']
            if token != name:
                self.violations.append(f'answer of another request: {token}')

    def teardown(self) -> None:
        if not hasattr(self, 'world'):
            return
        for vm in VMS:
            self.world.thaw(vm)
        try:
            self.world.advance(30)
            self.nothing_runs_twice()
            self.not_run_is_true()
        finally:
            for task in self.open:
                task.remove_done_callback(self._check_reply)
            for source in (self.world, self.world.store, self.world.targets):
                OCCURRED_FAULTS.update(source.fired)
            self.world.close()


def test_order_runs_at_most_once_and_not_run_is_true() -> None:
    check_machine(
        AtMostOnce, OCCURRED_FAULTS, REQUIRED_FAULTS, examples=400, steps=50
    )


class _ForgetfulTable(OutcomeTable):
    def begin(self, key: Any, fingerprint: str, now_ms: float) -> Any:
        self._entries.pop(key, None)
        return super().begin(key, fingerprint, now_ms)


class _Forgetful(AtMostOnce):
    table = _ForgetfulTable


def test_proof_catches_table_that_forgets() -> None:
    check_mutant(_Forgetful, VIOLATIONS)


def test_proof_catches_claims_that_are_not_made(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def claim(
        self: KeyAdmission,
        key: Any,
        fingerprint: str,
        permission: Any,
        _: float,
    ) -> Any:
        return Ok(permission)

    monkeypatch.setattr(KeyAdmission, '_claim', claim)
    check_mutant(AtMostOnce, VIOLATIONS)


class _ReplayedBody:
    started = False

    def __init__(self, source: AsyncIterator[bytes]) -> None:
        self._source = source
        self._read: list[bytes] = []

    async def chunks(self) -> AsyncIterator[bytes]:
        async for chunk in self._source:
            self._read.append(chunk)
        for chunk in self._read:
            yield chunk


def test_proof_catches_retry_of_what_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(RetryingSender, '_is_retry_safe', lambda *_: True)
    monkeypatch.setattr(attempts_module, '_SingleUseBody', _ReplayedBody)
    check_mutant(AtMostOnce, VIOLATIONS)


def test_proof_catches_statuses_that_are_taken_for_evidence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(run_evidence, 'NOT_RUN_STATUSES', frozenset())
    check_mutant(AtMostOnce, VIOLATIONS)


def test_proof_catches_not_run_before_the_key_is_admitted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        KeyAdmission, 'refuse_unadmitted', lambda _, key, refusal: refusal
    )
    check_mutant(AtMostOnce, VIOLATIONS)


def _retry_during_handover() -> None:
    """Retry orders on other nodes while their outcomes are handed over."""
    world = World()
    for vm in VMS:
        world.start(vm)
    world.gossip()
    path = '/services/ordering/orders'
    incarnation = world.nodes['vm-1'].member.incarnation
    names = [f'order-{number}' for number in range(6)]
    keys = {name: f'{incarnation}.0.{name}' for name in names}
    for name, key in keys.items():
        world.submit('vm-1', 'POST', path, key, name.encode())
    world.advance(1)
    stop = world.loop.create_task(world.stop('vm-1'))
    retries = []
    while not stop.done():
        world.advance(0.004)
        for name, key in keys.items():
            for vm in ('vm-2', 'vm-3'):
                retries.append(
                    world.submit(vm, 'POST', path, key, name.encode())
                )
    world.advance(12)
    outcomes = {retry.result().outcome for retry in retries}
    assert world.targets.executed == dict.fromkeys(names, 1)
    world.close()
    assert 'not-run' not in outcomes, 'called not run, but ran'


def test_retries_during_a_handover_are_not_called_not_run() -> None:
    _retry_during_handover()


def test_proof_catches_answers_from_an_incomplete_handover(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    adopted = outcomes_module.AdoptedOutcomes
    monkeypatch.setattr(
        requests_module,
        'AdoptedOutcomes',
        lambda incarnation, epoch, outcomes, _: adopted(
            incarnation, epoch, outcomes, True
        ),
    )
    with pytest.raises(AssertionError, match='called not run, but ran'):
        _retry_during_handover()


@pytest.mark.parametrize('retry_vm', ['vm-1', 'vm-2'])
def test_retry_with_a_bad_head_is_not_called_not_run(retry_vm: str) -> None:
    world = World()
    for vm in VMS:
        world.start(vm)
    path = '/services/ordering/orders'
    key = f'{world.nodes["vm-1"].member.incarnation}.0.order'
    world.submit('vm-1', 'POST', path, key, b'order')
    world.advance(1)
    bad = (b'request-timeout-ms', b'soon')
    retry = world.submit(retry_vm, 'POST', path, key, b'order', bad)
    world.advance(1)
    assert world.targets.executed == {'order': 1}
    world.close()
    assert retry.result().outcome == 'unknown'


def test_refusal_that_names_no_request_is_not_called_not_run() -> None:
    world = World()
    for vm in VMS:
        world.start(vm)
    world.targets.fault = 'repeated refusal'
    path = '/services/ordering/orders'
    key = f'{world.nodes["vm-1"].member.incarnation}.0.order'
    task = world.submit('vm-1', 'POST', path, key, b'order')
    world.advance(5)
    assert world.targets.executed == {'order': 1}
    world.close()
    assert task.result().outcome == 'unknown'


def test_waiting_request_gets_outcome_of_another_node() -> None:
    world = World()
    for vm in VMS:
        world.start(vm)
    world.gossip()
    path = '/services/ordering/orders'
    tasks = [
        world.submit(vm, 'POST', path, 'opaque', b'order')
        for vm in ('vm-1', 'vm-2', 'vm-2')
    ]
    world.advance(5)
    assert [task.result().outcome for task in tasks] == ['', *['unknown'] * 2]
    assert world.targets.executed == {'order': 1}
    world.close()


def test_proof_catches_unknown_called_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        outcomes_module,
        'Unknown',
        lambda cause: outcome_module.NotRun(cause),
    )
    check_mutant(AtMostOnce, VIOLATIONS)
