"""Status checks of targets that may have started again."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import functools
from typing import TYPE_CHECKING

from absl import logging
from expression import Result

from gentianbank.platform import headers as wire
from gentianbank.targets.http_headers import find_header
from gentianbank.targets.transport import ConnectionLost
from gentianbank.targets.transport import TargetRequest
from gentianbank.targets.transport import TruncatedBodyError
from gentianbank.targets.transport import Unreachable

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.policy.restart_suspicion import TargetStatus
    from gentianbank.policy.target_load import TargetLoad
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.steering.fleet_quotas import FleetQuotas
    from gentianbank.steering.leaving.leaving_targets import LeavingTargets
    from gentianbank.targets.transport import RawHeaders
    from gentianbank.targets.transport import TargetAnswer
    from gentianbank.targets.transport import TargetTransport

CHECK_TIMEOUT_MS = 1_000.0
CONNECT_TIMEOUT_MS = 300.0
# Pause of a check while its target is not to be used, or after one that had
# to be dropped.
PAUSE_MS = 500.0
# Time after a check in which lost idle connections to its target do not count.
MIN_IDLE_CHECK_INTERVAL_MS = 2_000.0
# Checks that one node runs at a time.
MAX_CHECKS = 16
MAX_BODY_BYTES = 64 * 1024
_MS_PER_S = 1_000
_PASSING_STATUS = 200


@dataclass(frozen=True, slots=True)
class Told:
    """The target told its status.

    Parameters
    ----------
    stays
        Whether it is healthy and does not say that it leaves.
    """

    status: TargetStatus
    stays: bool


@dataclass(frozen=True, slots=True)
class Unanswered:
    """The target was reached, but gave no whole answer."""


@dataclass(frozen=True, slots=True)
class Refused:
    """No connection to the target could be opened."""


@dataclass(frozen=True, slots=True)
class Lost:
    """The connection of the check was lost too."""


CheckOutcome = Told | Unanswered | Refused | Lost


class RestartChecks:
    """Asks targets that may have started again whether they are cold.

    Until a target has told that, it gets no more requests than a cold one.

    Parameters
    ----------
    on_check
        Called with the outcome of each check.
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        *,
        cluster_view: ClusterView,
        quotas: FleetQuotas,
        transport: TargetTransport,
        leaving: LeavingTargets,
        on_check: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        self._cluster_view = cluster_view
        self._quotas = quotas
        self._transport = transport
        self._leaving = leaving
        self._on_check = on_check
        self._clock = clock
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._free = asyncio.Semaphore(MAX_CHECKS)

    def on_connection_lost(self, target: TargetLoad) -> None:
        """Suspect a target, and ask it unless that is under way already."""
        target.restart.on_connection_lost(self._clock())
        target_id = target.registration.target_id
        running = self._tasks.get(target_id)
        if running is not None and not running.done():
            return
        task = asyncio.create_task(self._check_until_told(target_id))
        self._tasks[target_id] = task
        task.add_done_callback(lambda ended: self._forget(target_id, ended))

    def on_idle_connection_lost(self, address: str) -> None:
        """Suspect the target at an address, unless it was asked just now.

        A target that closes each connection soon, also that of a check, is
        not asked again and again.
        """
        now_ms = self._clock()
        for target in self._cluster_view.targets.values():
            if target.registration.address != address:
                continue
            if now_ms - target.restart.told_ms >= MIN_IDLE_CHECK_INTERVAL_MS:
                self.on_connection_lost(target)
            return

    async def close(self) -> None:
        """Cancel the checks."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _forget(self, target_id: str, ended: asyncio.Task[None]) -> None:
        if self._tasks.get(target_id) is ended:
            del self._tasks[target_id]

    async def _check_until_told(self, target_id: str) -> None:
        """Ask a target until it has told its status or is gone."""
        while True:
            target = self._cluster_view.targets.get(target_id)
            if target is None or not target.restart.is_active:
                return
            if self._cluster_view.is_usable(target):
                await self.check(target)
            if target.restart.is_active:
                await asyncio.sleep(self._pause_ms(target) / _MS_PER_S)

    def _pause_ms(self, target: TargetLoad) -> float:
        backoff_ms = target.suspect_until_ms - self._clock()
        return backoff_ms if backoff_ms > 0 else PAUSE_MS

    async def check(self, target: TargetLoad) -> None:
        """Ask a target for its status, once a check is free for it."""
        async with self._free:
            await self._check(target)

    async def _check(self, target: TargetLoad) -> None:
        asked_ms = self._clock()
        try:
            outcome = await self._ask(target)
        except Exception:
            # The check is repeated; without it the suspicion would not end.
            self._on_check('failed')
            logging.exception(
                'status check failed',
                extra={'target': target.registration.target_id},
            )
            target.on_unreachable(self._clock())
            return
        match outcome:
            case Told() as told:
                self._apply(target, told, asked_ms)
            case Refused():
                self._on_check('refused')
                target.on_unreachable(self._clock())
            case Lost():
                self._on_check('lost')
                self.on_connection_lost(target)
            case Unanswered():
                self._on_check('unanswered')
                cold_ms = self._cluster_view.cold_start_ms(target.registration)
                target.restart.on_reached(self._clock(), cold_ms)

    def _apply(self, target: TargetLoad, told: Told, asked_ms: float) -> None:
        now_ms = self._clock()
        status = told.status
        entry = target.registration
        if status.target_id and status.target_id != entry.target_id:
            self._on_check('misdirected')
            target.on_misdirected(now_ms)
            return
        cold_left_ms = status.cold_left_ms
        if cold_left_ms is None or not status.target_id:
            # The answer is not a status, but something has come up there.
            cold_left_ms = self._cluster_view.cold_start_ms(entry)
        self._on_check('cold' if cold_left_ms else 'warm')
        may_be_new = target.restart.is_active
        if told.stays and status.target_id:
            may_be_new |= self._leaving.on_not_said(
                target, asked_ms, 'status check'
            )
        is_new = target.restart.on_status(asked_ms, now_ms) and may_be_new
        if not (is_new and cold_left_ms):
            return
        target.on_restart(now_ms + cold_left_ms, now_ms)
        logging.info(
            'target has started again',
            extra={
                'target': entry.target_id,
                'cold_left_ms': round(cold_left_ms),
                'is_told': status.cold_left_ms is not None,
                'store_age_ms': self._cluster_view.age_ms(now_ms),
            },
        )

    async def _ask(self, target: TargetLoad) -> CheckOutcome:
        entry = target.registration
        request = TargetRequest(
            address=entry.address,
            method='GET',
            path=self._cluster_view.health_path(entry.service).encode(),
            headers=[(b'host', entry.address.encode())],
            body=None,
            max_connections=self._quotas.max_connections_per_target(
                entry.service
            ),
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            headers_timeout_ms=CHECK_TIMEOUT_MS,
            owns_answer=_is_status,
            on_head=functools.partial(self._leaving.on_head, target),
        )
        match await self._transport.send(request):
            case Result(tag='ok', ok=answer):
                if not await _read_whole(answer):
                    return Unanswered()
                stays = answer.status == _PASSING_STATUS
                stays = stays and not wire.says_leaving(answer.headers)
                return Told(wire.decode_status(answer.headers), stays)
            case Result(error=Unreachable()):
                return Refused()
            case Result(error=ConnectionLost()):
                return Lost()
        return Unanswered()


def _is_status(headers: RawHeaders) -> bool:
    """Return whether an answer is none to a caller's request."""
    return find_header(headers, wire.REQUEST_ID) is None


async def _read_whole(answer: TargetAnswer) -> bool:
    """Read the body of an answer; return whether it was whole."""
    size = 0
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_MS / _MS_PER_S):
            async for chunk in answer.chunks():
                size += len(chunk)
                if size > MAX_BODY_BYTES:
                    return False
    except (TruncatedBodyError, TimeoutError):
        return False
    finally:
        await answer.close()
    return True
