"""Sends a request to a chosen target and classifies the answer."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from absl import logging
from expression import Result

from gentianbank.domain.load_report import UnreadableReport
from gentianbank.domain.request_limit import UnreadableLimit
from gentianbank.platform import headers as wire
from gentianbank.policy.buffer_budget import BufferBudget
from gentianbank.policy.placement import ROUND_TRIP_MS
from gentianbank.policy.route_times import Answer
from gentianbank.policy.run_evidence import AnswerMeaning
from gentianbank.steering.answer_body import AnswerBody
from gentianbank.steering.answer_body import READ_AHEAD_BUDGET_BYTES
from gentianbank.steering.outcomes import Broken
from gentianbank.steering.outcomes import Delivered
from gentianbank.steering.outcomes import NotReached
from gentianbank.steering.outcomes import Rejected
from gentianbank.steering.outcomes import Withheld
from gentianbank.targets.http_headers import find_header
from gentianbank.targets.transport import BodyConnectionLostError
from gentianbank.targets.transport import ConnectionLost
from gentianbank.targets.transport import NotAllowed
from gentianbank.targets.transport import NotSent
from gentianbank.targets.transport import TargetRequest
from gentianbank.targets.transport import TruncatedBodyError
from gentianbank.targets.transport import Unreachable

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.dataplane.exchange import Exchange
    from gentianbank.domain.load_report import LoadReport
    from gentianbank.policy.placement import Placement
    from gentianbank.policy.target_load import TargetLoad
    from gentianbank.steering.caller_request import CallerRequest
    from gentianbank.steering.leaving.leaving_targets import LeavingTargets
    from gentianbank.steering.outcomes import Outcome
    from gentianbank.steering.placer import Placer
    from gentianbank.steering.request_body import RequestBody
    from gentianbank.steering.restart_checks import RestartChecks
    from gentianbank.targets.transport import RawHeaders
    from gentianbank.targets.transport import TargetAnswer
    from gentianbank.targets.transport import TargetTransport

CONNECT_TIMEOUT_MS = 300.0
_MIN_SERVER_ERROR = 500
_SUCCESS_STATUSES = range(200, 300)


class AttemptSender:
    """Sends requests to chosen targets and records the outcomes."""

    def __init__(
        self,
        placer: Placer,
        transport: TargetTransport,
        checks: RestartChecks,
        leaving: LeavingTargets,
        clock: Callable[[], float],
    ) -> None:
        self._placer = placer
        self._checks = checks
        self._leaving = leaving
        self._transport = transport
        self._clock = clock
        self.read_ahead_budget = BufferBudget(READ_AHEAD_BUDGET_BYTES)

    async def send(
        self,
        exchange: Exchange,
        request: CallerRequest,
        body: RequestBody,
        placed: Placement,
    ) -> Outcome:
        """Send a request to the chosen target."""
        target = placed.target
        sent_ms = self._clock()
        target.on_send(sent_ms, request.topic)
        pacing = self._placer.pacing
        if pacing is not None:
            pacing.on_send(placed, id(placed))
        try:
            outcome = await self._send(exchange, request, body, placed)
        finally:
            target.on_end()
            if pacing is not None:
                pacing.on_end(placed, id(placed))
        self._record_pace(request, placed, outcome, sent_ms)
        return outcome

    def _record_pace(
        self,
        request: CallerRequest,
        placed: Placement,
        outcome: Outcome,
        sent_ms: float,
    ) -> None:
        pacing = self._placer.pacing
        if pacing is None:
            return
        match outcome:
            case Withheld():
                pass
            case Rejected():
                pacing.on_rejected(placed.target)
            case Delivered(status) if status in _SUCCESS_STATUSES:
                times = self._placer.route_times(request.route)
                time_ms = self._clock() - sent_ms
                pacing.on_success(placed, times, request.topic, time_ms)
            case Delivered(status) if status < _MIN_SERVER_ERROR:
                pass
            case _:
                pacing.on_failed(placed.target)

    async def _send(
        self,
        exchange: Exchange,
        request: CallerRequest,
        body: RequestBody,
        placed: Placement,
    ) -> Outcome:
        sent_ms = self._clock()
        target = placed.target
        target_request = self._build_target_request(
            exchange, request, body, target
        )
        match await self._transport.send(target_request):
            case Result(tag='ok', ok=answer):
                answer_body = AnswerBody(
                    answer,
                    exchange.answer_budget(self.read_ahead_budget),
                    request.deadline_ms,
                    self._clock,
                    functools.partial(self._on_cut, target),
                )
                return await self._read_answer(
                    request, answer, answer_body, placed, sent_ms
                )
            case Result(error=NotAllowed(cause)):
                return Withheld(cause)
            case Result(error=NotSent(cause) as error):
                target.on_unreachable(self._clock())
                if isinstance(error, Unreachable):
                    self._checks.on_connection_lost(target)
                return NotReached(cause)
            case Result(error=error):
                target.on_broken(self._clock())
                if isinstance(error, ConnectionLost):
                    self._checks.on_connection_lost(target)
                return Broken(error.cause)

    def _build_target_request(
        self,
        exchange: Exchange,
        request: CallerRequest,
        body: RequestBody,
        target: TargetLoad,
    ) -> TargetRequest:
        left_ms = request.deadline_ms - self._clock()

        def owns_answer(headers: RawHeaders) -> bool:
            return wire.may_answer(headers, request.request_id)

        return TargetRequest(
            address=target.registration.address,
            method=exchange.method,
            path=exchange.path,
            headers=wire.for_target(
                exchange.raw_headers,
                target_id=target.registration.target_id,
                time_left_ms=left_ms,
                body=body.framing,
                identity=request.identity,
            ),
            body=body.content(),
            max_connections=self._placer.quotas.max_connections_per_target(
                request.service
            ),
            connect_timeout_ms=min(CONNECT_TIMEOUT_MS, left_ms),
            headers_timeout_ms=left_ms,
            request_id=request.request_id,
            owns_answer=owns_answer,
            may_send=functools.partial(self._leaving.may_send, target),
            on_head=functools.partial(
                self._leaving.on_head, target, request_id=request.request_id
            ),
        )

    async def _read_answer(
        self,
        request: CallerRequest,
        answer: TargetAnswer,
        body: AnswerBody,
        placed: Placement,
        sent_ms: float,
    ) -> Outcome:
        """Read the answer and record the load and health of the target."""
        target = placed.target
        status, headers = answer.status, answer.headers
        meaning = wire.judge(status, headers, request.request_id)
        if meaning is AnswerMeaning.NAMES_OTHERS:
            # It may be an earlier answer that is sent once more.
            await answer.close()
            target.on_broken(self._clock())
            return _unusable(status, meaning)
        load = self._record_load(target, headers)
        if not wire.is_misdirected(status):
            self._record_limit(target, headers, sent_ms)
            if _shows_staying(headers, meaning):
                self._leaving.on_not_said(target, sent_ms, 'answer')
        unusable: Rejected | Broken | None
        unusable = await self._read_ahead(status, body)
        unusable = unusable or self._check_answer(answer, meaning, target)
        if unusable is not None:
            await body.close()
            return unusable
        if status in _SUCCESS_STATUSES:
            self._record_time(request, placed, load, sent_ms, body.size_bytes)
        return Delivered(status, headers, body)

    async def _read_ahead(
        self, status: int, body: AnswerBody
    ) -> Broken | None:
        """Read the body as far as it may be held; return what went wrong."""
        try:
            await body.read_ahead()
        except TruncatedBodyError as error:
            return Broken(f'the answer was cut short: {error}')
        except BaseException:
            await body.close()
            raise
        if not body.is_complete and status not in _SUCCESS_STATUSES:
            return Broken('the failure of the target is too large')
        return None

    def _on_cut(self, target: TargetLoad, error: TruncatedBodyError) -> None:
        """Record that a target did not end its answer, or not in time."""
        target.on_broken(self._clock())
        if isinstance(error, BodyConnectionLostError):
            self._checks.on_connection_lost(target)

    def _check_answer(
        self, answer: TargetAnswer, meaning: AnswerMeaning, target: TargetLoad
    ) -> Rejected | Broken | None:
        """Record the health of the target; return why it is no result."""
        status = answer.status
        if meaning is AnswerMeaning.REJECTION and answer.is_followed:
            # The bytes behind it may be the result of the request.
            target.on_broken(self._clock())
            return Broken('further bytes follow the rejection')
        if wire.is_misdirected(status):
            target.on_misdirected(self._clock())
        else:
            target.on_answer(failed=_is_failure(status, meaning))
        if meaning is AnswerMeaning.REJECTION:
            return Rejected(f'the target answered {status}')
        if meaning is not AnswerMeaning.RESULT:
            return _unusable(status, meaning)
        is_success = status in _SUCCESS_STATUSES
        if is_success and not _has_target_headers(answer.headers):
            return Broken("the answer is not the target's own")
        return None

    def _record_time(
        self,
        request: CallerRequest,
        placed: Placement,
        load: LoadReport | None,
        sent_ms: float,
        size_bytes: int,
    ) -> None:
        """Record the work time and size of a success.

        After a wait in the target's queue the time is not that of the work
        alone.
        """
        if placed.wait_ms:
            return
        work_ms = max(0.0, self._clock() - sent_ms - ROUND_TRIP_MS)
        slowdown = load.slowdown if load else 1.0
        answer = Answer(work_ms / slowdown, size_bytes, placed.warm)
        self._placer.on_work_done(request.route, request.service, answer)

    def _record_load(
        self, target: TargetLoad, headers: RawHeaders
    ) -> LoadReport | None:
        """Record and return the load report; ``None`` if there is none."""
        now_ms = self._clock()
        load = wire.decode_load_report(headers)
        if isinstance(load, UnreadableReport):
            if target.on_unreadable_report(now_ms):
                logging.warning(
                    'load report of a target cannot be read',
                    extra={
                        'target': target.registration.target_id,
                        'cause': load.text,
                    },
                )
            return None
        if load is not None:
            target.on_report(load, now_ms)
        return load

    def _record_limit(
        self, target: TargetLoad, headers: RawHeaders, sent_ms: float
    ) -> None:
        statement = wire.decode_request_limit(headers)
        target_id = target.registration.target_id
        if isinstance(statement, UnreadableLimit):
            if target.limit.is_new_text(statement):
                logging.warning(
                    'limit of a target cannot be read',
                    extra={'target': target_id, 'cause': statement.text},
                )
            return
        if target.limit.on_answer(statement, sent_ms, self._clock()):
            part = self._placer.quotas.limit_part(target)
            logging.info(
                'limit of a target changed',
                extra={
                    'target': target_id,
                    'limit_per_s': target.limit.requests_per_s,
                    'quota': part.quota if part else None,
                },
            )


def _is_failure(status: int, meaning: AnswerMeaning) -> bool:
    """Return whether an answer counts against the health of its target."""
    if meaning is AnswerMeaning.RESULT:
        return status >= _MIN_SERVER_ERROR
    return meaning is not AnswerMeaning.REJECTION


def _shows_staying(headers: RawHeaders, meaning: AnswerMeaning) -> bool:
    """Return whether a target's own answer does not say that it leaves."""
    if wire.says_leaving(headers):
        return False
    if meaning is AnswerMeaning.RESULT:
        return _has_target_headers(headers)
    return meaning is AnswerMeaning.REJECTION


def _unusable(status: int, meaning: AnswerMeaning) -> Broken:
    return Broken(f'the target answered {status}: {meaning.value}')


def _has_target_headers(headers: RawHeaders) -> bool:
    """Return whether a success has the headers of a target's own answer.

    A target always sends its stamp and the request id, and no content
    encoding.
    """
    if find_header(headers, wire.STAMP) is None:
        return False
    if find_header(headers, wire.REQUEST_ID) is None:
        return False
    return find_header(headers, wire.CONTENT_ENCODING) is None
