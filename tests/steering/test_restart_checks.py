"""Tests of targets that start again while the store does not tell of it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result
import pytest

from gentianbank.steering.restart_checks import CHECK_TIMEOUT_MS
from gentianbank.steering.restart_checks import MAX_BODY_BYTES
from gentianbank.steering.restart_checks import MAX_CHECKS
from gentianbank.targets.transport import ConnectionLost
from gentianbank.targets.transport import MaybeSent
from gentianbank.targets.transport import NotSent
from gentianbank.targets.transport import Unreachable
from tests.support.steering import Caller
from tests.support.steering import header
from tests.support.steering import Path
from tests.support.steering import registration
from tests.support.steering import Script
from tests.support.steering import ScriptedAnswer
from tests.support.steering import ScriptedTargets

if TYPE_CHECKING:
    from gentianbank.targets.transport import RawHeaders
    from gentianbank.targets.transport import SendError
    from gentianbank.targets.transport import TargetAnswer
    from gentianbank.targets.transport import TargetRequest

COLD_MS = 3_000.0
DOWN_S = 2.0
WORK_S = 0.05
# Allowed in a second: 7 a second for a cold target, with the bounds of the
# settings.
COLD_ALLOWED = 7 * 1.5 + 5
HEALTH_PATH = b'/health'
# Iterations of the loop after a check in which another loss may come.
LOOP_TURNS = 4
RESET = ConnectionLost('reset')
REFUSED = Unreachable('refused')


@dataclass
class RestartingTargets(ScriptedTargets):
    """Targets of which the first is down for a while and comes back cold."""

    is_down: bool = False
    cold_until_s: float = 0.0
    status_headers: RawHeaders | None = None
    statuses: int = 0
    arrivals_s: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__init__()

    @property
    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def send(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, SendError]:
        if request.address != registration('desk-1').address:
            return await super().send(request)
        if self.is_down:
            return Error(REFUSED)
        if request.path == HEALTH_PATH:
            return Ok(self._status())
        if self.now_s < self.cold_until_s:
            self.arrivals_s.append(self.now_s)
        await asyncio.sleep(WORK_S)
        if self.is_down:
            return Error(RESET)
        return Ok(
            ScriptedAnswer(Script(), header(request.headers, b'request-id'))
        )

    def _status(self) -> TargetAnswer:
        self.statuses += 1
        left_ms = max(0.0, self.cold_until_s - self.now_s) * 1_000
        told: RawHeaders = [
            (b'Instance-Id', b'desk-1'),
            (b'Cold-Ms', str(round(left_ms)).encode()),
        ]
        headers = told if self.status_headers is None else self.status_headers
        script = Script(headers=tuple(headers), names_request=False)
        return ScriptedAnswer(script, b'')

    async def crash(self, down_s: float = DOWN_S) -> None:
        """End, and start again cold under the same id."""
        self.is_down = True
        await asyncio.sleep(down_s)
        self.cold_until_s = self.now_s + COLD_MS / 1_000
        self.is_down = False

    @property
    def worst_second(self) -> int:
        """Return the most requests in a second while it was cold."""
        return max(
            (
                sum(begin <= time_s < begin + 1 for time_s in self.arrivals_s)
                for begin in self.arrivals_s
            ),
            default=0,
        )


def build_path(targets: int = 1) -> tuple[Path, RestartingTargets]:
    transport = RestartingTargets()
    path = Path(targets, transport=transport)
    return path, transport


def play(
    path: Path, transport: RestartingTargets, down_s: float = DOWN_S
) -> None:
    """Send many requests while the first target starts again."""

    async def ask(number: int) -> None:
        await asyncio.sleep(number * 0.01)
        caller = Caller(
            path.loop, request_id=f'r-{number}', key=str(number % 20)
        )
        await path.proxy.serve(caller.exchange())

    async def body() -> None:
        asking = [asyncio.create_task(ask(number)) for number in range(800)]
        await asyncio.sleep(1.0)
        await transport.crash(down_s)
        await asyncio.gather(*asking)
        await path.checks.close()

    path.run(body())


@pytest.mark.parametrize('down_s', [0.01, 0.3, DOWN_S, 4.0])
def test_target_that_comes_back_cold_without_the_store_gets_few_requests(
    down_s: float,
) -> None:
    path, transport = build_path(targets=2)
    play(path, transport, down_s)
    assert transport.arrivals_s
    assert transport.worst_second <= COLD_ALLOWED


@pytest.mark.parametrize(
    'headers',
    [
        [],
        [(b'Instance-Id', b'desk-1'), (b'Cold-Ms', b'inf')],
        [(b'Instance-Id', b'desk-1'), (b'Cold-Ms', b'-1')],
        [(b'Cold-Ms', b'0')],
    ],
)
def test_target_whose_status_tells_nothing_counts_as_cold(
    headers: RawHeaders,
) -> None:
    path, transport = build_path(targets=2)
    transport.status_headers = headers
    play(path, transport)
    assert transport.worst_second <= COLD_ALLOWED
    target = path.cluster_view.targets['desk-1']
    assert not target.restart.is_active


def test_target_that_is_warm_gets_its_requests_after_one_check() -> None:
    path, transport = build_path()
    target = path.cluster_view.targets['desk-1']

    async def body() -> None:
        path.checks.on_connection_lost(target)
        path.checks.on_connection_lost(target)
        assert target.may_be_cold(path.loop.now_ms())
        await asyncio.sleep(1.0)
        assert not target.may_be_cold(path.loop.now_ms())

    path.run(body())
    assert transport.statuses == 1
    assert path.check_outcomes == ['warm']


def test_status_asked_for_before_a_loss_does_not_count() -> None:
    path, _ = build_path()
    target = path.cluster_view.targets['desk-1']
    target.restart.on_connection_lost(20.0)
    assert not target.restart.on_status(10.0, 25.0)
    assert target.restart.is_active
    assert target.restart.on_status(30.0, 35.0)
    assert not target.restart.is_active


def test_answer_of_another_target_is_no_status_of_this_one() -> None:
    path, transport = build_path()
    transport.status_headers = [(b'Instance-Id', b'desk-9')]
    target = path.cluster_view.targets['desk-1']

    async def body() -> None:
        path.checks.on_connection_lost(target)
        await asyncio.sleep(1.0)
        await path.checks.close()

    path.run(body())
    assert target.restart.is_active
    assert target.is_suspect(path.loop.now_ms())


def test_lost_idle_connection_raises_the_suspicion_once_after_a_check() -> (
    None
):
    path, transport = build_path()
    target = path.cluster_view.targets['desk-1']
    address = target.registration.address

    async def body() -> None:
        path.checks.on_idle_connection_lost('10.0.0.99:80')
        assert not target.restart.is_active
        # Also the connection of each check is lost soon after it.
        for _ in range(40):
            path.checks.on_idle_connection_lost(address)
            await asyncio.sleep(0.1)

    path.run(body())
    assert transport.statuses == 2


@pytest.mark.parametrize('is_draining', [True, False])
def test_target_that_is_not_to_be_used_is_not_asked(
    is_draining: bool,
) -> None:
    path, transport = build_path()
    target = path.cluster_view.targets['desk-1']
    if is_draining:
        path.put_target('desk-1', draining=True)
    else:
        path.cluster_view.set_evacuated_domains(frozenset({'east-1'}), 0.0)

    async def body() -> None:
        path.checks.on_connection_lost(target)
        await asyncio.sleep(5.0)
        assert not transport.statuses
        path.cluster_view.remove_target('desk-1', path.loop.now_ms())
        await asyncio.sleep(5.0)
        assert len(asyncio.all_tasks()) == 1

    path.run(body())


@pytest.mark.parametrize(
    'status',
    [
        Script(after_s=3_600.0),
        Script(cut=True),
        Script(failure=MaybeSent('no answer')),
        Script(failure=NotSent('every connection is in use')),
        Script(body=b'x' * (MAX_BODY_BYTES + 1)),
    ],
    ids=['silent', 'cut', 'lost', 'no connection left', 'large'],
)
def test_suspicion_of_a_target_that_runs_ends_though_it_tells_no_status(
    status: Script,
) -> None:
    path = Path(1)
    path.transport.default = status
    target = path.cluster_view.targets['desk-1']

    async def body() -> None:
        path.checks.on_connection_lost(target)
        await asyncio.sleep(COLD_MS / 1_000)
        assert target.restart.is_active
        await asyncio.sleep(2 * CHECK_TIMEOUT_MS / 1_000)
        assert not target.restart.is_active
        await path.checks.close()

    path.run(body())


@pytest.mark.parametrize('failure', [REFUSED, RESET])
def test_suspicion_of_a_target_whose_connections_end_does_not_end(
    failure: SendError,
) -> None:
    path = Path(1)
    path.transport.default = Script(failure=failure)
    target = path.cluster_view.targets['desk-1']

    async def body() -> None:
        path.checks.on_connection_lost(target)
        await asyncio.sleep(60.0)
        assert target.restart.is_active
        await path.checks.close()

    path.run(body())


def test_check_that_fails_unexpectedly_is_repeated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    path, transport = build_path()
    target = path.cluster_view.targets['desk-1']
    send = transport.send
    failures = [ZeroDivisionError(), OverflowError()]

    async def fail_at_first(
        request: TargetRequest,
    ) -> Result[TargetAnswer, SendError]:
        if failures:
            raise failures.pop()
        return await send(request)

    monkeypatch.setattr(transport, 'send', fail_at_first)

    async def body() -> None:
        path.checks.on_connection_lost(target)
        await asyncio.sleep(30.0)

    path.run(body())
    assert not target.restart.is_active
    assert path.check_outcomes == ['failed', 'failed', 'warm']


def test_loss_just_as_a_check_ends_is_followed_by_another_check() -> None:
    path, transport = build_path()
    target = path.cluster_view.targets['desk-1']

    async def body() -> None:
        for turns in range(LOOP_TURNS):
            path.checks.on_connection_lost(target)
            while target.restart.is_active:
                await asyncio.sleep(0)
            for _ in range(turns):
                await asyncio.sleep(0)
            path.loop.jump(0.001)
            path.checks.on_connection_lost(target)
            await asyncio.sleep(1.0)
            assert not target.restart.is_active

    path.run(body())
    assert transport.statuses == 2 * LOOP_TURNS


def test_target_whose_entry_was_gone_is_not_suspected_for_ever() -> None:
    path, _ = build_path()
    target = path.cluster_view.targets['desk-1']

    async def body() -> None:
        target.restart.on_connection_lost(path.loop.now_ms())
        path.cluster_view.remove_target('desk-1', path.loop.now_ms())
        await asyncio.sleep(5.0)
        path.cluster_view.put_target(
            registration('desk-1'),
            path.loop.now_ms(),
            from_first_listing=False,
        )
        assert target.is_cold(path.loop.now_ms())
        await asyncio.sleep(COLD_MS / 1_000)
        assert not target.may_be_cold(path.loop.now_ms())

    path.run(body())


def test_checks_of_many_targets_are_limited() -> None:
    path = Path(3 * MAX_CHECKS)
    path.transport.default = Script(after_s=0.5)

    async def body() -> None:
        for target in path.cluster_view.targets.values():
            path.checks.on_connection_lost(target)
        await asyncio.sleep(0.1)
        assert len(path.transport.requests) == MAX_CHECKS
        await path.checks.close()

    path.run(body())


@pytest.mark.parametrize(
    ('failure', 'is_lost'),
    [
        (RESET, True),
        (REFUSED, True),
        (MaybeSent('the target did not answer in time'), False),
    ],
)
def test_only_a_connection_that_ended_raises_the_suspicion(
    failure: SendError, is_lost: bool
) -> None:
    path = Path(1)
    path.transport.default = Script(failure=failure)
    path.ask(method='POST', path='/order/1')
    target = path.cluster_view.targets['desk-1']
    assert target.restart.is_active is is_lost


def test_requests_before_a_late_entry_count_towards_the_limit() -> None:
    path, _ = build_path()
    target = path.cluster_view.targets['desk-1']
    now_ms = path.loop.now_ms()
    for _ in range(20):
        target.on_send(now_ms, '')
    path.cluster_view.put_target(
        registration('desk-1', born_ms=2), now_ms, from_first_listing=False
    )
    restarted = path.cluster_view.targets['desk-1']
    assert restarted.is_cold(now_ms)
    assert not path.placer.quotas.may_send(restarted, now_ms)
