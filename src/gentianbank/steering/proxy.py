"""Request path: routes a caller's request to a target, with retries."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import functools
from typing import TYPE_CHECKING

from gentianbank.dataplane.exchange import CallerGoneError
from gentianbank.dataplane.exchange import cancel_when_gone
from gentianbank.platform import headers as wire
from gentianbank.policy.patience import PatienceMemory
from gentianbank.policy.placement import Full
from gentianbank.policy.placement import Placed
from gentianbank.policy.shared_allowance import SharedRetryBudget
from gentianbank.policy.split import WeightedTurns
from gentianbank.steering.caller_request import CallerRequest
from gentianbank.steering.caller_request import read_request
from gentianbank.steering.placer import Wanted
from gentianbank.steering.replies import Refusal
from gentianbank.steering.replies import Replies
from gentianbank.steering.request_body import read_body
from gentianbank.steering.request_body import RequestBody
from gentianbank.steering.sending import Cancelled
from gentianbank.steering.sending import Delivered
from gentianbank.steering.sending import NotReached
from gentianbank.steering.sending import Rejected
from gentianbank.steering.sending import Sending

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.dataplane.exchange import Exchange
    from gentianbank.domain.steering_settings import Bounds
    from gentianbank.policy.placement import Placement
    from gentianbank.steering.beliefs import Beliefs
    from gentianbank.steering.placer import Placer
    from gentianbank.steering.reporter import Reporter
    from gentianbank.steering.sending import Outcome
    from gentianbank.targets.transport import TargetTransport

# After this many failed connections a request is not retried.
MAX_NOT_REACHED = 3
_MS_PER_S = 1_000
_HTTP_FAILURE = 500


@dataclass(slots=True)
class _Tries:
    """Attempts of a request so far.

    Parameters
    ----------
    targets
        Ids of the targets that were tried.
    sent
        Attempts whose request may have reached a target.
    not_reached
        Attempts whose connection failed.
    may_have_run
        Whether a target may have run the request.
    failed
        Latest failure that a target answered with.
    placement
        Result of the latest choice of a target.
    """

    targets: list[str]
    sent: int = 0
    not_reached: int = 0
    may_have_run: bool = False
    failed: Delivered | None = None
    placement: Placement | None = None

    def note(self, outcome: Outcome, *, idempotent: bool) -> bool:
        """Record an attempt that gave no final answer.

        Returns
        -------
        bool
            Whether a retry is safe.
        """
        if isinstance(outcome, NotReached):
            self.not_reached += 1
            return self.not_reached < MAX_NOT_REACHED
        self.sent += 1
        if isinstance(outcome, Rejected):
            return True
        self.may_have_run = True
        if isinstance(outcome, Delivered):
            self.failed = outcome
        return idempotent


class Proxy:
    """Forwards callers' requests to targets.

    Parameters
    ----------
    is_stopping
        Returns whether the node is shutting down.
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        *,
        beliefs: Beliefs,
        placer: Placer,
        transport: TargetTransport,
        bounds: Bounds,
        reporter: Reporter,
        is_stopping: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._beliefs = beliefs
        self._placer = placer
        self._bounds = bounds
        self._clock = clock
        self._reporter = reporter
        self._replies = Replies(reporter, is_stopping, clock)
        self._sending = Sending(placer, transport, clock)
        self._turns: dict[str, WeightedTurns] = {}
        self._patience: dict[str, PatienceMemory] = {}
        self._budgets: dict[str, SharedRetryBudget] = {}
        self._refuses_new = False
        self.in_flight = 0

    def take_bounds(self, bounds: Bounds) -> None:
        """Apply changed bounds; the retry budgets start anew."""
        self._bounds = bounds
        self._budgets.clear()

    def refuse_new(self) -> None:
        """Refuse all requests that arrive from now on."""
        self._refuses_new = True

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request until it is answered or the caller leaves."""
        self.in_flight += 1
        came_ms = self._clock()
        try:
            await self._serve(exchange)
        except CallerGoneError:
            request_id = exchange.header(wire.REQUEST_ID) or ''
            self._reporter.on_caller_gone(request_id, came_ms)
        finally:
            self.in_flight -= 1

    async def _serve(self, exchange: Exchange) -> None:
        now_ms = self._clock()
        table = self._beliefs.table
        if table is None or self._refuses_new:
            cause = 'this node stops' if table else 'no configuration yet'
            refusal = Refusal(503, cause, retry=True)
            await self._replies.refuse(exchange, None, refusal)
            return
        host = (exchange.header(b'host') or '').lower()
        path = exchange.path.partition(b'?')[0].decode('latin-1')
        route = table.find(host, path)
        if route is None:
            await self._replies.refuse(
                exchange, None, Refusal(404, 'no such route')
            )
            return
        turns = self._turns.setdefault(route.name, WeightedTurns())
        service = turns.choose(route.parts)
        patience = self._patience.setdefault(route.name, PatienceMemory())
        request = read_request(exchange, route, service, patience, now_ms)
        if _declared_bytes(exchange) > table.limits.max_body_bytes:
            refusal = Refusal(413, 'body too large')
            await self._replies.refuse(exchange, request, refusal)
            return
        body = await read_body(exchange)
        work = self._run(exchange, request, body)
        if not body.is_held:
            await work
        elif not await cancel_when_gone(exchange, work):
            raise CallerGoneError

    async def _run(
        self, exchange: Exchange, request: CallerRequest, body: RequestBody
    ) -> None:
        """Send a request to targets until one answers or no retry is left."""
        budget = self._budget(request.service)
        budget.on_request(request.came_ms)
        tries = _Tries([])
        while True:
            now_ms = self._clock()
            placement = self._placer.choose(self._wanted(request, tries))
            tries.placement = placement
            if now_ms >= request.end_ms or not isinstance(placement, Placed):
                full = isinstance(placement, Full)
                cause = 'every target is busy' if full else 'no target'
                await self._give_up(exchange, request, tries, cause)
                return
            target = placement.target
            tries.targets.append(target.registration.target_id)
            outcome = await self._attempt(
                exchange, request, body, placement, len(tries.targets)
            )
            if _is_final(outcome):
                assert isinstance(outcome, Delivered)
                await self._replies.deliver(exchange, request, outcome)
                return
            idempotent = request.route.idempotent
            may_retry = tries.note(outcome, idempotent=idempotent)
            may_retry = may_retry and body.may_be_sent
            if not may_retry or not self._may_send_again(request, tries):
                await self._give_up(exchange, request, tries, outcome.cause)
                return

    async def _attempt(
        self,
        exchange: Exchange,
        request: CallerRequest,
        body: RequestBody,
        placed: Placed,
        attempt: int,
    ) -> Outcome:
        """Send a request to a target and report the outcome."""
        report = functools.partial(
            self._reporter.on_attempt, request, attempt, placed, self._clock()
        )
        try:
            outcome = await self._sending.send(exchange, request, body, placed)
        except asyncio.CancelledError:
            report(Cancelled(), final=False)
            raise
        report(outcome, final=_is_final(outcome))
        return outcome

    def _may_send_again(self, request: CallerRequest, tries: _Tries) -> bool:
        if tries.sent >= request.route.max_attempts:
            return False
        if not tries.sent:
            return True
        budget = self._budget(request.service)
        if not budget.try_spend(
            self._clock(), self._placer.nodes, returning=request.returning
        ):
            return False
        self._reporter.on_retry(request.service)
        return True

    def _wanted(self, request: CallerRequest, tries: _Tries) -> Wanted:
        now_ms = self._clock()
        return Wanted(
            route=request.route,
            service=request.service,
            topic=request.topic,
            left_ms=request.end_ms - now_ms,
            goal_left_ms=request.route.goal_ms - (now_ms - request.came_ms),
            tried=frozenset(tries.targets),
            spread=request.request_id,
            returning=request.returning,
        )

    def _budget(self, service: str) -> SharedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = SharedRetryBudget(
                self._bounds.retry_ratio,
                self._bounds.retry_slack,
                self._bounds.retry_window_s * _MS_PER_S,
            )
            self._budgets[service] = budget
        return budget

    async def _give_up(
        self,
        exchange: Exchange,
        request: CallerRequest,
        tries: _Tries,
        cause: str,
    ) -> None:
        """Send the final answer of a request that did not succeed.

        This is the latest failure of a target, if there is one. Else it is
        a refusal: 503 if no target has run the request, 504 if its time is
        up, and 502 otherwise.
        """
        if tries.failed is not None:
            await self._replies.deliver(exchange, request, tries.failed)
            return
        status = 502
        if not tries.may_have_run:
            status = 503
        elif self._clock() >= request.end_ms:
            status = 504
        refusal = Refusal(
            status,
            cause,
            retry=not tries.may_have_run,
            attempts=len(tries.targets),
            placement=tries.placement,
        )
        await self._replies.refuse(exchange, request, refusal)


def _is_final(outcome: Outcome) -> bool:
    return isinstance(outcome, Delivered) and outcome.status < _HTTP_FAILURE


def _declared_bytes(exchange: Exchange) -> int:
    length = exchange.header(b'content-length') or '0'
    return int(length) if length.isdecimal() else 0
