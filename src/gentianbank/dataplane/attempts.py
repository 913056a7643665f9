"""Sends a request to targets until one answers or no retry is allowed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.dataplane import headers as http_headers
from gentianbank.dataplane.refusal import Refusal
from gentianbank.dataplane.refusal import RefusalKind
from gentianbank.dataplane.routing import is_large
from gentianbank.dataplane.routing import NoUsableTarget
from gentianbank.dataplane.routing import Permit
from gentianbank.policy.retry import MAX_ATTEMPTS
from gentianbank.policy.retry import RetryBudget
from gentianbank.policy.run_evidence import AnswerMeaning
from gentianbank.targets.awaited_body import AwaitBounds
from gentianbank.targets.awaited_body import read_awaited
from gentianbank.targets.transport import MaybeSent
from gentianbank.targets.transport import NotAllowed
from gentianbank.targets.transport import NotSent
from gentianbank.targets.transport import SendError
from gentianbank.targets.transport import TargetRequest
from gentianbank.targets.transport import TruncatedBodyError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from gentianbank.dataplane.budgets import BudgetBook
    from gentianbank.dataplane.request import Request
    from gentianbank.dataplane.routing import Routing
    from gentianbank.dataplane.routing import Waiter
    from gentianbank.domain.settings import Limits
    from gentianbank.targets.transport import TargetAnswer
    from gentianbank.targets.transport import TargetTransport
    from gentianbank.telemetry.metrics import Metrics

# A request whose deadline leaves less time than this is not queued.
MIN_QUEUE_WAIT_MS = 1.0
# Bytes and time for the body of an answer that says "not run".
MAX_REJECTION_BYTES = 16 * 1024
REJECTION_TIMEOUT_S = 0.1
# A large transfer has no deadline, but its target must go on sending.
LARGE_SILENCE_MS = 30_000.0
MIN_LARGE_BYTES_PER_S = 1_024
_MS_PER_S = 1_000


@dataclass(slots=True)
class OpenAnswer:
    """An answer of a target that is still open, and the permit it uses.

    Parameters
    ----------
    chunks
        Body of the answer, which its target must send in time.
    """

    answer: TargetAnswer
    permit: Permit
    routing: Routing
    chunks: AsyncIterator[bytes]

    async def close(self) -> None:
        """Close the answer and release the permit."""
        try:
            await self.answer.close()
        finally:
            self.routing.release(self.permit)


@dataclass(frozen=True, slots=True)
class _Shed:
    """The target answered that it rejected the request without running it."""

    cause: str


_AttemptFailure = SendError | _Shed


class RetryingSender:
    """Sends requests to targets, with a retry budget for each service.

    Parameters
    ----------
    node, region
        VM and region of this node.
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        *,
        node: str,
        region: str,
        limits: Limits,
        routing: Routing,
        budgets: BudgetBook,
        transport: TargetTransport,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._node = node
        self._region = region
        self._limits = limits
        self._routing = routing
        self._budgets = budgets
        self._transport = transport
        self._metrics = metrics
        self._clock = clock
        self._retries: dict[str, RetryBudget] = {}

    async def run(
        self,
        request: Request,
        body: AsyncIterator[bytes] | None,
        key: str,
        tried: list[str],
    ) -> Result[OpenAnswer, Refusal]:
        """Send a request until a target answers.

        A request that may have run is retried only if it is idempotent. A
        request whose body has begun to be sent is never retried, because
        the body is not kept.

        Parameters
        ----------
        body
            Body of the request, or ``None``.
        key
            Idempotency key, or empty for a request without one.
        tried
            List to which the names of the tried targets are appended.
        """
        source = _SingleUseBody(body) if body is not None else None
        retries = self._retries.setdefault(request.service_name, RetryBudget())
        retries.on_request()
        may_have_run = False
        withheld = 0
        while True:
            match await self._acquire_permit(request, set(tried)):
                case Result(tag='ok', ok=permit):
                    tried.append(permit.target.name)
                case Result(error=refusal):
                    return Error(_after_attempts(refusal, may_have_run))
            match await self._send_attempt(
                request, source, key, permit, len(tried)
            ):
                case Result(tag='ok', ok=answer):
                    chunks = self._read_in_time(request, answer)
                    return Ok(
                        OpenAnswer(answer, permit, self._routing, chunks)
                    )
                case Result(error=failure):
                    self._routing.release(permit)
            if isinstance(failure, NotAllowed):
                # It leaves its part of the retries to the next attempt.
                withheld += 1
                continue
            may_have_run |= isinstance(failure, MaybeSent)
            may_retry = (
                self._is_retry_safe(request, failure)
                and not (source and source.started)
                and len(tried) - withheld < MAX_ATTEMPTS
                and self._clock() < request.end_ms
            )
            if not may_retry or not retries.try_spend():
                refusal = _refusal_after(failure)
                return Error(_after_attempts(refusal, may_have_run))
            self._metrics.on_retry(request.service_name)

    async def _acquire_permit(
        self, request: Request, tried: set[str]
    ) -> Result[Permit, Refusal]:
        """Wait for a permit for as long as the deadline can still be met.

        A large transfer may run beyond its deadline, so its permit must not
        depend on a loan, which expires.
        """
        end_ms = float('inf') if is_large(request.service) else request.end_ms
        waiter: Waiter | None = None
        while True:
            choice = self._routing.choose(
                request.service_name, request.service, end_ms, tried
            )
            if isinstance(choice, Permit):
                return Ok(choice)
            if isinstance(choice, NoUsableTarget):
                if waiter is not None:
                    self._routing.leave_queue(request.service_name, waiter)
                cause = 'no target of the service may take work'
                return Error(Refusal(RefusalKind.NO_TARGET, cause))
            match await self._wait_in_queue(request, tried, waiter):
                case Result(tag='ok', ok=waiter):
                    pass
                case Result(error=refusal):
                    return Error(refusal)

    async def _wait_in_queue(
        self, request: Request, tried: set[str], previous: Waiter | None
    ) -> Result[Waiter, Refusal]:
        """Queue until a permit is released.

        Parameters
        ----------
        tried
            Names of the targets of earlier attempts.
        previous
            Earlier stay of the request in the queue, if any.
        """
        expected_latency_ms = self._routing.expected_latency_ms(
            request.service_name
        )
        max_wait_ms = request.end_ms - self._clock() - expected_latency_ms
        if max_wait_ms < MIN_QUEUE_WAIT_MS:
            if previous is not None:
                self._routing.leave_queue(request.service_name, previous)
            cause = 'the deadline cannot be met'
            return Error(Refusal(RefusalKind.DEADLINE, cause))
        waiter = self._routing.join_queue(
            request.service_name, tried, previous
        )
        if waiter is None:
            cause = 'the queue is full'
            return Error(Refusal(RefusalKind.OVERLOADED, cause))
        try:
            async with asyncio.timeout(max_wait_ms / _MS_PER_S):
                await waiter.woken
        except TimeoutError:
            self._routing.leave_queue(request.service_name, waiter)
            cause = 'no target became free'
            return Error(Refusal(RefusalKind.DEADLINE, cause))
        except asyncio.CancelledError:
            self._routing.leave_queue(request.service_name, waiter)
            raise
        return Ok(waiter)

    async def _send_attempt(
        self,
        request: Request,
        source: _SingleUseBody | None,
        key: str,
        permit: Permit,
        attempt: int,
    ) -> Result[TargetAnswer, _AttemptFailure]:
        now_ms = self._clock()
        if now_ms >= request.end_ms:
            # The process may have been paused since it got the permit. The
            # budget of the permit may be on loan, and the loan may expire
            # soon after the deadline.
            return Error(NotSent('the deadline passed before sending'))
        attempt_id = f'{request.request_id}-{attempt}'
        leaving = self._routing.leaving
        message = TargetRequest(
            address=permit.target.address,
            method=request.method,
            path=request.path,
            headers=http_headers.for_target(
                request.received_headers,
                address=permit.target.address,
                attempt_id=attempt_id,
                timeout_ms=request.end_ms - now_ms,
                key=key,
                node=self._node,
                client=request.client,
                chunked=request.chunked,
            ),
            body=self._pace_body(source, request, permit) if source else None,
            max_connections=self._routing.max_connections_to(permit.target),
            connect_timeout_ms=self._limits.connect_timeout_ms,
            headers_timeout_ms=request.end_ms - now_ms,
            may_send=lambda: leaving.may_send(permit.target.name),
            on_head=lambda _, headers: leaving.on_head(
                permit.target.name, headers
            ),
        )
        try:
            sent = await self._transport.send(message)
        except BaseException:
            self._routing.release(permit)
            raise
        match sent:
            case Result(tag='ok', ok=answer):
                return await self._check_answer(
                    answer, attempt_id, permit, now_ms
                )
            case Result(error=NotAllowed() as error):
                return Error(error)
            case Result(error=error):
                self._routing.on_failure(permit)
                return Error(error)

    async def _check_answer(
        self,
        answer: TargetAnswer,
        attempt_id: str,
        permit: Permit,
        sent_ms: float,
    ) -> Result[TargetAnswer, _AttemptFailure]:
        """Reject an answer to another request or one that says *not run*."""
        in_flight = http_headers.reported_in_flight(answer.headers)
        if in_flight is not None:
            self._routing.on_report(permit.target.name, in_flight)
        meaning = http_headers.judge(
            answer.status, answer.headers, attempt_id.encode()
        )
        if meaning is AnswerMeaning.RESULT:
            self._routing.on_answer(permit, self._clock() - sent_ms)
            return Ok(answer)
        cause = f'the target answered {answer.status}'
        if meaning is AnswerMeaning.REJECTION:
            doubt = await _why_unproved(answer)
            if doubt is None:
                return Error(_Shed(cause))
            self._routing.on_failure(permit)
            return Error(MaybeSent(f'{cause}: {doubt}'))
        await answer.close()
        if meaning is AnswerMeaning.NAMES_OTHERS:
            self._routing.on_failure(permit)
            self._metrics.on_crossed(permit.service)
        return Error(MaybeSent(f'{cause}: {meaning.value}'))

    async def _pace_body(
        self, source: _SingleUseBody, request: Request, permit: Permit
    ) -> AsyncIterator[bytes]:
        large = is_large(request.service)
        async for chunk in source.chunks():
            await self._budgets.pace(
                self._region, permit.region, len(chunk), large=large
            )
            yield chunk

    def _read_in_time(
        self, request: Request, answer: TargetAnswer
    ) -> AsyncIterator[bytes]:
        """Return the body of an answer; it fails if the target is late."""
        if is_large(request.service):
            wait_ms = LARGE_SILENCE_MS
            min_bytes_per_s = MIN_LARGE_BYTES_PER_S
        else:
            wait_ms = request.end_ms - self._clock()
            min_bytes_per_s = 0
        bounds = AwaitBounds(
            wait_ms=wait_ms,
            min_bytes_per_s=min_bytes_per_s,
            max_bytes=self._limits.max_body_bytes,
        )
        return read_awaited(answer.chunks(), bounds)

    def _is_retry_safe(
        self, request: Request, failure: _AttemptFailure
    ) -> bool:
        return request.idempotent or not isinstance(failure, MaybeSent)


