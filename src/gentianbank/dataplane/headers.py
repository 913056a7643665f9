"""HTTP headers of requests to targets and of answers to callers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from gentianbank.policy.run_evidence import judge_answer
from gentianbank.targets.http_headers import find_header
from gentianbank.targets.http_headers import header_values
from gentianbank.targets.http_headers import HOP_BY_HOP

if TYPE_CHECKING:
    from gentianbank.policy.run_evidence import AnswerMeaning
    from gentianbank.targets.transport import RawHeaders

REQUEST_ID = b'x-request-id'
REQUEST_TIMEOUT = b'request-timeout-ms'
IDEMPOTENCY_KEY = b'idempotency-key'
NOT_RUN = b'request-not-run'
LOAD_REPORT = b'endpoint-load-metrics'
LEAVING = b'target-leaving'
_JSON_PREFIX = 'JSON '
_MAX_REPORTED_REQUESTS = 1_000_000
_NOT_FORWARDED = HOP_BY_HOP | {
    b'host',
    REQUEST_ID,
    REQUEST_TIMEOUT,
    IDEMPOTENCY_KEY,
    b'via',
}


def for_target(
    received: RawHeaders,
    *,
    address: str,
    attempt_id: str,
    timeout_ms: float,
    key: str,
    node: str,
    client: str,
    chunked: bool,
) -> RawHeaders:
    """Return the headers of a request to a target.

    Parameters
    ----------
    attempt_id
        Id of this attempt. If the target echoes it, the node can detect an
        answer to another request.
    timeout_ms
        Time left until the deadline.
    key
        Idempotency key, or empty for a request without one.
    node
        VM of this node, for the header ``Via``.
    chunked
        Whether the length of the body is not known beforehand.
    """
    headers = [
        (name, value)
        for name, value in received
        if name.lower() not in _NOT_FORWARDED
    ]
    headers.append((b'host', address.encode()))
    headers.append((REQUEST_ID, attempt_id.encode()))
    headers.append((REQUEST_TIMEOUT, str(max(1, int(timeout_ms))).encode()))
    headers.append((b'via', f'1.1 {node}'.encode()))
    headers.append((b'x-forwarded-for', client.encode()))
    if key:
        headers.append((IDEMPOTENCY_KEY, key.encode()))
    if chunked:
        headers.append((b'transfer-encoding', b'chunked'))
    return headers


def for_caller(received: RawHeaders) -> RawHeaders:
    """Return the headers of an answer as the caller gets them."""
    return [
        (name.lower(), value)
        for name, value in received
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in (REQUEST_ID, LOAD_REPORT, LEAVING)
    ]


def judge(
    status: int, headers: RawHeaders, attempt_id: bytes
) -> AnswerMeaning:
    """Return what the head of a target's answer means for an attempt.

    A target need not name the attempt, unless it says that it did not run:
    that may be an earlier answer that is sent once more.
    """
    says_not_run = find_header(headers, NOT_RUN) == b'true'
    named = header_values(headers, REQUEST_ID)
    return judge_answer(
        status,
        says_not_run=says_not_run,
        says_run=False,
        names_request=named == [attempt_id] or not (named or says_not_run),
    )


def says_leaving(headers: RawHeaders) -> bool:
    """Tell whether an answer says that its target leaves."""
    return b'true' in header_values(headers, LEAVING)


def reported_in_flight(headers: RawHeaders) -> int | None:
    """Return the requests in flight that a target reports, if it does.

    A report without such a number counts as none.

    The load report is a header in the JSON form of Open Request Cost
    Aggregation (ORCA), with ``in_flight`` among its named metrics.
    """
    raw = find_header(headers, LOAD_REPORT)
    if raw is None:
        return None
    text = raw.decode('latin-1')
    if not text.startswith(_JSON_PREFIX):
        return None
    try:
        report = json.loads(text.removeprefix(_JSON_PREFIX))
        in_flight = report['named_metrics']['in_flight']
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    if isinstance(in_flight, bool) or not isinstance(in_flight, int | float):
        return None
    # Also false for what is no number.
    if not 0 <= in_flight <= _MAX_REPORTED_REQUESTS:
        return None
    return int(in_flight)
