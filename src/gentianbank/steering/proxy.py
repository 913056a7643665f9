"""The request path: from a caller to a target and back."""

from __future__ import annotations

from dataclasses import dataclass
import random
from typing import TYPE_CHECKING

from absl import logging

from gentianbank.dataplane.exchange import CallerGoneError
from gentianbank.dataplane.exchange import cancel_when_gone
from gentianbank.platform import headers as wire
from gentianbank.policy.placement import Full
from gentianbank.policy.placement import Placed
from gentianbank.policy.shared_allowance import SharedRetryBudget
from gentianbank.policy.split import WeightedTurns
from gentianbank.steering.caller_request import CallerRequest
from gentianbank.steering.caller_request import read_request
from gentianbank.steering.placer import Wanted
from gentianbank.steering.request_body import read_body
from gentianbank.steering.request_body import RequestBody
from gentianbank.steering.sending import Broken
from gentianbank.steering.sending import Delivered
from gentianbank.steering.sending import NotReached
from gentianbank.steering.sending import Rejected
from gentianbank.steering.sending import Sending
from gentianbank.targets.transport import TruncatedBodyError

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.dataplane.exchange import Exchange
    from gentianbank.domain.steering_settings import Bounds
    from gentianbank.steering.beliefs import Beliefs
    from gentianbank.steering.placer import Placer
    from gentianbank.targets.transport import RawHeaders
    from gentianbank.targets.transport import TargetTransport

