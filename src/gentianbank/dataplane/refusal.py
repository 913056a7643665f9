"""Refusals that callers get, as problem documents of RFC 9457."""

from __future__ import annotations

from dataclasses import dataclass
import enum
import json


class RefusalKind(enum.Enum):
    """Why a caller gets no answer of a target.

    Each member has a slug, an HTTP status, and whether the request may have
    run.
    """

    NO_CONFIGURATION = ('no-configuration', 503, False)
    UNKNOWN_SERVICE = ('unknown-service', 404, False)
    BAD_REQUEST = ('bad-request', 400, False)
    TOO_LARGE = ('body-too-large', 413, False)
    KEY_REUSED = ('key-reused', 422, False)
    DEADLINE = ('deadline-too-short', 504, False)
    OVERLOADED = ('overloaded', 503, False)
    STOPPING = ('stopping', 503, False)
    NO_TARGET = ('no-target', 503, False)
    UNREACHABLE = ('target-unreachable', 503, False)
    SHED = ('shed-by-target', 503, False)
    OUTCOME_UNKNOWN = ('outcome-unknown', 502, True)
    KEY_UNRESOLVED = ('key-unresolved', 409, True)
    NOT_RETAINED = ('answer-not-retained', 409, True)

    def __init__(self, slug: str, status: int, may_have_run: bool) -> None:
        self.slug = slug
        self.status = status
        self.may_have_run = may_have_run


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal with its cause."""

    kind: RefusalKind
    cause: str

    @property
    def outcome(self) -> str:
        """Return ``not-run`` or ``unknown``."""
        return 'unknown' if self.kind.may_have_run else 'not-run'

    def encode(self, request_id: str) -> bytes:
        """Return the problem document."""
        document = {
            'type': f'urn:gentianbank:refusal:{self.kind.slug}',
            'title': self.kind.slug.replace('-', ' '),
            'status': self.kind.status,
            'detail': self.cause,
            'outcome': self.outcome,
            'request_id': request_id,
        }
        return json.dumps(document).encode()
