"""Answers to callers: relayed from a target, replayed, or refusals."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gentianbank.dataplane import headers as http_headers
from gentianbank.dataplane.routing import is_large
from gentianbank.domain.request_key import ScopedKey
from gentianbank.targets.transport import TruncatedBodyError

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.dataplane.attempts import OpenAnswer
    from gentianbank.dataplane.budgets import BudgetBook
    from gentianbank.dataplane.exchange import Exchange
    from gentianbank.dataplane.refusal import Refusal
    from gentianbank.dataplane.request import Request
    from gentianbank.domain.outcome import Answered
    from gentianbank.domain.request_key import RequestKey

_MS_PER_S = 1_000


@dataclass(slots=True)
class Progress:
    """Result of a request so far; its decision record is built from it.

    Parameters
    ----------
    result
        HTTP status, slug of the refusal, or ``caller-gone``.
    outcome
        ``answered``, ``cut`` (the answer began but was not completed),
        ``not-run`` or ``unknown``; empty if the caller disconnected before
        one was determined.
    cause
        Reason for a refusal or a cut.
    targets
        Targets that were tried, in order.
    """

    result: str = ''
    outcome: str = ''
    cause: str = ''
    targets: list[str] = field(default_factory=list)


class AnswerWriter:
    """Writes answers to callers.

    Parameters
    ----------
    region
        Region of this node.
    budgets
        Rate limits of the links that answers cross.
    clock
        Returns the monotonic time in milliseconds.
    is_stopping
        Returns whether this node is shutting down; each answer then closes
        its connection.
    """

    def __init__(
        self,
        region: str,
        budgets: BudgetBook,
        clock: Callable[[], float],
        is_stopping: Callable[[], bool],
    ) -> None:
        self._region = region
        self._budgets = budgets
        self._clock = clock
        self._is_stopping = is_stopping

    async def relay(
        self,
        exchange: Exchange,
        request: Request,
        answer: OpenAnswer,
        progress: Progress,
        key: RequestKey | None = None,
    ) -> None:
        """Relay an answer of a target to the caller.

        If the target cuts the body short, or the deadline passes, the answer
        to the caller is left incomplete. Large transfers have no deadline,
        but end when their target stops sending.
        """
        progress.outcome = 'answered'
        progress.result = str(answer.answer.status)
        headers = http_headers.for_caller(answer.answer.headers)
        headers += self._own_headers(request.request_id, key)
        large = is_large(request.service)
        limit_s = None
        if not large:
            limit_s = max(0.0, request.end_ms - self._clock()) / _MS_PER_S
        try:
            async with asyncio.timeout(limit_s):
                await exchange.start(answer.answer.status, headers)
                async for chunk in answer.chunks:
                    await self._budgets.pace(
                        answer.permit.region,
                        self._region,
                        len(chunk),
                        large=large,
                    )
                    await exchange.write(chunk)
                await exchange.finish()
        except (TruncatedBodyError, TimeoutError) as error:
            # Without its last chunk the caller sees that the answer is
            # incomplete.
            progress.outcome = 'cut'
            progress.cause = str(error) or 'the deadline has passed'

    async def replay(
        self,
        exchange: Exchange,
        request: Request,
        key: RequestKey,
        answered: Answered,
        progress: Progress,
    ) -> None:
        """Send the retained answer of an earlier request."""
        assert answered.body is not None
        progress.outcome, progress.result = 'answered', str(answered.status)
        headers = [
            (item.name.encode('latin-1'), item.value.encode('latin-1'))
            for item in answered.headers
        ]
        headers += self._own_headers(request.request_id, key)
        await exchange.answer(answered.status, headers, answered.body)

    async def refuse(
        self,
        exchange: Exchange,
        request_id: str,
        refusal: Refusal,
        progress: Progress,
        key: RequestKey | None = None,
    ) -> None:
        """Send a refusal, unless an answer has been started."""
        progress.result = refusal.kind.slug
        progress.outcome = refusal.outcome
        progress.cause = refusal.cause
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