# Connections that may fail before a request is refused.
MAX_NOT_REACHED = 3
RETRY_AFTER_MIN_MS = 150.0
RETRY_AFTER_MAX_MS = 600.0
# Callers honour at most this part of the time that they have left.
RETRY_AFTER_FRACTION = 1 / 3
_MS_PER_S = 1_000
_HTTP_FAILURE = 500


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer of the node's own.

    Parameters
    ----------
    retry
        Whether the caller is told when to come back.
    """

    status: int
    cause: str
    retry: bool = False


@dataclass(slots=True)
class _Tries:
    """What was tried for a request so far."""

    targets: list[str]
    sent: int = 0
    not_reached: int = 0
    may_have_run: bool = False
    failed: Delivered | None = None


class Proxy:
    """Serves callers' requests.

    Parameters
    ----------
    is_stopping
        Tells whether callers are asked to leave.
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
        is_stopping: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._beliefs = beliefs
        self._placer = placer
        self._bounds = bounds
        self._is_stopping = is_stopping
        self._clock = clock
        self._sending = Sending(placer, transport, clock)
        self._turns: dict[str, WeightedTurns] = {}
        self._budgets: dict[str, SharedRetryBudget] = {}
        self._refuses_new = False
        self.in_flight = 0

    def refuse_new(self) -> None:
        """Refuse every request that comes from now on."""
        self._refuses_new = True

    async def serve(self, exchange: Exchange) -> None:
        """Serve one exchange to its end."""
        self.in_flight += 1
        try:
            await self._serve(exchange)
        except CallerGoneError:
            logging.debug('caller gone')
        finally:
            self.in_flight -= 1

    async def _serve(self, exchange: Exchange) -> None:
        now_ms = self._clock()
        table = self._beliefs.table
        if table is None or self._refuses_new:
            cause = 'this node stops' if table else 'no configuration yet'
            refusal = Refusal(503, cause, retry=True)
            await self._refuse(exchange, None, refusal)
            return
        host = (exchange.header(b'host') or '').lower()
        path = exchange.path.partition(b'?')[0].decode('latin-1')
        route = table.find(host, path)
        if route is None:
            await self._refuse(exchange, None, Refusal(404, 'no such route'))
            return
        turns = self._turns.setdefault(route.name, WeightedTurns())
        service = turns.choose(route.parts)
        request = read_request(exchange, route, service, now_ms)
        if _declared_bytes(exchange) > table.limits.max_body_bytes:
            refusal = Refusal(413, 'body too large')
            await self._refuse(exchange, request, refusal)
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
        """Send a request until a target answers or none may be tried."""
        budget = self._budget(request.service)
        budget.on_request(request.came_ms)
        tries = _Tries([])
        while True:
            now_ms = self._clock()
            placement = self._placer.choose(self._wanted(request, tries))
            if now_ms >= request.end_ms or not isinstance(placement, Placed):
                full = isinstance(placement, Full)
                cause = 'every target is busy' if full else 'no target'
                await self._give_up(exchange, request, tries, cause)
                return
            target = placement.target
            tries.targets.append(target.registration.target_id)
            outcome = await self._sending.send(
                exchange, request, body, placement
            )
            match outcome:
                case Delivered() if outcome.status < _HTTP_FAILURE:
                    await self._deliver(exchange, request, outcome)
                    return
                case Delivered():
                    tries.sent += 1
                    tries.failed = outcome
                    tries.may_have_run = True
                    may_retry = request.route.idempotent
                case Rejected():
                    tries.sent += 1
                    may_retry = True
                case NotReached():
                    tries.not_reached += 1
                    may_retry = tries.not_reached < MAX_NOT_REACHED
                case Broken():
                    tries.sent += 1
                    tries.may_have_run = True
                    may_retry = request.route.idempotent
            logging.info(
                'attempt failed',
                extra={
                    'request': request.request_id.decode('latin-1'),
                    'target': target.registration.target_id,
                    'outcome': type(outcome).__name__,
                    'cause': outcome.cause,
                },
            )
            may_retry = may_retry and body.may_be_sent
            if not may_retry or not self._may_send_again(request, tries):
                await self._give_up(exchange, request, tries, outcome.cause)
                return

    def _may_send_again(self, request: CallerRequest, tries: _Tries) -> bool:
        if tries.sent >= request.route.max_attempts:
            return False
        if not tries.sent:
            return True
        budget = self._budget(request.service)
        return budget.try_spend(self._clock(), self._placer.nodes)

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
        """Send the final answer of a request that no target answered."""
        if tries.failed is not None:
            await self._deliver(exchange, request, tries.failed)
            return
        if not tries.may_have_run:
            refusal = Refusal(503, cause, retry=True)
        elif self._clock() >= request.end_ms:
            refusal = Refusal(504, cause)
        else:
            refusal = Refusal(502, cause)
        await self._refuse(exchange, request, refusal)

    async def _deliver(
        self, exchange: Exchange, request: CallerRequest, answer: Delivered
    ) -> None:
        headers = wire.for_caller(answer.headers)
        if self._is_stopping():
            headers.append((b'connection', b'close'))
        if answer.rest is None:
            await exchange.answer(answer.status, headers, answer.body)
            return
        await self._relay(exchange, request, answer, headers)

    async def _relay(
        self,
        exchange: Exchange,
        request: CallerRequest,
        answer: Delivered,
        headers: RawHeaders,
    ) -> None:
        """Pass a large answer on as it comes.

        An answer that ends early is left without its end, so that the
        server closes the connection and the caller can tell.
        """
        assert answer.rest is not None
        size = wire.find(answer.headers, b'content-length')
        if size is not None:
            headers.append((b'content-length', size))
        try:
            await exchange.start(answer.status, headers)
            await exchange.write(answer.body)
            async for chunk in answer.rest.chunks():
                await exchange.write(chunk)
            await exchange.finish()
        except TruncatedBodyError as error:
            logging.warning(
                'answer ended early',
                extra={
                    'request': request.request_id.decode('latin-1'),
                    'cause': str(error),
                },
            )
        finally:
            await answer.rest.close()

    async def _refuse(
        self,
        exchange: Exchange,
        request: CallerRequest | None,
        refusal: Refusal,
    ) -> None:
        headers = [(b'content-type', b'text/plain')]
        request_id = exchange.header(wire.REQUEST_ID) or ''
        if request_id:
            headers.append((wire.REQUEST_ID, request_id.encode('latin-1')))
        if refusal.retry:
            headers.append((wire.RETRY_AFTER, self._retry_after(request)))
        if self._is_stopping():
            headers.append((b'connection', b'close'))
        logging.info(
            'request refused',
            extra={
                'request': request_id,
                'route': request.route.name if request else '',
                'status': refusal.status,
                'cause': refusal.cause,
                'held_ms': round(
                    self._clock() - request.came_ms if request else 0
                ),
            },
        )
        await exchange.answer(refusal.status, headers, refusal.cause.encode())

    def _retry_after(self, request: CallerRequest | None) -> bytes:
        wait_ms = random.uniform(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
        if request is not None:
            left_ms = request.caller_end_ms - self._clock()
            wait_ms = min(wait_ms, left_ms * RETRY_AFTER_FRACTION)
        return f'{max(0.0, wait_ms) / _MS_PER_S:.3f}'.encode()


def _declared_bytes(exchange: Exchange) -> int:
    length = exchange.header(b'content-length') or '0'
    return int(length) if length.isdecimal() else 0
