"""Heads of the answers of targets."""

from __future__ import annotations

import re

import h11

from gentianbank.domain.numbers import parse_whole

# Idle connections are dropped after this if the target states no idle timeout;
# it must be shorter than the timeout of such targets.
DEFAULT_IDLE_S = 8.0
# Idle connections are dropped this long before the stated idle timeout.
IDLE_MARGIN_S = 1.5
MAX_IDLE_S = 600
MAX_STATUS = 599
_CONTROL_CHARACTERS = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')


def check_head(head: h11.Response) -> None:
    """Reject a head that the parser takes, but that is no valid answer.

    Raises
    ------
    h11.RemoteProtocolError
        If two headers may disagree on where the body ends, or if the head
        could not be sent on to a caller.
    """
    names = {name for name, _ in head.headers}
    if {b'content-length', b'transfer-encoding'} <= names:
        raise h11.RemoteProtocolError('both a length and chunks')
    if head.status_code > MAX_STATUS:
        raise h11.RemoteProtocolError(f'no status: {head.status_code}')
    if any(_CONTROL_CHARACTERS.search(value) for _, value in head.headers):
        raise h11.RemoteProtocolError('control character in a header')


def idle_timeout_s(head: h11.Response) -> float:
    """Return for how long a connection may be idle after an answer."""
    for name, value in head.headers:
        if name != b'keep-alive':
            continue
        for parameter in value.split(b','):
            key, _, seconds = parameter.strip().partition(b'=')
            if key != b'timeout':
                continue
            stated_s = parse_whole(seconds.decode('latin-1'), 0, MAX_IDLE_S)
            if stated_s is not None:
                return max(0.0, stated_s - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S
