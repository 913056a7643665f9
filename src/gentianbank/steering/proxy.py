"""Request path: routes a caller's request to a target, with retries."""

from __future__ import annotations

import asyncio
import copy
from dataclasses import dataclass
import functools
from typing import TYPE_CHECKING

from gentianbank.dataplane.exchange import CallerDisconnectedError
from gentianbank.dataplane.exchange import run_until_disconnect
from gentianbank.domain.route_table import UnusableRoute
from gentianbank.platform import headers as wire
from gentianbank.policy.fleet_limits import SharedRetryBudget
from gentianbank.policy.placement import NoCapacity
from gentianbank.policy.placement import Placement
from gentianbank.policy.returning_callers import ReturningCallerDetector
from gentianbank.policy.weighted_round_robin import WeightedRoundRobin
from gentianbank.steering.admission import Admission
from gentianbank.steering.answers import AnswerWriter
from gentianbank.steering.answers import Refusal
from gentianbank.steering.attempt_history import AttemptHistory
from gentianbank.steering.caller_checks import CallerChecks
from gentianbank.steering.caller_request import CallerRequest
from gentianbank.steering.caller_request import read_request
from gentianbank.steering.fair_shares.waiting_requests import WaitingRequests
from gentianbank.steering.outcomes import Broken
from gentianbank.steering.outcomes import Cancelled
from gentianbank.steering.outcomes import Delivered
from gentianbank.steering.outcomes import Withheld
from gentianbank.steering.placer import PlacementRequest
from gentianbank.steering.request_body import BodyTooLargeError
from gentianbank.steering.request_body import read_body
from gentianbank.steering.request_body import RequestBody
from gentianbank.steering.sending import AttemptSender
from gentianbank.targets.http_headers import header_values

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.dataplane.exchange import Exchange
    from gentianbank.domain.route_table import CallerLimits
    from gentianbank.domain.route_table import Route
    from gentianbank.domain.route_table import RouteTable
    from gentianbank.domain.steering_settings import Bounds
    from gentianbank.domain.workspaces import KeyDigest
    from gentianbank.platform.credentials import NoKey
    from gentianbank.policy.attribution import Attributed
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.steering.fair_shares.fair_shares import FairShares
    from gentianbank.steering.leaving.leaving_targets import LeavingTargets
    from gentianbank.steering.outcomes import Outcome
    from gentianbank.steering.placer import Placer
    from gentianbank.steering.reporter import Reporter
    from gentianbank.steering.restart_checks import RestartChecks
    from gentianbank.steering.usage_caps.admission import UsageCaps
    from gentianbank.targets.transport import TargetTransport

_MS_PER_S = 1_000
# Targets close a connection on which an answer is left unread for longer.
MAX_UNREAD_MS = 3_000.0
_MIN_SERVER_ERROR = 500
_STOPPING = Refusal(503, 'this node stops', may_retry_later=True)


@dataclass(frozen=True, slots=True)
class _Identified:
    """The route and the caller of a request."""

    table: RouteTable
    route: Route
    caller: Attributed | None


@dataclass(frozen=True, slots=True)
class Preview:
    """A request as it would be read.

    Parameters
    ----------
    too_large
        The refusal for its size, if any.
    """

    request: CallerRequest
    too_large: Refusal | None


