"""What callers get: a target's answer, or one of the node's own."""

from __future__ import annotations

from dataclasses import dataclass
import random
from typing import TYPE_CHECKING

from gentianbank.platform import headers as wire
from gentianbank.steering.request_log import AnswerEndedEarly
from gentianbank.steering.request_log import RequestRefused
from gentianbank.targets.http_headers import find
from gentianbank.targets.transport import TruncatedBodyError

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.dataplane.exchange import Exchange
    from gentianbank.steering.caller_request import CallerRequest
    from gentianbank.steering.request_log import RequestLog
    from gentianbank.steering.sending import Delivered
    from gentianbank.targets.transport import RawHeaders

RETRY_AFTER_MIN_MS = 150.0
RETRY_AFTER_MAX_MS = 600.0
# Callers honour at most this part of the time that they have left.
RETRY_AFTER_FRACTION = 1 / 3
_MS_PER_S = 1_000


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


class Replies:
    """Sends final answers to callers.

    Parameters
    ----------
    is_stopping
        Tells whether callers are asked to leave.
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        log: RequestLog,
        is_stopping: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._log = log
        self._is_stopping = is_stopping
        self._clock = clock

    async def deliver(self, exchange: Exchange, answer: Delivered) -> None:
        """Send a target's answer."""
        headers = wire.for_caller(answer.headers)
        if self._is_stopping():
            headers.append((b'connection', b'close'))
        if answer.rest is None:
            await exchange.answer(answer.status, headers, answer.body)
            return
        await self._relay(exchange, answer, headers)

    async def refuse(
        self,
        exchange: Exchange,
        request: CallerRequest | None,
        refusal: Refusal,
    ) -> None:
        """Send an answer of the node's own.

        Parameters
        ----------
        request
            The request; nothing when it has no route.
        """
        headers = [(b'content-type', b'text/plain')]
        request_id = exchange.header(wire.REQUEST_ID) or ''
        if request_id:
            headers.append((wire.REQUEST_ID, request_id.encode('latin-1')))
        if refusal.retry:
            headers.append((wire.RETRY_AFTER, self._retry_after(request)))
        if self._is_stopping():
            headers.append((b'connection', b'close'))
        held_ms = self._clock() - request.came_ms if request else 0.0
        self._log.write(
            RequestRefused(
                request=request_id,
                route=request.route.name if request else '',
                status=refusal.status,
                cause=refusal.cause,
                held_ms=round(held_ms),
            )
        )
        await exchange.answer(refusal.status, headers, refusal.cause.encode())

    async def _relay(
        self, exchange: Exchange, answer: Delivered, headers: RawHeaders
    ) -> None:
        """Pass a large answer on as it comes.

        An answer that ends early is left without its end, so that the
        server closes the connection and the caller can tell.
        """
        assert answer.rest is not None
        size = find(answer.headers, b'content-length')
        if size is not None:
            headers.append((b'content-length', size))
        try:
            await exchange.start(answer.status, headers)
            await exchange.write(answer.body)
            async for chunk in answer.rest.chunks():
                await exchange.write(chunk)
            await exchange.finish()
        except TruncatedBodyError as error:
            request_id = exchange.header(wire.REQUEST_ID) or ''
            self._log.write(AnswerEndedEarly(request_id, str(error)))
        finally:
            await answer.rest.close()

    def _retry_after(self, request: CallerRequest | None) -> bytes:
        wait_ms = random.uniform(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
        if request is not None:
            left_ms = request.caller_end_ms - self._clock()
            wait_ms = min(wait_ms, left_ms * RETRY_AFTER_FRACTION)
        return f'{max(0.0, wait_ms) / _MS_PER_S:.3f}'.encode()
