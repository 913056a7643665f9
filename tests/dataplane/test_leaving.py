"""Property tests: a leaving target soon gets no new requests."""

from __future__ import annotations

import asyncio
from collections import Counter
import json
from random import Random
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from gentianbank.dataplane import health_checker
from gentianbank.dataplane.budgets import BudgetBook
from gentianbank.dataplane.health_checker import HealthChecker
from gentianbank.dataplane.leaving_book import LeavingBook
from gentianbank.dataplane.routing import Permit
from gentianbank.dataplane.routing import Routing
from gentianbank.policy.balancer import BALANCERS
from gentianbank.targets.transport import MaybeSent
from gentianbank.targets.transport import NotSent
from gentianbank.targets.transport import SendError
from gentianbank.targets.transport import TargetAnswer
from gentianbank.targets.transport import TargetRequest
from gentianbank.targets.transport import TargetTransport
from tests.support.fakes import FakeAnswer
from tests.support.machines import check_machine
from tests.support.machines import check_mutant
from tests.support.virtual_loop import VirtualLoop
from tests.support.world import build_configuration
from tests.support.world import REGION
from tests.support.world import SERVICE

if TYPE_CHECKING:
    import pytest

NO_NEW_WORK_S = 5.0
TARGETS = 4
WORK_S = 0.1
OCCURRED_FAULTS: Counter[str] = Counter()
REQUIRED_FAULTS = (
    'slow check',
    'lost check',
    'false failure',
    'leaves',
    'false load',
)


class HealthEndpoints(TargetTransport):
    """Health endpoints whose answers are late, lost or wrong."""

    def __init__(self) -> None:
        self.leaving: dict[str, float] = {}
        self.fault: dict[str, str] = {}
        self.fired: Counter[str] = Counter()

    async def send(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, SendError]:
        fault = self.fault.get(request.address, '')
        self.fired[fault] += 1
        if fault == 'lost check':
            await asyncio.sleep(0.01)
            return Error(NotSent('refused'))
        await asyncio.sleep(0.9 if fault == 'slow check' else 0.01)
        if fault == 'dead check':
            await asyncio.sleep(request.headers_timeout_ms / 1_000)
            return Error(MaybeSent('timeout'))
        document = {'status': 'pass'}
        if fault == 'false failure':
            document['status'] = 'fail'
        if request.address in self.leaving:
            document['output'] = 'leaving'
        in_flight = 1_000 if fault == 'false load' else 0
        report = {'named_metrics': {'in_flight': in_flight}}
        header = f'JSON {json.dumps(report)}'.encode()
        return Ok(
            FakeAnswer(
                200,
                [(b'endpoint-load-metrics', header)],
                json.dumps(document).encode(),
                False,
            )
        )


class Leaving(RuleBasedStateMachine):
    """Targets leave while their health checks are late, lost or wrong."""

    @initialize()
    def start(self) -> None:
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.endpoints = HealthEndpoints()
        self.routing = Routing(
            BudgetBook(REGION, self.loop.now_ms),
            BALANCERS['power-of-two-shared'](),
            Random(1),
            self.loop.now_ms,
        )
        self.configuration = build_configuration(TARGETS)
        self.service = self.configuration.services[SERVICE]
        self.routing.update(self.configuration)
        self.violations: list[str] = []
        checker = HealthChecker(self.routing, self.endpoints)
        self.tasks = [
            self.loop.create_task(checker.run()),
            self.loop.create_task(self._choose_targets()),
        ]
        self._advance(1)

    @rule(number=st.integers(0, TARGETS - 1))
    def leave(self, number: int) -> None:
        address = self.service.targets[number].address
        self.endpoints.leaving.setdefault(address, self.loop.time())
        self.endpoints.fired['leaves'] += 1

    @rule(number=st.integers(0, TARGETS - 1))
    def come_back(self, number: int) -> None:
        address = self.service.targets[number].address
        self.endpoints.leaving.pop(address, None)

    @rule(
        number=st.integers(0, TARGETS - 1),
        fault=st.sampled_from(
            ('', 'slow check', 'false failure', 'false load')
        ),
    )
    def mislead(self, number: int, fault: str) -> None:
        self.endpoints.fault[self.service.targets[number].address] = fault

    @rule(number=st.integers(0, TARGETS - 1), seconds=st.floats(0.1, 1.5))
    def lose_checks(self, number: int, seconds: float) -> None:
        address = self.service.targets[number].address
        self.endpoints.fault[address] = 'lost check'
        self._advance(seconds)
        self.endpoints.fault[address] = ''

    @rule(seconds=st.sampled_from((0.5, 2.0, 6.0)))
    def advance(self, seconds: float) -> None:
        self._advance(seconds)

    @invariant()
    def leaving_targets_get_no_new_work(self) -> None:
        if hasattr(self, 'loop'):
            assert not self.violations, self.violations[0]

    def teardown(self) -> None:
        if not hasattr(self, 'loop'):
            return
        try:
            self._advance(8)
            self.leaving_targets_get_no_new_work()
        finally:
            OCCURRED_FAULTS.update(self.endpoints.fired)
            for task in self.tasks:
                task.cancel()
            self._advance(0.01)
            self.loop.close()
            asyncio.set_event_loop(None)

    def _advance(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    async def _choose_targets(self) -> None:
        """Choose targets continually.

        Records each choice of a target that began to leave more than
        ``NO_NEW_WORK_S`` ago.
        """
        while True:
            end_ms = self.loop.now_ms() + 1_000
            choice = self.routing.choose(SERVICE, self.service, end_ms, set())
            if isinstance(choice, Permit):
                left_s = self.endpoints.leaving.get(choice.target.address)
                if left_s and self.loop.time() - left_s > NO_NEW_WORK_S:
                    self.violations.append(
                        f'{choice.target.name} left long ago'
                    )
                self.loop.call_later(WORK_S, self.routing.release, choice)
            await asyncio.sleep(0.02)


def test_leaving_target_gets_no_new_work() -> None:
    check_machine(
        Leaving, OCCURRED_FAULTS, REQUIRED_FAULTS, examples=60, steps=25
    )


def test_proof_catches_leaving_targets_that_are_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(LeavingBook, 'on_said', lambda *_: None)
    check_mutant(Leaving, 'left long ago', steps=25)


def test_proof_catches_rare_checks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(health_checker, 'CHECK_PERIOD_S', 9.0)
    check_mutant(Leaving, 'left long ago', steps=25)
