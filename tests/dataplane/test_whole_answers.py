"""Property tests: callers get the whole answer to their own request."""

from __future__ import annotations

from collections import Counter
import json
from typing import Any
from typing import TYPE_CHECKING

from hypothesis import seed
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from gentianbank.dataplane import headers as http_headers
from gentianbank.targets.transport import TruncatedBodyError
from tests.support import fakes
from tests.support.machines import check_machine
from tests.support.machines import check_mutant
from tests.support.world import Reply
from tests.support.world import World

if TYPE_CHECKING:
    import asyncio

OCCURRED_FAULTS: Counter[str] = Counter()
REQUIRED_FAULTS = (
    'crossed answer',
    'cut answer',
    'late run',
    'lost answer',
    'shed',
    'refused connection',
    'kill',
    'freeze',
)
VMS = ('vm-1', 'vm-2')


class WholeAnswers(RuleBasedStateMachine):
    """Callers send requests while answers are swapped, cut and late."""

    @initialize()
    def start(self) -> None:
        self.world = World()
        self.open: list[tuple[str, asyncio.Task[Reply]]] = []
        self.number = 0
        for vm in VMS:
            self.world.start(vm)

    @rule(
        vm=st.sampled_from(VMS),
        method=st.sampled_from(('GET', 'POST')),
        count=st.sampled_from((1, 5)),
        fault=st.sampled_from(('', *REQUIRED_FAULTS[:6])),
        then_s=st.sampled_from((0.0, 0.05, 3.0)),
    )
    def send(
        self, vm: str, method: str, count: int, fault: str, then_s: float
    ) -> None:
        self.world.targets.fault = fault
        for _ in range(count):
            self.number += 1
            token = f'/token-{self.number}'
            body = token.encode() if method == 'POST' else b''
            path = f'/services/ordering{token}'
            task = self.world.submit(vm, method, path, '', body)
            self.open.append((token, task))
        self.world.advance(then_s)
        self.world.targets.fault = ''

    @rule(vm=st.sampled_from(VMS), fault=st.sampled_from(('kill', 'freeze')))
    def disturb_node(self, vm: str, fault: str) -> None:
        if fault == 'kill':
            self.world.kill(vm)
            self.world.advance(0.001)
            self.world.start(vm)
        else:
            self.world.freeze(vm)
            self.world.loop.call_later(5.0, self.world.thaw, vm)

    @invariant()
    def answers_are_whole_and_own(self) -> None:
        if not hasattr(self, 'world'):
            return
        for token, task in self.open:
            if task.done() and not task.cancelled():
                _check_reply(token, task.result())
        self.open = [item for item in self.open if not item[1].done()]

    def teardown(self) -> None:
        if not hasattr(self, 'world'):
            return
        try:
            self.world.advance(20)
            self.answers_are_whole_and_own()
        finally:
            OCCURRED_FAULTS.update(self.world.fired + self.world.targets.fired)
            self.world.close()


def _check_reply(token: str, reply: Reply) -> None:
    if reply.status != 200 or not reply.whole:
        return
    try:
        found = json.loads(reply.body)['token']
    except ValueError:
        raise AssertionError(f'short answer: {reply.body!r}') from None
    assert found == token, f'answer of another request: {found}'


def test_callers_get_their_own_answers_whole() -> None:
    check_machine(
        WholeAnswers, OCCURRED_FAULTS, REQUIRED_FAULTS, examples=120, steps=20
    )


@pytest.mark.parametrize('number', [2, 3_650_134_503])
def test_callers_get_their_own_answers_whole_under_kept_seeds(
    number: int,
) -> None:
    """Under these seeds two queued requests woke each other without end."""
    machine = seed(number)(type('Seeded', (WholeAnswers,), {}))
    check_machine(
        machine, OCCURRED_FAULTS, REQUIRED_FAULTS, examples=120, steps=20
    )


def test_proof_catches_answers_that_are_not_compared(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(http_headers, 'header_values', lambda *_: [])
    check_mutant(WholeAnswers, 'answer of another request', steps=20)


def test_proof_catches_cut_answers_that_are_finished(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    chunks = fakes.FakeAnswer.chunks

    async def end_without_error(self: fakes.FakeAnswer) -> Any:
        try:
            async for chunk in chunks(self):
                yield chunk
        except TruncatedBodyError:
            return

    monkeypatch.setattr(fakes.FakeAnswer, 'chunks', end_without_error)
    check_mutant(WholeAnswers, 'short answer', steps=20)
