"""ASGI application that explains where a request would go."""

from __future__ import annotations

from dataclasses import asdict
import json
from typing import TYPE_CHECKING

from gentianbank.dataplane.exchange import Exchange
from gentianbank.steering.where.query import BadQueryError
from gentianbank.steering.where.query import decode

if TYPE_CHECKING:
    from gentianbank.dataplane.exchange import ASGIMessage
    from gentianbank.dataplane.exchange import Receive
    from gentianbank.dataplane.exchange import SendMessage
    from gentianbank.steering.where.explainer import Explainer

_HEADERS = [(b'content-type', b'application/json')]


class WhereApp:
    """Answers with an explanation in JSON; 400 if the query is wrong."""

    def __init__(self, explainer: Explainer) -> None:
        self._explainer = explainer

    async def __call__(
        self, scope: ASGIMessage, receive: Receive, send: SendMessage
    ) -> None:
        """Answer one query."""
        exchange = Exchange(scope, receive, send)
        try:
            query = decode(scope.get('query_string', b''))
            explanation = self._explainer.explain(query)
        except BadQueryError as error:
            body = json.dumps({'error': str(error)}).encode()
            await exchange.answer(400, _HEADERS, body)
            return
        body = json.dumps(asdict(explanation)).encode()
        await exchange.answer(200, _HEADERS, body)
