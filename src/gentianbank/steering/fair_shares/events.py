"""Log lines about fair shares."""

from __future__ import annotations

from dataclasses import dataclass

from gentianbank.steering.request_log import RequestEvent


@dataclass(frozen=True, slots=True, kw_only=True)
class RefusedByShare(RequestEvent):
    """A request was refused, since its class has used up its share.

    Parameters
    ----------
    workspace
        Name of the workspace; empty for requests without one.
    rule
        ``floor`` if more urgent classes use the room and this one gets only
        the least that any class gets; else ``max-min``.
    share_per_s, asked_per_s
        Requests per second over all nodes that are admitted, and that
        callers send.
    room_per_s
        Requests per second that the service can answer.
    is_returning
        Whether the caller seems to retry.
    counts_age_ms
        Age of the oldest counts of a node that this rests on.
    """

    message = 'refused by share'
    workspace: str
    service: str
    rule: str
    priority: int
    route_priority: int
    share_per_s: float
    asked_per_s: float
    room_per_s: float
    is_returning: bool
    counts_age_ms: int
