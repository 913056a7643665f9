"""Tests of health checks whose answers are not what they should be."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

from expression import Ok
from expression import Result
import pytest

from gentianbank.dataplane.health_checker import CHECK_TIMEOUT_MS
from gentianbank.dataplane.health_checker import FAILURE_THRESHOLD
from gentianbank.dataplane.health_checker import HealthChecker
from gentianbank.dataplane.leaving_book import LeavingBook
from gentianbank.targets.transport import TargetAnswer
from gentianbank.targets.transport import TargetRequest
from gentianbank.targets.transport import TargetTransport
from tests.support.virtual_loop import VirtualLoop
from tests.support.world import build_configuration

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from gentianbank.targets.transport import SendError

DEPTH = 60_000
# Each check begins at most 1.7 s after the one before.
CHECKS_S = 1.7 * FAILURE_THRESHOLD + CHECK_TIMEOUT_MS / 1_000
PASSING = b'{"status": "pass"}'


class _Answer(TargetAnswer):
    def __init__(self, body: bytes | None) -> None:
        self._body = body
        self.status = 200
        self.headers = []

    async def chunks(self) -> AsyncIterator[bytes]:
        if self._body is None:
            await asyncio.Event().wait()
        assert self._body is not None
        yield self._body

    async def close(self) -> None:
        return


class _Targets(TargetTransport):
    """The first target answers with a body of its own, the others pass."""

    def __init__(self, body: bytes | None) -> None:
        self._body = body
        self._address = ''

    async def send(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, SendError]:
        self._address = self._address or request.address
        own = request.address == self._address
        return Ok(_Answer(self._body if own else PASSING))


class _Routing:
    """Records which targets fail their checks."""

    def __init__(self) -> None:
        self.configuration = build_configuration()
        self.failing: dict[str, bool] = {}
        self.leaving = LeavingBook(self._fail, lambda: 0.0)
        self.leaving.update(
            {
                target.name
                for service in self.configuration.services.values()
                for target in service.targets
            }
        )

    def _fail(self) -> None:
        raise AssertionError('no check says that its target leaves')

    def max_connections_to(self, _target: Any) -> int:
        return 1

    def on_check(self, name: str, *, failing: bool) -> None:
        self.failing[name] = failing


@pytest.mark.parametrize(
    'body',
    [b'[' * DEPTH, b'{"status":' * 6_000, b'9' * 5_000, b'\xff', b'[]', None],
)
def test_check_without_a_usable_answer_fails_only_its_own_target(
    body: bytes | None,
) -> None:
    routing = _Routing()
    checker = HealthChecker(routing, _Targets(body))  # type: ignore[arg-type]
    loop = VirtualLoop()

    async def check() -> None:
        running = asyncio.create_task(checker.run())
        await asyncio.sleep(CHECKS_S)
        assert not running.done(), running
        running.cancel()

    loop.run_until_complete(check())
    assert len(routing.failing) > 1
    assert sum(routing.failing.values()) == 1