class _SingleUseBody:
    """A body that can be sent only once; records whether that has begun."""

    def __init__(self, source: AsyncIterator[bytes]) -> None:
        self._source = source
        self.started = False

    async def chunks(self) -> AsyncIterator[bytes]:
        self.started = True
        async for chunk in self._source:
            yield chunk


async def _why_unproved(answer: TargetAnswer) -> str | None:
    """Read a rejection; return why it proves nothing, if so.

    As with other answers, one that ends early is no answer, and the bytes
    behind one may be the result of the request.
    """
    size_bytes = 0
    try:
        async with asyncio.timeout(REJECTION_TIMEOUT_S):
            async for chunk in answer.chunks():
                size_bytes += len(chunk)
                if size_bytes > MAX_REJECTION_BYTES:
                    return 'its body is too long'
    except TruncatedBodyError as error:
        return f'its body was cut short: {error}'
    except TimeoutError:
        return 'its body did not end in time'
    finally:
        await answer.close()
    return 'further bytes follow it' if answer.is_followed else None


def _after_attempts(refusal: Refusal, may_have_run: bool) -> Refusal:
    """Return the refusal of a request of which an attempt may have run."""
    if refusal.kind.may_have_run or not may_have_run:
        return refusal
    cause = f'{refusal.cause}; an earlier attempt may have run'
    return Refusal(RefusalKind.OUTCOME_UNKNOWN, cause)


def _refusal_after(failure: _AttemptFailure) -> Refusal:
    match failure:
        case NotSent(cause):
            return Refusal(RefusalKind.UNREACHABLE, cause)
        case _Shed(cause):
            return Refusal(RefusalKind.SHED, cause)
        case MaybeSent(cause):
            return Refusal(RefusalKind.OUTCOME_UNKNOWN, cause)
