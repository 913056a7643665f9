"""Final answers to callers, from a target or from the node itself."""

from __future__ import annotations

from dataclasses import dataclass
import math
import random
from typing import TYPE_CHECKING

from gentianbank.platform import headers as wire
from gentianbank.policy.run_evidence import check_promise
from gentianbank.policy.run_evidence import RunEvidence
from gentianbank.steering.large_answers import CallerStalledError
from gentianbank.steering.large_answers import LargeAnswers
from gentianbank.targets.http_headers import find_header
from gentianbank.targets.transport import TruncatedBodyError

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.dataplane.exchange import Exchange
    from gentianbank.policy.placement import PlacementResult
    from gentianbank.steering.answer_body import AnswerBody
    from gentianbank.steering.caller_request import CallerRequest
    from gentianbank.steering.limit_detail import LimitDetail
    from gentianbank.steering.outcomes import Delivered
    from gentianbank.steering.reporter import Reporter
    from gentianbank.targets.transport import RawHeaders

RETRY_AFTER_MIN_MS = 150.0
RETRY_AFTER_MAX_MS = 600.0
# Callers wait for at most this fraction of the time that they have left.
MAX_RETRY_AFTER_FRACTION = 1 / 3
_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class Refusal:
    """A final answer that the node itself gives.

    Parameters
    ----------
    cause
        Reason; also the body of the answer.
    may_retry_later
        Whether the answer says when the caller may retry.
    attempts
        Number of targets that were tried.
    evidence
        What is known about whether the request has run.
    placement
        Result of the latest choice of a target.
    closes_connection
        Whether the connection ends, since the rest of the request's body is
        not read.
    retry_after_ms
        Time after which the caller may retry; ``None`` for a random one.
    limit
        The workspace's limit for which the request is refused, if any.
    """

    status: int
    cause: str
    may_retry_later: bool = False
    attempts: int = 0
    evidence: RunEvidence = RunEvidence.NEVER_SENT
    placement: PlacementResult | None = None
    closes_connection: bool = False
    retry_after_ms: float | None = None
    limit: LimitDetail | None = None

    def __post_init__(self) -> None:
        check_promise(self.status, self.evidence)


class AnswerWriter:
    """Sends final answers to callers.

    Parameters
    ----------
    is_stopping
        Returns whether the node is shutting down. If so, answers ask the
        caller to close the connection.
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        reporter: Reporter,
        is_stopping: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._reporter = reporter
        self._is_stopping = is_stopping
        self._clock = clock
        self._large_answers = LargeAnswers(clock)

    async def send_answer(
        self, exchange: Exchange, request: CallerRequest, answer: Delivered
    ) -> None:
        """Send a target's answer to the caller.

        If the target's answer ends early, or the caller does not read while
        another answer waits, the answer to the caller is left unfinished.
        The server then closes the connection, by which the caller detects
        that the answer is incomplete.
        """
        body = answer.body
        try:
            await exchange.wait_answer()
            self._reporter.on_answer(request, answer.status)
            await exchange.start(answer.status, self._build_headers(answer))
            if body.is_small:
                await _write(exchange, body)
            else:
                async with self._large_answers.open() as on_progress:
                    await _write(exchange, body, on_progress)
        except (TruncatedBodyError, CallerStalledError) as error:
            request_id = exchange.header(wire.REQUEST_ID) or ''
            self._reporter.on_answer_ended_early(request_id, str(error))
        finally:
            await body.close()

    def _build_headers(self, answer: Delivered) -> RawHeaders:
        headers = wire.for_caller(answer.headers)
        if self._is_stopping():
            headers.append((b'connection', b'close'))
        length = find_header(answer.headers, b'content-length')
        if answer.body.is_complete:
            length = str(answer.body.size_bytes).encode()
        if length is not None:
            headers.append((b'content-length', length))
        return headers

    async def send_refusal(
        self,
        exchange: Exchange,
        request: CallerRequest | None,
        refusal: Refusal,
    ) -> None:
        """Refuse a request.

        Parameters
        ----------
        request
            The request; ``None`` if it has no route.
        """
        await exchange.wait_answer()
        headers = [(b'content-type', b'text/plain')]
        request_id = exchange.header(wire.REQUEST_ID) or ''
        if request_id:
            headers.append((wire.REQUEST_ID, request_id.encode('latin-1')))
        if refusal.may_retry_later:
            headers.append(
                (wire.RETRY_AFTER, self._retry_after_value(request, refusal))
            )
        if self._is_stopping() or refusal.closes_connection:
            headers.append((b'connection', b'close'))
        self._reporter.on_refusal(
            request_id,
            request,
            status=refusal.status,
            cause=refusal.cause,
            attempts=refusal.attempts,
            evidence=refusal.evidence,
            placement=refusal.placement,
            limit=refusal.limit,
        )
        await exchange.answer(refusal.status, headers, refusal.cause.encode())

    def _retry_after_value(
        self, request: CallerRequest | None, refusal: Refusal
    ) -> bytes:
        if refusal.retry_after_ms is not None:
            wait_s = refusal.retry_after_ms / _MS_PER_S
            # Rounded up, since a caller that is early is refused again.
            return f'{math.ceil(wait_s * _MS_PER_S) / _MS_PER_S:.3f}'.encode()
        wait_ms = random.uniform(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
        if request is not None:
            left_ms = request.caller_deadline_ms - self._clock()
            wait_ms = min(wait_ms, left_ms * MAX_RETRY_AFTER_FRACTION)
        return f'{max(0.0, wait_ms) / _MS_PER_S:.3f}'.encode()


async def _write(
    exchange: Exchange,
    body: AnswerBody,
    on_progress: Callable[[], None] = lambda: None,
) -> None:
    async for part in body.parts():
        await exchange.write(part)
        on_progress()
    await exchange.finish()
