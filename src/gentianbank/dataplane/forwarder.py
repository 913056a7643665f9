"""Forwards requests of callers to targets and answers back to them."""

from __future__ import annotations

import asyncio
import hashlib
import secrets
from typing import TYPE_CHECKING

from absl import logging
from expression import Error
from expression import Result

from gentianbank.dataplane import headers as http_headers
from gentianbank.dataplane.answers import Progress
from gentianbank.dataplane.buffered import BufferedBody
from gentianbank.dataplane.decisions import Decision
from gentianbank.dataplane.exchange import CallerDisconnectedError
from gentianbank.dataplane.exchange import run_until_disconnect
from gentianbank.dataplane.refusal import Refusal
from gentianbank.dataplane.refusal import RefusalKind
from gentianbank.dataplane.request import parse_key_header
from gentianbank.dataplane.request import parse_request
from gentianbank.dataplane.request import Request
from gentianbank.dataplane.request import service_name_in_path
from gentianbank.domain.outcome import Answered
from gentianbank.domain.outcome import Header
from gentianbank.domain.outcome import NotRun
from gentianbank.domain.outcome import Unknown
from gentianbank.domain.request_key import ScopedKey
from gentianbank.targets.transport import TruncatedBodyError

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.dataplane.answers import AnswerWriter
    from gentianbank.dataplane.attempts import OpenAnswer
    from gentianbank.dataplane.attempts import RetryingSender
    from gentianbank.dataplane.decisions import DecisionLog
    from gentianbank.dataplane.exchange import Exchange
    from gentianbank.dataplane.outcomes import KeyAdmission
    from gentianbank.dataplane.routing import Routing
    from gentianbank.domain.request_key import RequestKey
    from gentianbank.domain.settings import Limits
    from gentianbank.telemetry.metrics import Metrics

FINGERPRINTED_BODY_BYTES = 256 * 1024
_MS_PER_S = 1_000


