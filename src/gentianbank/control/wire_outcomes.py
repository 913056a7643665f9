"""Conversion of request outcomes to and from their wire form."""

from __future__ import annotations

from gentianbank.control.messages import WireHeader
from gentianbank.control.messages import WireOutcome
from gentianbank.domain.outcome import Answered
from gentianbank.domain.outcome import Header
from gentianbank.domain.outcome import Mismatch
from gentianbank.domain.outcome import NotRun
from gentianbank.domain.outcome import Outcome
from gentianbank.domain.outcome import Pending
from gentianbank.domain.outcome import Unknown
from gentianbank.policy.run_evidence import NOT_RUN_STATUSES

MAX_CAUSE_LENGTH = 1_000
# A larger body is not sent to other nodes: it would hold up the connection,
# and beyond the limit on messages end it.
MAX_BODY_BYTES = 512 * 1024


def encode_outcome(outcome: Outcome | Pending | Mismatch) -> WireOutcome:
    """Return the wire form of an outcome.

    A body over ``MAX_BODY_BYTES`` counts as not retained.
    """
    match outcome:
        case Answered(status, headers, body):
            if body is not None and len(body) > MAX_BODY_BYTES:
                body = None
            return WireOutcome(
                kind='answered',
                status=status,
                headers=tuple(
                    WireHeader(name=header.name, value=header.value)
                    for header in headers
                ),
                body=body or b'',
                has_body=body is not None,
            )
        case NotRun(cause):
            return WireOutcome(kind='not-run', cause=cause[:MAX_CAUSE_LENGTH])
        case Unknown(cause):
            return WireOutcome(kind='unknown', cause=cause[:MAX_CAUSE_LENGTH])
        case Pending():
            return WireOutcome(kind='pending')
        case Mismatch():
            return WireOutcome(kind='mismatch')


def decode_outcome(wire: WireOutcome) -> Outcome | Pending | Mismatch:
    """Return the outcome that a wire form represents.

    Every ``not-run`` outcome is marked as sealed: the peer guarantees that
    it never sends the request.
    """
    match wire.kind:
        case 'answered':
            headers = tuple(
                Header(header.name, header.value) for header in wire.headers
            )
            if wire.status in NOT_RUN_STATUSES:
                # An older peer took such a status for an answer of the run.
                return Unknown(f'the target answered {wire.status}')
            body = wire.body if wire.has_body else None
            return Answered(wire.status, headers, body)
        case 'not-run':
            return NotRun(wire.cause, sealed=True)
        case 'pending':
            return Pending()
        case 'mismatch':
            return Mismatch()
    return Unknown(wire.cause)
