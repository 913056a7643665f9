"""HTTP headers between callers, nodes and targets on the platform."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gentianbank.domain.load_report import LoadReport
from gentianbank.domain.load_report import UnreadableReport
from gentianbank.domain.numbers import parse_number
from gentianbank.domain.numbers import parse_whole
from gentianbank.domain.request_limit import NamedLimit
from gentianbank.domain.request_limit import NoLimit
from gentianbank.domain.request_limit import UnreadableLimit
from gentianbank.platform.credentials import AUTHORIZATION
from gentianbank.policy.restart_suspicion import TargetStatus
from gentianbank.policy.run_evidence import judge_answer
from gentianbank.targets.http_headers import find_header
from gentianbank.targets.http_headers import header_values
from gentianbank.targets.http_headers import HOP_BY_HOP

if TYPE_CHECKING:
    from gentianbank.domain.request_limit import LimitStatement
    from gentianbank.policy.run_evidence import AnswerMeaning
    from gentianbank.targets.transport import RawHeaders

REQUEST_ID = b'request-id'
TIME_LEFT = b'deadline-ms'
OBJECT = b'affinity-key'
STAMP = b'server-stamp'
EXPECTED_TARGET = b'expect-instance'
RETRY_AFTER = b'retry-after'
WORKSPACE = b'tenant'
CONTENT_ENCODING = b'content-encoding'
_LOAD_REPORT = b'server-load'
_TARGET_ID = b'instance-id'
_COLD_LEFT_MS = b'cold-ms'
_REQUEST_LIMIT = b'server-limit'
_LEAVING = b'server-leaving'
_STORE_ERA = b'store-era'
_NOT_RUN = b'not-executed'
_MISDIRECTED_STATUS = 421
_NORMAL_SLOWDOWN_PERCENT = 100.0
_MIN_SLOWDOWN_PERCENT = 1.0
_MAX_SLOWDOWN_PERCENT = 100_000.0
_MAX_REPORTED_REQUESTS = 1_000_000
_MAX_LIMIT_PER_S = 1e9
_MAX_ERA = 2**53
_MAX_COLD_LEFT_MS = 3_600_000.0
_SHOWN_CHARACTERS = 60
_CONNECTION_HEADERS = HOP_BY_HOP | {b'expect'}
_REPLACED_IN_REQUEST = _CONNECTION_HEADERS | {
    TIME_LEFT,
    EXPECTED_TARGET,
    b'content-length',
}
_IDENTITY_HEADERS = frozenset((AUTHORIZATION, WORKSPACE))
_DROPPED_FROM_ANSWER = _CONNECTION_HEADERS | {b'content-length', _LOAD_REPORT}


@dataclass(frozen=True, slots=True)
class CallerIdentity:
    """What a target is told of the caller.

    Parameters
    ----------
    workspace
        Name of the caller's workspace; empty for none. It replaces whatever
        name and key the caller sent.
    """

    workspace: str = ''


@dataclass(frozen=True, slots=True)
class BodyFraming:
    """How the body of a request is framed.

    Parameters
    ----------
    size_bytes
        Length of the body; ``None`` if there is no body or its length is
        not known.
    chunked
        Whether there is a body of unknown length.
    """

    size_bytes: int | None = None
    chunked: bool = False


def for_target(
    received: RawHeaders,
    *,
    target_id: str,
    time_left_ms: float,
    body: BodyFraming,
    identity: CallerIdentity | None = None,
) -> RawHeaders:
    """Return the headers of a request to a target.

    Parameters
    ----------
    time_left_ms
        Time after which the target may stop working on the request.
    body
        Framing of the body to the target.
    identity
        What the target is told of the caller; ``None`` without workspaces.
    """
    dropped = _REPLACED_IN_REQUEST | _headers_named_by_connection(received)
    if identity is not None:
        dropped |= _IDENTITY_HEADERS
    headers = [pair for pair in received if pair[0].lower() not in dropped]
    headers.append((TIME_LEFT, str(max(1, int(time_left_ms))).encode()))
    headers.append((EXPECTED_TARGET, target_id.encode()))
    if identity is not None and identity.workspace:
        headers.append((WORKSPACE, identity.workspace.encode()))
    if body.size_bytes is not None:
        headers.append((b'content-length', str(body.size_bytes).encode()))
    elif body.chunked:
        headers.append((b'transfer-encoding', b'chunked'))
    return headers


def for_caller(received: RawHeaders) -> RawHeaders:
    """Return the headers of a target's answer that callers get.

    Hop-by-hop headers, the length and the load report are left out.
    """
    return [
        (name.lower(), value)
        for name, value in received
        if name.lower() not in _DROPPED_FROM_ANSWER
    ]


def judge(
    status: int, headers: RawHeaders, request_id: bytes
) -> AnswerMeaning:
    """Return what the head of a target's answer means for a request."""
    return judge_answer(
        status,
        says_not_run=find_header(headers, _NOT_RUN) is not None,
        says_run=find_header(headers, STAMP) is not None,
        names_request=header_values(headers, REQUEST_ID) == [request_id],
    )