class Forwarder:
    """Serves the requests for services.

    Parameters
    ----------
    clock
        Returns the monotonic time in milliseconds.
    revision
        Returns the revision in force.
    is_stopping
        Returns whether new requests are refused because of a shutdown.
    """

    def __init__(
        self,
        *,
        limits: Limits,
        routing: Routing,
        retrying_sender: RetryingSender,
        answer_writer: AnswerWriter,
        key_admission: KeyAdmission,
        decisions: DecisionLog,
        metrics: Metrics,
        clock: Callable[[], float],
        revision: Callable[[], int],
        is_stopping: Callable[[], bool],
        log_requests: bool,
    ) -> None:
        self._limits = limits
        self._routing = routing
        self._retrying_sender = retrying_sender
        self._answer_writer = answer_writer
        self._key_admission = key_admission
        self._decisions = decisions
        self._metrics = metrics
        self._clock = clock
        self._revision = revision
        self._is_stopping = is_stopping
        self._log_requests = log_requests
        self.in_flight = 0
        self._execution_tasks: set[asyncio.Task[None]] = set()

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request until it is answered or the caller is gone."""
        started_ms = self._clock()
        progress = Progress()
        self.in_flight += 1
        request: Request | None = None
        try:
            match self._admit(exchange, started_ms):
                case Result(tag='ok', ok=request):
                    await self._serve_request(exchange, request, progress)
                case Result(error=refusal):
                    refusal = self._refusal_before_admission(exchange, refusal)
                    await self._answer_writer.refuse(
                        exchange, '', refusal, progress
                    )
        except CallerDisconnectedError:
            progress.result = 'caller-gone'
        finally:
            self.in_flight -= 1
            self._record_decision(exchange, request, progress, started_ms)

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        while self.in_flight or self._execution_tasks:
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

    def _refusal_before_admission(
        self, exchange: Exchange, refusal: Refusal
    ) -> Refusal:
        """Return the refusal to send if the key has not been admitted.

        An earlier request with the same key may have run, so a plain *not
        run* could be untrue of the key.
        """
        match parse_key_header(exchange, service_name_in_path(exchange)):
            case Result(tag='ok', ok=key):
                return self._key_admission.refuse_unadmitted(key, refusal)
        # Every node refuses a malformed key, so no earlier request with it
        # can have run.
        return refusal

    async def _serve_request(
        self, exchange: Exchange, request: Request, progress: Progress
    ) -> None:
        if request.idempotent:
            work = self._serve_idempotent(exchange, request, progress)
            if exchange.has_body:
                await work
            elif not await run_until_disconnect(exchange, work):
                raise CallerDisconnectedError
        else:
            await self._serve_non_idempotent(exchange, request, progress)

    async def _serve_idempotent(
        self, exchange: Exchange, request: Request, progress: Progress
    ) -> None:
        body = exchange.body() if exchange.has_body else None
        attempted = await self._retrying_sender.run(
            request, body, '', progress.targets
        )
        match attempted:
            case Result(tag='ok', ok=answer):
                try:
                    await self._answer_writer.relay(
                        exchange, request, answer, progress
                    )
                finally:
                    await answer.close()
            case Result(error=refusal):
                await self._answer_writer.refuse(
                    exchange, request.request_id, refusal, progress
                )

    async def _serve_non_idempotent(
        self, exchange: Exchange, request: Request, progress: Progress
    ) -> None:
        """Serve a request that may run at most once."""
        head = BufferedBody(exchange.body() if exchange.has_body else None)
        await head.fill(FINGERPRINTED_BODY_BYTES)
        fingerprint = _fingerprint(exchange, head)
        key = request.key or ScopedKey(
            self._key_admission.table.incarnation,
            self._key_admission.table.epoch_at(self._key_admission.clock()),
            f'{request.request_id}-{secrets.token_hex(4)}',
        )
        remaining_ms = request.end_ms - self._clock()
        match await self._key_admission.admit(key, fingerprint, remaining_ms):
            case Result(tag='ok', ok=Answered() as answered):
                await self._answer_writer.replay(
                    exchange, request, key, answered, progress
                )
            case Result(tag='ok'):
                await self._execute_in_task(
                    exchange, request, key, head, progress
                )
            case Result(error=refusal):
                await self._answer_writer.refuse(
                    exchange, request.request_id, refusal, progress
                )

    async def _execute_in_task(
        self,
        exchange: Exchange,
        request: Request,
        key: RequestKey,
        body: BufferedBody,
        progress: Progress,
    ) -> None:
        """Run a request with a key in a task of its own.

        The task goes on if the caller disconnects, so that the outcome of
        the key is recorded.
        """
        task = asyncio.create_task(
            self._execute(exchange, request, key, body, progress)
        )
        self._execution_tasks.add(task)
        task.add_done_callback(self._execution_tasks.discard)
        await asyncio.shield(task)

    async def _execute(
        self,
        exchange: Exchange,
        request: Request,
        key: RequestKey,
        body: BufferedBody,
        progress: Progress,
    ) -> None:
        try:
            attempted = await self._retrying_sender.run(
                request,
                body.chunks() if exchange.has_body else None,
                str(key),
                progress.targets,
            )
        except CallerDisconnectedError:
            self._key_admission.finish(key, Unknown('the caller broke off'))
            progress.result, progress.outcome = 'caller-gone', 'unknown'
            return
        except BaseException:
            self._key_admission.finish(
                key, Unknown('the node gave the request up')
            )
            raise
        match attempted:
            case Result(tag='ok', ok=answer):
                await self._finish_answered(
                    exchange, request, key, answer, progress
                )
            case Result(error=refusal):
                if refusal.kind.may_have_run:
                    self._key_admission.finish(key, Unknown(refusal.cause))
                else:
                    self._key_admission.finish(key, NotRun(refusal.cause))
                await self._answer_writer.refuse(
                    exchange, request.request_id, refusal, progress, key
                )

    async def _finish_answered(
        self,
        exchange: Exchange,
        request: Request,
        key: RequestKey,
        answer: OpenAnswer,
        progress: Progress,
    ) -> None:
        """Record the outcome of an answered request and answer the caller.

        An answer within the size limit is retained whole, so that retries
        get it again. A larger one is relayed without retaining its body.
        """
        retained_headers = tuple(
            Header(name.decode('latin-1'), value.decode('latin-1'))
            for name, value in http_headers.for_caller(answer.answer.headers)
            if name.lower() != b'content-length'
        )
        status = answer.answer.status
        buffered = BufferedBody(answer.chunks)
        try:
            await buffered.fill(self._limits.max_retained_answer_bytes)
            if buffered.is_complete:
                answered = Answered(status, retained_headers, buffered.data)
                self._key_admission.finish(key, answered)
                await self._answer_writer.replay(
                    exchange, request, key, answered, progress
                )
                return
            self._key_admission.finish(
                key, Answered(status, retained_headers, None)
            )
            answer.chunks = buffered.chunks()
            await self._answer_writer.relay(
                exchange, request, answer, progress, key
            )
        except TruncatedBodyError as error:
            cause = f'answer cut short: {error}'
            self._key_admission.finish(key, Unknown(cause))
            refusal = Refusal(RefusalKind.OUTCOME_UNKNOWN, cause)
            await self._answer_writer.refuse(
                exchange, request.request_id, refusal, progress, key
            )
        finally:
            await answer.close()

    def _record_decision(
        self,
        exchange: Exchange,
        request: Request | None,
        progress: Progress,
        started_ms: float,
    ) -> None:
        duration_ms = self._clock() - started_ms
        service = request.service_name if request else ''
        self._metrics.on_request(service, progress.outcome, duration_ms)
        if request is None:
            return
        decision = Decision(
            time_ms=started_ms,
            request_id=request.request_id,
            service=service,
            method=exchange.method,
            key=str(request.key or ''),
            revision=self._revision(),
            targets=tuple(progress.targets),
            result=progress.result,
            outcome=progress.outcome,
            cause=progress.cause,
            duration_ms=round(duration_ms, 3),
        )
        self._decisions.add(decision)
        if self._log_requests:
            logging.info('request', extra={'decision': decision})


def _fingerprint(exchange: Exchange, body: BufferedBody) -> str:
    """Return a digest that tells different requests of one key apart.

    It covers the method, the path, the announced length and the start of
    the body.
    """
    digest = hashlib.sha256(body.data[:FINGERPRINTED_BODY_BYTES])
    length = exchange.header(b'content-length') or ''
    head = f'\0{exchange.method}\0{length}\0'.encode() + exchange.path
    digest.update(head)
    return digest.hexdigest()
