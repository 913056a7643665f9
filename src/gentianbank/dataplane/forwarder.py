"""The request path: from the caller to a target and back."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
import hashlib
import secrets
from typing import TYPE_CHECKING

from absl import logging
from expression import Error
from expression import Result

from gentianbank.dataplane import headers as http_headers
from gentianbank.dataplane.decisions import Decision
from gentianbank.dataplane.exchange import CallerGoneError
from gentianbank.dataplane.exchange import cancel_when_gone
from gentianbank.dataplane.refusal import Refusal
from gentianbank.dataplane.refusal import RefusalKind
from gentianbank.dataplane.request import parse_request
from gentianbank.dataplane.request import read_key
from gentianbank.dataplane.request import Request
from gentianbank.dataplane.request import service_of
from gentianbank.dataplane.routing import is_large
from gentianbank.domain.outcome import Answered
from gentianbank.domain.outcome import Header
from gentianbank.domain.outcome import NotRun
from gentianbank.domain.outcome import Unknown
from gentianbank.domain.request_key import ScopedKey
from gentianbank.platform.target_transport import TruncatedBodyError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from gentianbank.dataplane.attempts import Attempted
    from gentianbank.dataplane.attempts import Attempts
    from gentianbank.dataplane.budgets import BudgetBook
    from gentianbank.dataplane.decisions import DecisionLog
    from gentianbank.dataplane.exchange import Exchange
    from gentianbank.dataplane.outcomes import OutcomeDesk
    from gentianbank.dataplane.routing import Routing
    from gentianbank.domain.request_key import RequestKey
    from gentianbank.domain.settings import Limits
    from gentianbank.telemetry.metrics import Metrics

KEYED_BODY_BYTES = 256 * 1024
_MS_PER_S = 1_000


@dataclass(slots=True)
class _Result:
    """What is known of a request when it ends."""

    result: str = ''
    outcome: str = ''
    cause: str = ''
    targets: list[str] = field(default_factory=list)


class Forwarder:
    """Serves requests for services.

    Parameters
    ----------
    revision
        Returns the revision in force.
    is_stopping
        Tells whether new work is refused by now.
    """

    def __init__(
        self,
        *,
        region: str,
        limits: Limits,
        routing: Routing,
        budgets: BudgetBook,
        attempts: Attempts,
        desk: OutcomeDesk,
        decisions: DecisionLog,
        metrics: Metrics,
        clock: Callable[[], float],
        revision: Callable[[], int],
        is_stopping: Callable[[], bool],
        log_requests: bool,
    ) -> None:
        self._region = region
        self._limits = limits
        self._routing = routing
        self._budgets = budgets
        self._attempts = attempts
        self._desk = desk
        self._decisions = decisions
        self._metrics = metrics
        self._clock = clock
        self._revision = revision
        self._is_stopping = is_stopping
        self._log_requests = log_requests
        self.in_flight = 0
        self._executions: set[asyncio.Task[None]] = set()

    async def serve(self, exchange: Exchange) -> None:
        """Serve one exchange to its end."""
        started_ms = self._clock()
        result = _Result()
        self.in_flight += 1
        request: Request | None = None
        try:
            match self._admit(exchange, started_ms):
                case Result(tag='ok', ok=request):
                    await self._serve_request(exchange, request, result)
                case Result(error=refusal):
                    refusal = self._refuse_early(exchange, refusal)
                    await self._refuse(exchange, '', refusal, result)
        except CallerGoneError:
            result.result = 'caller-gone'
        finally:
            self.in_flight -= 1
            self._record(exchange, request, result, started_ms)

    async def wait_idle(self) -> None:
        """Wait until every request has ended."""
        while self.in_flight or self._executions:
            await asyncio.sleep(0.05)

    def _admit(
        self, exchange: Exchange, now_ms: float
    ) -> Result[Request, Refusal]:
        if self.in_flight > self._limits.max_requests:
            cause = f'{self._limits.max_requests} requests are running'
            return Error(Refusal(RefusalKind.OVERLOADED, cause))
        if self._is_stopping():
            cause = 'this node stops; look up another one'
            return Error(Refusal(RefusalKind.STOPPING, cause))
        return parse_request(
            exchange, self._routing.configuration, self._limits, now_ms
        )

    def _refuse_early(self, exchange: Exchange, refusal: Refusal) -> Refusal:
        """Return the refusal of a request whose key was not admitted."""
        if refusal.kind is RefusalKind.BAD_REQUEST:
            return refusal
        match read_key(exchange, service_of(exchange)):
            case Result(tag='ok', ok=key):
                return self._desk.refuse_unadmitted(key, refusal)
        return refusal

    async def _serve_request(
        self, exchange: Exchange, request: Request, result: _Result
    ) -> None:
        if request.idempotent:
            work = self._serve_idempotent(exchange, request, result)
            if exchange.has_body:
                await work
            elif not await cancel_when_gone(exchange, work):
                raise CallerGoneError
        else:
            await self._serve_once(exchange, request, result)

    async def _serve_idempotent(
        self, exchange: Exchange, request: Request, result: _Result
    ) -> None:
        body = exchange.body() if exchange.has_body else None
        attempted = await self._attempts.run(request, body, '', result.targets)
        match attempted:
            case Result(tag='ok', ok=answer):
                try:
                    await self._relay(exchange, request, answer, result)
                finally:
                    await answer.close()
            case Result(error=refusal):
                await self._refuse(
                    exchange, request.request_id, refusal, result
                )

    async def _serve_once(
        self, exchange: Exchange, request: Request, result: _Result
    ) -> None:
        """Serve a request that may run at most once."""
        head = _Buffered(exchange.body() if exchange.has_body else None)
        await head.fill(KEYED_BODY_BYTES)
        fingerprint = _fingerprint(exchange, head)
        key = request.key or ScopedKey(
            self._desk.table.incarnation,
            self._desk.table.epoch_at(self._desk.clock()),
            f'{request.request_id}-{secrets.token_hex(4)}',
        )
        remaining_ms = request.end_ms - self._clock()
        match await self._desk.admit(key, fingerprint, remaining_ms):
            case Result(tag='ok', ok=Answered() as answered):
                await self._replay(exchange, request, key, answered, result)
            case Result(tag='ok'):
                await self._execute(exchange, request, key, head, result)
            case Result(error=refusal):
                await self._refuse(
                    exchange, request.request_id, refusal, result
                )

    async def _execute(
        self,
        exchange: Exchange,
        request: Request,
        key: RequestKey,
        body: _Buffered,
        result: _Result,
    ) -> None:
        """Send a keyed request in a task that outlives the caller."""
        task = asyncio.create_task(
            self._execution(exchange, request, key, body, result)
        )
        self._executions.add(task)
        task.add_done_callback(self._executions.discard)
        await asyncio.shield(task)

    async def _execution(
        self,
        exchange: Exchange,
        request: Request,
        key: RequestKey,
        body: _Buffered,
        result: _Result,
    ) -> None:
        try:
            attempted = await self._attempts.run(
                request,
                body.chunks() if exchange.has_body else None,
                str(key),
                result.targets,
            )
        except CallerGoneError:
            self._desk.finish(key, Unknown('the caller broke off'))
            result.result, result.outcome = 'caller-gone', 'unknown'
            return
        except BaseException:
            self._desk.finish(key, Unknown('the node gave the request up'))
            raise
        match attempted:
            case Result(tag='ok', ok=answer):
                await self._finish_execution(
                    exchange, request, key, answer, result
                )
            case Result(error=refusal):
                if refusal.kind.may_have_run:
                    self._desk.finish(key, Unknown(refusal.cause))
                else:
                    self._desk.finish(key, NotRun(refusal.cause))
                await self._refuse(
                    exchange, request.request_id, refusal, result, key
                )

    async def _finish_execution(
        self,
        exchange: Exchange,
        request: Request,
        key: RequestKey,
        answer: Attempted,
        result: _Result,
    ) -> None:
        """Retain a small answer whole, and pass a large one on."""
        kept = tuple(
            Header(name.decode('latin-1'), value.decode('latin-1'))
            for name, value in http_headers.for_caller(answer.answer.headers)
            if name.lower() != b'content-length'
        )
        status = answer.answer.status
        buffered = _Buffered(answer.answer.chunks())
        try:
            await buffered.fill(self._limits.max_retained_answer_bytes)
            if buffered.complete:
                answered = Answered(status, kept, buffered.data)
                self._desk.finish(key, answered)
                await self._replay(exchange, request, key, answered, result)
                return
            self._desk.finish(key, Answered(status, kept, None))
            answer.chunks = buffered.chunks()
            await self._relay(exchange, request, answer, result, key)
        except TruncatedBodyError as error:
            self._desk.finish(key, Unknown(f'answer cut short: {error}'))
            refusal = Refusal(
                RefusalKind.OUTCOME_UNKNOWN, f'answer cut short: {error}'
            )
            await self._refuse(
                exchange, request.request_id, refusal, result, key
            )
        finally:
            await answer.close()

    async def _relay(
        self,
        exchange: Exchange,
        request: Request,
        answer: Attempted,
        result: _Result,
        key: RequestKey | None = None,
    ) -> None:
        """Pass an answer on; one that was cut short is never finished."""
        result.outcome = 'answered'
        result.result = str(answer.answer.status)
        headers = http_headers.for_caller(answer.answer.headers)
        headers += self._own_headers(request.request_id, key)
        large = is_large(request.service)
        chunks = answer.chunks or answer.answer.chunks()
        limit_s = None
        if not large:
            limit_s = max(0.0, request.end_ms - self._clock()) / _MS_PER_S
        try:
            async with asyncio.timeout(limit_s):
                await exchange.start(answer.answer.status, headers)
                async for chunk in chunks:
                    await self._budgets.pace(
                        answer.permit.region,
                        self._region,
                        len(chunk),
                        large=large,
                    )
                    await exchange.write(chunk)
                await exchange.finish()
        except (TruncatedBodyError, TimeoutError) as error:
            # The exchange stays unfinished, so the caller sees a cut.
            result.outcome = 'cut'
            result.cause = str(error) or 'the deadline has passed'

    async def _replay(
        self,
        exchange: Exchange,
        request: Request,
        key: RequestKey,
        answered: Answered,
        result: _Result,
    ) -> None:
        assert answered.body is not None
        result.outcome, result.result = 'answered', str(answered.status)
        headers = [
            (item.name.encode('latin-1'), item.value.encode('latin-1'))
            for item in answered.headers
        ]
        headers += self._own_headers(request.request_id, key)
        await exchange.answer(answered.status, headers, answered.body)

    async def _refuse(
        self,
        exchange: Exchange,
        request_id: str,
        refusal: Refusal,
        result: _Result,
        key: RequestKey | None = None,
    ) -> None:
        result.result = refusal.kind.slug
        result.outcome = refusal.outcome
        result.cause = refusal.cause
        if exchange.answer_started:
            return
        headers = [
            (b'content-type', b'application/problem+json'),
            (b'request-outcome', refusal.outcome.encode()),
            *self._own_headers(request_id, key),
        ]
        if exchange.has_body:
            headers.append((b'connection', b'close'))
        body = refusal.encode(request_id)
        await exchange.answer(refusal.kind.status, headers, body)

    def _own_headers(
        self, request_id: str, key: RequestKey | None
    ) -> list[tuple[bytes, bytes]]:
        headers = []
        if request_id:
            headers.append((b'x-request-id', request_id.encode()))
        if isinstance(key, ScopedKey):
            headers.append((b'idempotency-key', str(key).encode()))
        if self._is_stopping():
            headers.append((b'connection', b'close'))
        return headers

    def _record(
        self,
        exchange: Exchange,
        request: Request | None,
        result: _Result,
        started_ms: float,
    ) -> None:
        duration_ms = self._clock() - started_ms
        service = request.name if request else ''
        self._metrics.on_request(service, result.outcome, duration_ms)
        if request is None:
            return
        decision = Decision(
            time_ms=started_ms,
            request_id=request.request_id,
            service=service,
            method=exchange.method,
            key=str(request.key or ''),
            revision=self._revision(),
            targets=tuple(result.targets),
            result=result.result,
            outcome=result.outcome,
            cause=result.cause,
            duration_ms=round(duration_ms, 3),
        )
        self._decisions.add(decision)
        if self._log_requests:
            logging.info('request', extra={'decision': decision})


class _Buffered:
    """A body whose first part is read ahead."""

    def __init__(self, source: AsyncIterator[bytes] | None) -> None:
        self._source = source
        self.data = b''
        self.complete = source is None

    async def fill(self, limit_bytes: int) -> None:
        """Read until the end or beyond a limit."""
        if self._source is None:
            return
        parts = []
        size = 0
        while size <= limit_bytes:
            chunk = await anext(self._source, None)
            if chunk is None:
                self.complete = True
                break
            parts.append(chunk)
            size += len(chunk)
        self.data = b''.join(parts)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Return the whole body."""
        if self.data:
            yield self.data
        if not self.complete and self._source is not None:
            async for chunk in self._source:
                yield chunk


def _fingerprint(exchange: Exchange, body: _Buffered) -> str:
    digest = hashlib.sha256(body.data[:KEYED_BODY_BYTES])
    length = exchange.header(b'content-length') or ''
    head = f'\0{exchange.method}\0{length}\0'.encode() + exchange.path
    digest.update(head)
    return digest.hexdigest()
