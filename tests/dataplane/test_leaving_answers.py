"""Tests of targets whose answers say that they leave, own interface."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result
import pytest

from gentianbank.dataplane.health_checker import HealthChecker
from gentianbank.targets.transport import NotAllowed
from gentianbank.targets.transport import NotSent
from tests.support.fakes import FakeAnswer
from tests.support.fakes import FakeTargets
from tests.support.world import build_configuration
from tests.support.world import Reply
from tests.support.world import SERVICE
from tests.support.world import World

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianbank.targets.transport import RawHeaders
    from gentianbank.targets.transport import SendError
    from gentianbank.targets.transport import TargetAnswer
    from gentianbank.targets.transport import TargetRequest

VM = 'vm-1'
LEAVING = (b'Target-Leaving', b'true')
CONNECT_S = 0.2
LONG_S = 1.0
# A health check comes at most this long after the one before.
CHECKED_S = 2.0


class SpeakingTargets(FakeTargets):
    """Targets that say whether they leave, also to health checks."""

    def __init__(self) -> None:
        super().__init__()
        self.leaving: set[str] = set()
        self.silent: set[str] = set()
        self.connect_s = 0.0
        self.written: Counter[str] = Counter()
        self.check_body = b'{"status": "pass"}'

    async def send(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, SendError]:
        if request.path == b'/healthz':
            return await self._check(request)
        await asyncio.sleep(self.connect_s)
        if request.is_withheld:
            return Error(NotAllowed('withheld'))
        self.written[request.address] += 1
        result = await super().send(request)
        if result.is_ok():
            self._say(request, result.ok)
        return result

    async def _check(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, SendError]:
        await asyncio.sleep(0.01)
        if request.address in self.silent:
            return Error(NotSent('refused'))
        answer = FakeAnswer(200, [], self.check_body, False)
        self._say(request, answer)
        return Ok(answer)

    def _say(self, request: TargetRequest, answer: TargetAnswer) -> None:
        said: RawHeaders = []
        if request.address in self.leaving:
            said = [LEAVING]
        answer.headers = [*answer.headers, *said]
        assert request.on_head is not None
        request.on_head(answer.status, answer.headers)


@pytest.fixture
def targets() -> SpeakingTargets:
    return SpeakingTargets()


@pytest.fixture
def world(targets: SpeakingTargets) -> Iterator[World]:
    found = World(configuration=build_configuration(targets=2))
    found.targets = targets
    found.start(VM)
    yield found
    found.close()


def ask(world: World, name: str = 'one') -> Reply:
    task = submit(world, name)
    return world.loop.run_until_complete(task)


def submit(world: World, name: str) -> asyncio.Task[Reply]:
    return world.submit(VM, 'GET', f'/services/{SERVICE}/{name}', '', b'')


def ask_until_used(world: World, address: str) -> None:
    """Ask until a target has answered; the choice is at random."""
    assert isinstance(world.targets, SpeakingTargets)
    while not world.targets.written[address]:
        ask(world)


def first_address(world: World) -> str:
    return world.configuration.services[SERVICE].targets[0].address


@pytest.mark.parametrize('fault', ['', 'shed', 'cut answer', '503 after run'])
def test_target_gets_no_request_after_an_answer_that_says_leaving(
    world: World, targets: SpeakingTargets, fault: str
) -> None:
    address = first_address(world)
    targets.leaving.add(address)
    targets.fault = fault
    ask_until_used(world, address)
    targets.fault = ''
    targets.written.clear()
    for _ in range(20):
        assert ask(world).status == 200
    assert targets.written[address] == 0


def test_request_is_refused_at_once_when_all_targets_leave(
    world: World, targets: SpeakingTargets
) -> None:
    for target in world.configuration.services[SERVICE].targets:
        targets.leaving.add(target.address)
        ask_until_used(world, target.address)
    begin_ms = world.loop.now_ms()
    assert ask(world).status == 503
    assert world.loop.now_ms() - begin_ms < 1


def test_request_that_waits_for_its_connection_goes_to_another_target(
    world: World, targets: SpeakingTargets
) -> None:
    targets.connect_s = CONNECT_S
    tasks = [submit(world, f'name-{number}') for number in range(6)]
    world.advance(CONNECT_S / 2)
    first = world.configuration.services[SERVICE].targets[0]
    world.nodes[VM].routing.leaving.on_said(first.name)
    world.advance(3 * CONNECT_S)
    assert [task.result().status for task in tasks] == [200] * len(tasks)
    assert targets.written[first.address] == 0


def test_waiters_are_refused_when_the_last_target_says_that_it_leaves(
    world: World, targets: SpeakingTargets
) -> None:
    targets.work_s = LONG_S
    service = world.configuration.services[SERVICE]
    slots = sum(target.slots for target in service.targets)
    running = [submit(world, f'running-{number}') for number in range(slots)]
    world.advance(0.001)
    waiting = submit(world, 'waiting')
    world.advance(0.1)
    for target in service.targets:
        assert not waiting.done()
        world.nodes[VM].routing.leaving.on_said(target.name)
        world.advance(0.001)
    assert waiting.result().status == 503
    assert not any(task.done() for task in running)


@pytest.mark.parametrize(
    ('change', 'is_back'),
    [('stays', True), ('still leaving', False), ('silent', False)],
)
def test_only_a_passing_check_without_the_word_ends_it(
    world: World, targets: SpeakingTargets, change: str, is_back: bool
) -> None:
    address = first_address(world)
    targets.leaving.add(address)
    ask_until_used(world, address)
    if change != 'still leaving':
        targets.leaving.clear()
    if change == 'silent':
        targets.silent.add(address)
    checker = HealthChecker(world.nodes[VM].routing, targets)
    running = world.loop.create_task(checker.run())
    world.advance(CHECKED_S)
    running.cancel()
    name = world.configuration.services[SERVICE].targets[0].name
    assert world.nodes[VM].routing.leaving.may_send(name) is is_back


def test_check_asked_before_the_newest_word_does_not_end_it(
    world: World,
) -> None:
    leaving = world.nodes[VM].routing.leaving
    name = world.configuration.services[SERVICE].targets[0].name
    asked_ms = leaving.now_ms()
    world.advance(0.1)
    leaving.on_said(name)
    leaving.on_passing_check(name, asked_ms)
    assert leaving.is_leaving(name)
    world.advance(0.1)
    leaving.on_passing_check(name, leaving.now_ms())
    assert not leaving.is_leaving(name)
