"""A caller's request on its way through the node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gentianbank.platform import headers as wire

if TYPE_CHECKING:
    from gentianbank.dataplane.exchange import Exchange
    from gentianbank.domain.route_table import Route
    from gentianbank.policy.patience import PatienceMemory

MAX_WAIT_MS = 600_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A request that has a route.

    Parameters
    ----------
    topic
        Object that the request concerns.
    came_ms
        Time when the request was read.
    end_ms
        Time when the caller gets a final answer at the latest.
    caller_end_ms
        Time when the caller stops waiting.
    returning
        Whether the caller seems to have been turned away before.
    """

    request_id: bytes
    route: Route
    service: str
    topic: str
    came_ms: float
    end_ms: float
    caller_end_ms: float
    returning: bool


def read_request(
    exchange: Exchange,
    route: Route,
    service: str,
    patience: PatienceMemory,
    now_ms: float,
) -> CallerRequest:
    """Return a request by its headers.

    Parameters
    ----------
    patience
        What the route's callers have stated before.
    """
    patience_ms = _whole_ms(exchange.header(wire.TIME_LEFT))
    key = exchange.header(wire.OBJECT) if route.sticky else None
    return CallerRequest(
        request_id=(exchange.header(wire.REQUEST_ID) or '').encode('latin-1'),
        route=route,
        service=service,
        # Routes number their objects independently of each other.
        topic=f'{route.name}/{key}' if key else '',
        came_ms=now_ms,
        end_ms=now_ms + min(patience_ms, route.timeout_ms),
        caller_end_ms=now_ms + patience_ms,
        returning=(
            patience_ms < MAX_WAIT_MS and patience.is_return(patience_ms)
        ),
    )


def _whole_ms(text: str | None) -> float:
    if text is None or not text.isdecimal():
        return MAX_WAIT_MS
    return min(MAX_WAIT_MS, float(text))
