"""State machine of targets that leave, stay and start again.

The model knows the processes behind the targets: what each has said, and
when the node read it.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any
from typing import TYPE_CHECKING

from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from gentianbank.policy.leaving import LeavingState
from gentianbank.steering.leaving.leaving_checks import LeavingChecks
from gentianbank.steering.leaving.leaving_targets import LeavingTargets
from gentianbank.steering.restart_checks import RestartChecks
from tests.support.leaving import Process
from tests.support.leaving import Processes
from tests.support.machines import check_machine
from tests.support.machines import check_mutant
from tests.support.steering import Caller
from tests.support.steering import ORDER_REQUEST
from tests.support.steering import Path
from tests.support.steering import registration

if TYPE_CHECKING:
    import pytest

    from gentianbank.policy.target_load import TargetLoad

TARGETS = 3
EXAMPLES = 150
STEPS = 30
# Time in which targets that stay must get requests again, with the longest
# backoff of a status check.
BACK_S = 8.0
# Time for which an answer is on its way while others pass it.
CROSSING_S = 0.3
# Time that the longest request takes.
REQUEST_S = 4.0
LATE_REQUEST = 'request to a target after it said that it leaves'
NEVER_BACK = 'target that stays gets no requests'
OCCURRED: Counter[str] = Counter()
REQUIRED = (
    'ask',
    'leave',
    'stay',
    'crash',
    'entry',
    'late entry',
    'no entry',
    'earlier entry',
    'same entry',
    'draining entry',
    'lapse',
    'lost idle connection',
    'silence',
    'slow answers',
    'slow connections',
    'withheld',
    'crossed',
    'crossed entry',
)
numbers = st.integers(1, TARGETS)


class LeavingMachine(RuleBasedStateMachine):
    """No request is written to a target that has said that it leaves."""

    @initialize()
    def start(self) -> None:
        self.transport = Processes()
        self.path = Path(0, transport=self.transport)
        self.loop = self.path.loop
        asyncio.set_event_loop(self.loop)
        self.callers: list[asyncio.Task[None]] = []
        self.processes: list[Process] = []
        self.born_ms: dict[str, int] = {}
        for number in range(1, TARGETS + 1):
            self._start_process(number)
            self._put(number)

    @rule(count=st.integers(1, 6), key=st.integers(0, 5), order=st.booleans())
    def ask(self, count: int, key: int, order: bool) -> None:
        for number in range(count):
            head: dict[str, Any] = dict(ORDER_REQUEST) if order else {}
            name = f'r-{len(self.callers)}'
            caller = Caller(
                self.loop, request_id=name, key=str(key + number), **head
            )
            work = self.path.proxy.serve(caller.exchange())
            self.callers.append(self.loop.create_task(work))
        self._advance(0.001)
        OCCURRED['ask'] += 1

    @rule(number=numbers)
    def leave(self, number: int) -> None:
        process = self._process(number)
        if process is not None:
            process.is_leaving = True
            OCCURRED['leave'] += 1

    @rule(number=numbers, connect_s=st.sampled_from((0.1, 0.25)))
    def leave_while_connections_open(
        self, number: int, connect_s: float
    ) -> None:
        process = self._process(number)
        if process is None:
            return
        self.ask(TARGETS, 0, order=False)
        process.connect_s = connect_s
        self.ask(TARGETS, 0, order=False)
        process.is_leaving = True
        self._advance(connect_s)

    @rule(number=numbers)
    def leave_while_answers_cross(self, number: int) -> None:
        """Let an answer come after one to a later request that says it."""
        process = self._process(number)
        if process is None:
            return
        process.transit_s = CROSSING_S
        self.ask(TARGETS, 0, order=False)
        self._advance(process.work_s)
        process.transit_s = 0.0
        process.is_leaving = True
        self.ask(TARGETS, 0, order=False)
        self._advance(CROSSING_S)
        self.ask(TARGETS, 0, order=False)
        OCCURRED['crossed'] += 1

    @rule(number=numbers)
    def write_entry_while_answers_come(self, number: int) -> None:
        """Let the entry of a new process come before its first answers."""
        self._start_process(number)
        process = self._process(number)
        assert process is not None
        process.is_leaving = True
        process.transit_s = CROSSING_S
        self.ask(TARGETS, 0, order=False)
        self._advance(process.work_s)
        self._put(number)
        self._advance(CROSSING_S)
        self.ask(TARGETS, 0, order=False)
        OCCURRED['crossed entry'] += 1

    @rule(number=numbers)
    def stay(self, number: int) -> None:
        process = self._process(number)
        if process is not None and process.is_leaving:
            process.stay()
            OCCURRED['stay'] += 1

    @rule(number=numbers)
    def crash(self, number: int) -> None:
        self.transport.end(_address(number))
        self._lose_idle_connection(number)
        OCCURRED['crash'] += 1

    @rule(number=numbers, delay_s=st.sampled_from((None, 0.0, 0.5, 3.0)))
    def start_again(self, number: int, delay_s: float | None) -> None:
        """Start a process; its entry comes late, or never."""
        self._start_process(number)
        if delay_s is None:
            OCCURRED['no entry'] += 1
            return
        born_ms = self.born_ms[_name(number)]
        self.loop.call_later(delay_s, self._put, number, born_ms)
        OCCURRED['late entry' if delay_s else 'entry'] += 1

    @rule(number=numbers, kind=st.sampled_from(('earlier', 'same')))
    def write_entry(self, number: int, kind: str) -> None:
        known = self.path.cluster_view.targets.get(_name(number))
        if known is None:
            return
        born_ms = known.registration.born_ms - (kind == 'earlier')
        self._put(number, born_ms)
        OCCURRED[f'{kind} entry'] += 1

    @rule(number=numbers, seconds=st.sampled_from((0.1, 2.0)))
    def drain_for_a_while(self, number: int, seconds: float) -> None:
        known = self.path.cluster_view.targets.get(_name(number))
        if known is None:
            return
        born_ms = known.registration.born_ms
        self._put(number, born_ms, draining=True)
        self._advance(seconds)
        self._put(number, born_ms)
        OCCURRED['draining entry'] += 1

    @rule(number=numbers, seconds=st.sampled_from((0.1, 5.0)))
    def lapse(self, number: int, seconds: float) -> None:
        view = self.path.cluster_view
        known = view.targets.get(_name(number))
        if known is None:
            return
        view.remove_target(_name(number), self.loop.now_ms())
        self._advance(seconds)
        self._put(number, known.registration.born_ms)
        OCCURRED['lapse'] += 1

    @rule(number=numbers)
    def lose_idle_connection(self, number: int) -> None:
        self._lose_idle_connection(number)
        OCCURRED['lost idle connection'] += 1

    @rule(number=numbers, silent=st.booleans())
    def silence(self, number: int, silent: bool) -> None:
        process = self._process(number)
        if process is not None:
            process.is_silent = silent
            OCCURRED['silence'] += silent

    @rule(number=numbers, seconds=st.sampled_from((0.0, 0.1, 0.5)))
    def delay_answers(self, number: int, seconds: float) -> None:
        process = self._process(number)
        if process is not None:
            process.transit_s = seconds
            OCCURRED['slow answers'] += seconds > 0

    @rule(number=numbers, seconds=st.sampled_from((0.0, 0.1, 0.25)))
    def delay_connections(self, number: int, seconds: float) -> None:
        process = self._process(number)
        if process is not None:
            process.connect_s = seconds
            OCCURRED['slow connections'] += seconds > 0

    @rule(seconds=st.sampled_from((0.03, 0.1, 0.5, 1.5)))
    def advance(self, seconds: float) -> None:
        self._advance(seconds)

    @invariant()
    def no_request_is_late(self) -> None:
        if hasattr(self, 'path'):
            late = sum(process.late for process in self.processes)
            assert not late, LATE_REQUEST

    def teardown(self) -> None:
        if not hasattr(self, 'path'):
            return
        try:
            self._advance(REQUEST_S)
            self.no_request_is_late()
            self._check_recovery()
        finally:
            OCCURRED['withheld'] += self.transport.withheld
            self.loop.end()

    def _check_recovery(self) -> None:
        """Let all processes stay, with no entries but those there are."""
        assert all(task.done() for task in self.callers)
        for task in self.callers:
            task.result()
        for number in range(1, TARGETS + 1):
            if self._process(number) is None:
                self._start_process(number)
            process = self._process(number)
            assert process is not None
            process.stay()
            process.is_silent = False
            process.transit_s = process.connect_s = 0.0
        self._advance(BACK_S)
        view = self.path.cluster_view
        assert len(view.usable_targets('desk')) == TARGETS, NEVER_BACK
        assert self.path.leaving_checks.is_idle

    def _lose_idle_connection(self, number: int) -> None:
        lost = self.path.checks.on_idle_connection_lost
        self.loop.call_soon(lost, _address(number))
        self._advance(0.001)

    def _start_process(self, number: int) -> None:
        # Two starts of a target are never at the same millisecond.
        self._advance(0.002)
        name = _name(number)
        self.processes.append(self.transport.start(_address(number), name))
        self.born_ms[name] = round(self.loop.now_ms())
        self._advance(0.002)

    def _process(self, number: int) -> Process | None:
        return self.transport.by_address.get(_address(number))

    def _put(
        self, number: int, born_ms: int | None = None, **changes: Any
    ) -> None:
        name = _name(number)
        born_ms = self.born_ms[name] if born_ms is None else born_ms
        self.path.put_target(name, born_ms=born_ms, **changes)

    def _advance(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))


def _name(number: int) -> str:
    return f'desk-{number}'


def _address(number: int) -> str:
    return registration(_name(number)).address


def test_no_request_is_written_to_a_target_that_said_it_leaves() -> None:
    check_machine(LeavingMachine, OCCURRED, REQUIRED, EXAMPLES, STEPS)


def test_proof_catches_a_check_before_the_connection_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(LeavingTargets, 'may_send', lambda *_: True)
    check_mutant(LeavingMachine, LATE_REQUEST, steps=STEPS)


def test_proof_catches_leaving_that_ends_with_a_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    on_connection_lost = RestartChecks.on_connection_lost

    def forget(self: RestartChecks, target: TargetLoad) -> None:
        target.leaving.since_ms = None
        self._cluster_view.generation += 1
        on_connection_lost(self, target)

    monkeypatch.setattr(RestartChecks, 'on_connection_lost', forget)
    check_mutant(LeavingMachine, LATE_REQUEST, steps=STEPS)


def test_proof_catches_an_earlier_entry_that_ends_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def start_anew(self: LeavingState, born_ms: int) -> LeavingState:
        return self if born_ms == self.born_ms else LeavingState(born_ms)

    monkeypatch.setattr(LeavingState, 'for_entry', start_anew)
    check_mutant(LeavingMachine, LATE_REQUEST, steps=STEPS)


def test_proof_catches_a_late_entry_that_ends_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def start_anew(self: LeavingState, born_ms: int) -> LeavingState:
        return self if born_ms <= self.born_ms else LeavingState(born_ms)

    monkeypatch.setattr(LeavingState, 'for_entry', start_anew)
    check_mutant(LeavingMachine, LATE_REQUEST, steps=STEPS)


def test_proof_catches_an_answer_that_counts_for_a_former_entry_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(LeavingTargets, '_answering', lambda _, target: target)
    check_mutant(LeavingMachine, LATE_REQUEST, steps=STEPS)


def test_proof_catches_a_crossed_answer_that_ends_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    on_not_said = LeavingState.on_not_said

    def ignore_order(self: LeavingState, _sent_ms: float) -> bool:
        return on_not_said(self, float('inf'))

    monkeypatch.setattr(LeavingState, 'on_not_said', ignore_order)
    check_mutant(LeavingMachine, LATE_REQUEST, steps=STEPS)


def test_proof_catches_targets_that_are_never_asked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(LeavingChecks, '_is_due', lambda *_: False)
    check_mutant(LeavingMachine, NEVER_BACK, steps=STEPS)
