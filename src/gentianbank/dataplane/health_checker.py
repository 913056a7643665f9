"""Health checks of targets.

The health endpoint answers in the health check format for HTTP APIs: its
``status`` is ``pass``, ``warn`` or ``fail``; its ``output`` is ``leaving``
when the target is about to stop and accepts no new requests.
"""

from __future__ import annotations

import asyncio
import json
import random
from typing import TYPE_CHECKING

from expression import Result

from gentianbank.dataplane import headers as http_headers
from gentianbank.targets.transport import TargetRequest
from gentianbank.targets.transport import TruncatedBodyError

if TYPE_CHECKING:
    from gentianbank.dataplane.routing import Routing
    from gentianbank.domain.configuration import Target
    from gentianbank.targets.transport import TargetAnswer
    from gentianbank.targets.transport import TargetTransport

CHECK_PERIOD_S = 1.0
CHECK_TIMEOUT_MS = 1_000
FAILURE_THRESHOLD = 2
MAX_BODY_BYTES = 65_536
_HEALTH_PATH = b'/healthz'
_MS_PER_S = 1_000


class HealthChecker:
    """Checks every target of the configuration in force periodically."""

    def __init__(self, routing: Routing, transport: TargetTransport) -> None:
        self._routing = routing
        self._leaving = routing.leaving
        self._transport = transport
        self._failures: dict[str, int] = {}

    async def run(self) -> None:
        """Check the targets until cancelled."""
        while True:
            configuration = self._routing.configuration
            if configuration is not None:
                await asyncio.gather(
                    *(
                        self._check(target)
                        for service in configuration.services.values()
                        for target in service.targets
                    )
                )
            await asyncio.sleep(CHECK_PERIOD_S * random.uniform(0.8, 1.2))

    async def _check(self, target: Target) -> None:
        await asyncio.sleep(random.uniform(0, CHECK_PERIOD_S / 2))
        asked_ms = self._leaving.now_ms()
        request = TargetRequest(
            address=target.address,
            method='GET',
            path=_HEALTH_PATH,
            headers=[(b'host', target.address.encode())],
            body=None,
            max_connections=self._routing.max_connections_to(target),
            connect_timeout_ms=CHECK_TIMEOUT_MS,
            headers_timeout_ms=CHECK_TIMEOUT_MS,
            on_head=lambda _, headers: self._leaving.on_head(
                target.name, headers
            ),
        )
        match await self._transport.send(request):
            case Result(tag='ok', ok=answer):
                await self._read_answer(target, answer, asked_ms)
            case _:
                self._record_check(target, passing=False)

    async def _read_answer(
        self, target: Target, answer: TargetAnswer, asked_ms: float
    ) -> None:
        body = bytearray()
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_MS / _MS_PER_S):
                async for chunk in answer.chunks():
                    body += chunk
                    if len(body) > MAX_BODY_BYTES:
                        break
        except (TruncatedBodyError, TimeoutError):
            # What has arrived is no whole document, so the check fails below.
            pass
        finally:
            await answer.close()
        in_flight = http_headers.reported_in_flight(answer.headers)
        if in_flight is not None:
            self._routing.on_report(target.name, in_flight)
        try:
            document = json.loads(body)
            passing = document.get('status') in ('pass', 'warn')
            leaving = document.get('output') == 'leaving'
        except (ValueError, AttributeError, RecursionError):
            passing, leaving = False, False
        # One that fails, or cannot be reached, may still be leaving.
        if leaving:
            self._leaving.on_said(target.name)
        elif passing and not http_headers.says_leaving(answer.headers):
            self._leaving.on_passing_check(target.name, asked_ms)
        self._record_check(target, passing=passing)

    def _record_check(self, target: Target, *, passing: bool) -> None:
        failures = 0 if passing else self._failures.get(target.name, 0) + 1
        self._failures[target.name] = failures
        self._routing.on_check(
            target.name, failing=failures >= FAILURE_THRESHOLD
        )