def may_answer(headers: RawHeaders, request_id: bytes) -> bool:
    """Tell whether an answer may be meant for a request.

    One that names only other requests is not; one that names none, or this
    one among others, may be.
    """
    named = header_values(headers, REQUEST_ID)
    parts = [part.strip() for value in named for part in value.split(b',')]
    return not named or request_id in named or request_id in parts


def is_misdirected(status: int) -> bool:
    """Tell whether the request reached another target than it names."""
    return status == _MISDIRECTED_STATUS


def decode_load_report(
    headers: RawHeaders,
) -> LoadReport | UnreadableReport | None:
    """Return a target's load report; ``None`` if there is none."""
    raw = find_header(headers, _LOAD_REPORT)
    if raw is None:
        return None
    text = raw.decode('latin-1')
    figures = text.split(',')
    counts = [
        parse_whole(figure, 0, _MAX_REPORTED_REQUESTS)
        for figure in figures[:3]
    ]
    slowdown_percent: float | None = _NORMAL_SLOWDOWN_PERCENT
    if len(figures) > len(counts):
        slowdown_percent = parse_number(
            figures[3], _MIN_SLOWDOWN_PERCENT, _MAX_SLOWDOWN_PERCENT
        )
    match counts:
        case [int(running), int(waiting), int(slots)] if slowdown_percent:
            slowdown = slowdown_percent / _NORMAL_SLOWDOWN_PERCENT
            return LoadReport(running, waiting, slots, slowdown)
    return UnreadableReport(text[:_SHOWN_CHARACTERS])


def decode_status(headers: RawHeaders) -> TargetStatus:
    """Return what the answer to a status check says of the target.

    A target that does not say that it is cold is not.
    """
    target_id = find_header(headers, _TARGET_ID) or b''
    raw_cold = find_header(headers, _COLD_LEFT_MS)
    cold_left_ms: float | None = 0.0
    if raw_cold is not None:
        cold_left_ms = parse_number(
            raw_cold.decode('latin-1'), 0, _MAX_COLD_LEFT_MS
        )
    return TargetStatus(target_id.decode('latin-1'), cold_left_ms)


def decode_request_limit(headers: RawHeaders) -> LimitStatement:
    """Return what a target says of a limit on its requests."""
    raw = find_header(headers, _REQUEST_LIMIT)
    if raw is None:
        return NoLimit()
    text = raw.decode('latin-1')
    requests_per_s = parse_number(text, 0, _MAX_LIMIT_PER_S)
    if requests_per_s is None:
        return UnreadableLimit(text[:_SHOWN_CHARACTERS])
    return NamedLimit(requests_per_s)


def says_leaving(headers: RawHeaders) -> bool:
    """Tell whether an answer says that its target leaves."""
    return b'1' in header_values(headers, _LEAVING)


def names_other_target(headers: RawHeaders, target_id: str) -> bool:
    """Tell whether an answer names a target, but not the one given."""
    named = header_values(headers, _TARGET_ID)
    return bool(named) and target_id.encode() not in named


def decode_store_era(headers: RawHeaders) -> int | None:
    """Return how often the store came back from a copy.

    Returns
    -------
    int or None
        ``None`` if the answer does not say it as a whole number.
    """
    raw = find_header(headers, _STORE_ERA)
    if raw is None:
        return None
    return parse_whole(raw.decode('latin-1'), 0, _MAX_ERA)


def _headers_named_by_connection(received: RawHeaders) -> frozenset[bytes]:
    value = find_header(received, b'connection')
    if not value:
        return frozenset()
    return frozenset(name.strip().lower() for name in value.split(b','))