class Proxy:
    """Forwards callers' requests to targets.

    Parameters
    ----------
    is_stopping
        Returns whether the node is shutting down.
    started_ms
        Time when the node started.
    clock
        Returns the monotonic time in milliseconds.
    usage_caps
        Admits requests of workspaces with a cap; ``None`` to admit all.
    """

    def __init__(
        self,
        *,
        cluster_view: ClusterView,
        placer: Placer,
        fair_shares: FairShares,
        transport: TargetTransport,
        checks: RestartChecks,
        leaving: LeavingTargets,
        bounds: Bounds,
        reporter: Reporter,
        is_stopping: Callable[[], bool],
        started_ms: float,
        clock: Callable[[], float],
        usage_caps: UsageCaps | None = None,
    ) -> None:
        self._cluster_view = cluster_view
        self._started_ms = started_ms
        self._placer = placer
        self._admission = Admission(usage_caps, fair_shares)
        self._fair_shares = fair_shares
        self._waiting = WaitingRequests(cluster_view, placer, clock)
        self._bounds = bounds
        self._clock = clock
        self._reporter = reporter
        self._replies = AnswerWriter(reporter, is_stopping, clock)
        leaving.add_listener(self._waiting.on_target_leaves)
        self._sender = AttemptSender(placer, transport, checks, leaving, clock)
        self._caller_checks = CallerChecks(cluster_view, bounds, clock)
        self._service_turns: dict[str, WeightedRoundRobin] = {}
        self._patience: dict[str, ReturningCallerDetector] = {}
        self._retry_budgets: dict[str, SharedRetryBudget] = {}
        self._refuses_new_requests = False
        self.in_flight = 0

    def apply_bounds(self, bounds: Bounds) -> None:
        """Apply changed bounds."""
        self._bounds = bounds
        self._caller_checks.apply_bounds(bounds)
        for budget in self._retry_budgets.values():
            budget.apply(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_s * _MS_PER_S,
            )

    @property
    def read_ahead_bytes(self) -> int:
        """Return the bytes of answers that are read ahead of the callers."""
        return self._sender.read_ahead_budget.used_bytes

    def refuse_new_requests(self) -> None:
        """Refuse all requests that arrive from now on."""
        self._refuses_new_requests = True

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request until it is answered or the caller leaves."""
        self.in_flight += 1
        received_ms = self._clock()
        try:
            await self._serve(exchange)
        except CallerDisconnectedError:
            request_id = exchange.header(wire.REQUEST_ID) or ''
            self._reporter.on_caller_gone(request_id, received_ms)
        finally:
            self.in_flight -= 1

    async def _serve(self, exchange: Exchange) -> None:
        now_ms = self._clock()
        check = functools.partial(self._caller_checks.check, exchange)
        found = self._identify(exchange, check)
        if isinstance(found, Refusal):
            await self._replies.send_refusal(exchange, None, found)
            return
        route = found.route
        service_turns = self._service_turns.setdefault(
            route.name, WeightedRoundRobin()
        )
        patience = self._patience.setdefault(
            route.name, ReturningCallerDetector()
        )
        request = read_request(
            exchange,
            route,
            service_turns.choose(route.parts),
            patience,
            now_ms,
            found.caller,
        )
        limits = found.table.limits
        too_large = _check_size(exchange, limits)
        if too_large is not None:
            await self._replies.send_refusal(exchange, request, too_large)
            return
        try:
            await self._serve_with_body(exchange, request, limits)
        except BodyTooLargeError:
            refusal = Refusal(413, 'body too large', closes_connection=True)
            await self._replies.send_refusal(exchange, request, refusal)

    def preview(
        self, exchange: Exchange, key: KeyDigest | NoKey
    ) -> Preview | Refusal:
        """Return how a request would be read, without counting it.

        What counts requests is asked on copies.

        Parameters
        ----------
        key
            Digest of the caller's key, which is not in the headers here.
        """

        def check(
            table: RouteTable, route: Route
        ) -> Attributed | Refusal | None:
            return self._caller_checks.check_key(key, table, route)

        found = self._identify(exchange, check)
        if isinstance(found, Refusal):
            return found
        route = found.route
        turns = self._service_turns.get(route.name, WeightedRoundRobin())
        patience = self._patience.get(route.name, ReturningCallerDetector())
        request = read_request(
            exchange,
            route,
            copy.copy(turns).choose(route.parts),
            copy.copy(patience),
            self._clock(),
            found.caller,
        )
        return Preview(request, _check_size(exchange, found.table.limits))

    def _identify(
        self,
        exchange: Exchange,
        check: Callable[[RouteTable, Route], Attributed | Refusal | None],
    ) -> _Identified | Refusal:
        """Return the route and the caller of a request, or its refusal.

        Parameters
        ----------
        check
            Returns the caller's workspace, or the refusal of the request.
        """
        table = self._cluster_view.table
        if table is None:
            return Refusal(503, 'no configuration yet', may_retry_later=True)
        if self._refuses_new_requests:
            return _STOPPING
        host = (exchange.header(b'host') or '').lower()
        path = exchange.path.partition(b'?')[0].decode('latin-1')
        route = table.find(host, path)
        if route is None:
            return Refusal(404, 'no such route')
        if isinstance(route, UnusableRoute):
            return Refusal(503, 'the route cannot be read')
        if not _has_one_id(exchange):
            # No answer of a target could be told from one to another request.
            return Refusal(400, 'the request must have one request id')
        caller = check(table, route)
        if isinstance(caller, Refusal):
            return caller
        return _Identified(table, route, caller)

    async def _refuse_as_stopping(
        self, exchange: Exchange, request: CallerRequest | None
    ) -> None:
        await self._replies.send_refusal(exchange, request, _STOPPING)

    async def _serve_with_body(
        self, exchange: Exchange, request: CallerRequest, limits: CallerLimits
    ) -> None:
        """Read the body, at least in part, and send the request."""
        left_ms = request.deadline_ms - self._clock()
        try:
            async with asyncio.timeout(max(0.0, left_ms) / _MS_PER_S):
                body = await read_body(exchange, limits.max_body_bytes)
        except TimeoutError:
            cause = 'the body did not arrive in time'
            refusal = Refusal(408, cause, closes_connection=True)
            await self._replies.send_refusal(exchange, request, refusal)
            return
        if self._refuses_new_requests:
            await self._refuse_as_stopping(exchange, request)
            return
        work = self._send_until_answered(exchange, request, body)
        # While the body is streamed, reading it detects that the caller left.
        if not await run_until_disconnect(
            exchange, work, body.wait_read_to_end
        ):
            raise CallerDisconnectedError

    async def _send_until_answered(
        self, exchange: Exchange, request: CallerRequest, body: RequestBody
    ) -> None:
        """Send a request to targets until one answers or no retry is left."""
        if not await self._wait_begin(exchange, request):
            return
        budget = self._retry_budget(request.service)
        budget.on_request(request.received_ms)
        history = AttemptHistory()
        admitted = await self._admission.admit(request)
        if isinstance(admitted, Refusal):
            await self._replies.send_refusal(exchange, request, admitted)
            return
        history.cap_token = admitted
        try:
            await self._send_with_retries(exchange, request, body, history)
        finally:
            await history.close()

    async def _wait_begin(
        self, exchange: Exchange, request: CallerRequest
    ) -> bool:
        """Wait for earlier requests of the connection; false if refused.

        The wait counts against the deadline of the request, since its caller
        waits no longer.
        """
        if exchange.try_begin(runs_once=not request.route.idempotent):
            return True
        left_ms = request.deadline_ms - self._clock()
        try:
            async with asyncio.timeout(max(0.0, left_ms) / _MS_PER_S):
                await exchange.wait_begin()
        except TimeoutError:
            cause = 'earlier requests of the connection took too long'
            refusal = Refusal(503, cause, may_retry_later=True)
            await self._replies.send_refusal(exchange, request, refusal)
            return False
        if self._refuses_new_requests:
            await self._refuse_as_stopping(exchange, request)
            return False
        return True

    async def _send_with_retries(
        self,
        exchange: Exchange,
        request: CallerRequest,
        body: RequestBody,
        history: AttemptHistory,
    ) -> None:
        while True:
            now_ms = self._clock()
            placement = self._placer.choose(
                self.placement_request(request, history)
            )
            history.placement = placement
            if isinstance(
                placement, NoCapacity
            ) and await self._waiting.wait_for_room(request, placement):
                continue
            if now_ms >= request.deadline_ms or not isinstance(
                placement, Placement
            ):
                full = isinstance(placement, NoCapacity)
                cause = 'every target is busy' if full else 'no target'
                await self._send_failure(exchange, request, history, cause)
                return
            target = placement.target
            history.targets.append(target.registration.target_id)
            outcome = await self._attempt(
                exchange, request, body, placement, len(history.targets)
            )
            if _is_final(outcome):
                assert isinstance(outcome, Delivered)
                if body.can_be_sent and await self._asks_again(
                    exchange, request, history, outcome
                ):
                    continue
                self._fair_shares.on_answered(request)
                await self._replies.send_answer(exchange, request, outcome)
                return
            idempotent = request.route.idempotent
            may_retry = history.record(outcome, idempotent=idempotent)
            may_retry = may_retry and body.can_be_sent
            if (
                not may_retry
                or not self._claim_retry(request, history, outcome)
                or not await self._admit_again(request, history)
            ):
                await self._send_failure(
                    exchange, request, history, outcome.cause
                )
                return

    async def _asks_again(
        self,
        exchange: Exchange,
        request: CallerRequest,
        history: AttemptHistory,
        answer: Delivered,
    ) -> bool:
        """Wait for the turn of an answer of which a part is not held.

        Returns
        -------
        bool
            Whether the answer was given up, and the request is to be sent
            again. Only a request that may be repeated waits here.
        """
        if answer.body.is_complete:
            return False
        begin_ms = self._clock()
        try:
            await exchange.wait_answer()
        except BaseException:
            await answer.body.close()
            raise
        now_ms = self._clock()
        if now_ms - begin_ms < MAX_UNREAD_MS or now_ms >= request.deadline_ms:
            return False
        history.record(Broken('its answer was left unread'), idempotent=True)
        may_retry = self._claim_retry(request, history, answer)
        if not may_retry or not await self._admit_again(request, history):
            return False
        await answer.body.close()
        # The target has not failed, and may be asked once more.
        history.targets.pop()
        return True

    async def _attempt(
        self,
        exchange: Exchange,
        request: CallerRequest,
        body: RequestBody,
        placed: Placement,
        attempt: int,
    ) -> Outcome:
        """Send a request to a target and report the outcome."""
        report = functools.partial(
            self._reporter.on_attempt, request, attempt, placed, self._clock()
        )
        try:
            outcome = await self._sender.send(exchange, request, body, placed)
        except asyncio.CancelledError:
            report(Cancelled(), final=False)
            raise
        finally:
            self._waiting.on_attempt_ended(
                request.service, placed.target.registration.target_id
            )
        report(outcome, final=_is_final(outcome))
        return outcome

    async def _admit_again(
        self, request: CallerRequest, history: AttemptHistory
    ) -> bool:
        """Take another token if the last one is used up or too old.

        A token counts for a short time only. One that was taken long before
        the request is sent again would add to a later window of the cap.
        """
        if not history.may_have_run:
            if self._admission.is_current(history.cap_token):
                return True
            self._admission.give_back(history.cap_token)
            history.cap_token = None
        admitted = await self._admission.admit_run(request)
        if isinstance(admitted, Refusal):
            return False
        history.cap_token = admitted
        return True

    def _claim_retry(
        self, request: CallerRequest, history: AttemptHistory, last: Outcome
    ) -> bool:
        """Return whether the limits allow a retry, and count it if so.

        While no attempt may have reached a target, no limit applies here. An
        attempt that was withheld leaves what was claimed for it to the next.

        Parameters
        ----------
        last
            Outcome of the attempt before.
        """
        if isinstance(last, Withheld):
            return True
        if history.sent_count >= request.route.max_attempts:
            return False
        if not history.sent_count:
            return True
        budget = self._retry_budget(request.service)
        if not budget.try_spend(
            self._clock(),
            self._placer.quotas.even_part(),
            returning=request.was_refused_before,
        ):
            return False
        self._reporter.on_retry(request.service)
        return True

    def placement_request(
        self, request: CallerRequest, history: AttemptHistory
    ) -> PlacementRequest:
        """Return what decides on the target of a request."""
        now_ms = self._clock()
        return PlacementRequest(
            route=request.route,
            service=request.service,
            topic=request.topic,
            time_left_ms=request.deadline_ms - now_ms,
            objective_left_ms=request.route.latency_objective_ms
            - (now_ms - request.received_ms),
            tried_targets=frozenset(history.targets),
            spread_key=request.request_id,
            was_refused_before=request.was_refused_before,
            allowed_regions=request.allowed_regions,
            workspace=request.workspace,
        )

    def _retry_budget(self, service: str) -> SharedRetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = SharedRetryBudget(
                self._bounds.retry_ratio,
                self._bounds.retry_slack,
                self._bounds.retry_window_s * _MS_PER_S,
                self._started_ms,
            )
            self._retry_budgets[service] = budget
        return budget

    async def _send_failure(
        self,
        exchange: Exchange,
        request: CallerRequest,
        history: AttemptHistory,
        cause: str,
    ) -> None:
        """Send the final answer of a request that did not succeed.

        This is the latest failure of a target, if there is one. Else it is
        a refusal: 503 if no target has run the request, 504 if its time is
        up, and 502 otherwise.
        """
        if history.failed_answers:
            self._fair_shares.on_answered(request)
            await self._replies.send_answer(
                exchange, request, history.failed_answers[-1]
            )
            return
        status = 502
        if not history.may_have_run:
            status = 503
            self._admission.give_back(history.cap_token)
            if history.sent_count or isinstance(history.placement, NoCapacity):
                self._fair_shares.on_no_room(request)
        elif self._clock() >= request.deadline_ms:
            status = 504
        refusal = Refusal(
            status,
            cause,
            may_retry_later=not history.may_have_run,
            attempts=len(history.targets),
            evidence=history.evidence,
            placement=history.placement,
        )
        await self._replies.send_refusal(exchange, request, refusal)


def _is_final(outcome: Outcome) -> bool:
    return (
        isinstance(outcome, Delivered) and outcome.status < _MIN_SERVER_ERROR
    )


def _has_one_id(exchange: Exchange) -> bool:
    ids = header_values(exchange.raw_headers, wire.REQUEST_ID)
    return len(ids) == 1 and bool(ids[0])


def _check_size(exchange: Exchange, limits: CallerLimits) -> Refusal | None:
    if _declared_bytes(exchange) > limits.max_body_bytes:
        return Refusal(413, 'body too large')
    return None


def _declared_bytes(exchange: Exchange) -> int:
    length = exchange.header(b'content-length') or '0'
    return int(length) if length.isdecimal() else 0
