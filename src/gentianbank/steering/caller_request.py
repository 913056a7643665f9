"""A caller's request with its route, deadlines and affinity."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gentianbank.platform import headers as wire

if TYPE_CHECKING:
    from gentianbank.dataplane.exchange import Exchange
    from gentianbank.domain.route_table import Route
    from gentianbank.domain.workspaces import Workspace
    from gentianbank.policy.attribution import Attributed
    from gentianbank.policy.returning_callers import ReturningCallerDetector

# Also assumed for callers that do not say how much time they have left.
MAX_TIME_LEFT_MS = 600_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A request for which a route was found.

    Parameters
    ----------
    service
        Service that was chosen among those of the route.
    topic
        Object that the request concerns, for affinity; empty for none.
    received_ms
        Time when the request was received.
    deadline_ms
        Time by which the caller must have a final answer: the caller's
        deadline or the timeout of the route, whichever is earlier.
    caller_deadline_ms
        Time when the caller stops waiting.
    was_refused_before
        Whether the caller seems to retry a request that was refused.
    identity
        What targets are told of the caller; ``None`` without workspaces.
    workspace
        Workspace of the caller; ``None`` without one.
    """

    request_id: bytes
    route: Route
    service: str
    topic: str
    received_ms: float
    deadline_ms: float
    caller_deadline_ms: float
    was_refused_before: bool
    identity: wire.CallerIdentity | None = None
    workspace: Workspace | None = None

    @property
    def allowed_regions(self) -> frozenset[str] | None:
        """Return the regions that may serve the request; ``None`` for all.

        Where both the route and the workspace have home regions, both bind.
        """
        homes = [self.route.home_regions]
        if self.workspace is not None:
            homes.append(self.workspace.home_regions)
        limited = [regions for regions in homes if regions]
        return frozenset.intersection(*limited) if limited else None


def read_request(
    exchange: Exchange,
    route: Route,
    service: str,
    patience: ReturningCallerDetector,
    now_ms: float,
    caller: Attributed | None = None,
) -> CallerRequest:
    """Build the request from its headers.

    Parameters
    ----------
    patience
        Longest time that earlier callers of the route had left; a caller
        with clearly less seems to retry.
    caller
        Workspace of the caller; ``None`` if callers are not told apart.
    """
    patience_ms = _parse_time_left_ms(exchange.header(wire.TIME_LEFT))
    key = exchange.header(wire.OBJECT) if route.sticky else None
    return CallerRequest(
        request_id=(exchange.header(wire.REQUEST_ID) or '').encode('latin-1'),
        route=route,
        service=service,
        # Two routes may use the same affinity key for different objects.
        topic=f'{route.name}/{key}' if key else '',
        received_ms=now_ms,
        deadline_ms=now_ms + min(patience_ms, route.timeout_ms),
        caller_deadline_ms=now_ms + patience_ms,
        was_refused_before=(
            patience_ms < MAX_TIME_LEFT_MS
            and patience.is_returning(patience_ms)
        ),
        identity=_identity(caller),
        workspace=caller.workspace if caller else None,
    )


def _identity(caller: Attributed | None) -> wire.CallerIdentity | None:
    if caller is None:
        return None
    workspace = caller.workspace
    return wire.CallerIdentity(workspace.name if workspace else '')


def _parse_time_left_ms(text: str | None) -> float:
    if text is None or not text.isdecimal():
        return MAX_TIME_LEFT_MS
    return min(MAX_TIME_LEFT_MS, float(text))
