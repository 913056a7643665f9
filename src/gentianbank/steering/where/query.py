"""Query of a request whose way is to be explained."""

from __future__ import annotations

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import fields
from typing import Any
from urllib.parse import parse_qs

PATH = '/where'
MAX_QUERY_BYTES = 8_192
_DEFAULT_ID = 'where'
_WHOLE_FIELDS = frozenset(('size_bytes', 'deadline_ms'))


@dataclass(frozen=True, slots=True, kw_only=True)
class WhereQuery:
    """A request that is not sent.

    Parameters
    ----------
    key_digest
        Digest of the caller's key in hexadecimal digits; the key itself is
        never in a query.
    workspace
        Name of a workspace, in place of a key.
    affinity_key
        Object that the request concerns; empty for none.
    region, failure_domain
        Location of the caller.
    size_bytes
        Size of the request's body.
    deadline_ms
        Time that the caller has left; ``None`` if it does not say.
    request_id
        Id of the request, which spreads requests without an object.
    tried
        Targets that were tried already, separated by commas.
    """

    host: str = ''
    path: str = '/'
    method: str = 'GET'
    key_digest: str = ''
    workspace: str = ''
    affinity_key: str = ''
    region: str = ''
    failure_domain: str = ''
    size_bytes: int = 0
    deadline_ms: int | None = None
    request_id: str = _DEFAULT_ID
    tried: str = ''


class BadQueryError(ValueError):
    """The query cannot be read; the message says why."""


def to_fields(query: WhereQuery) -> dict[str, str]:
    """Return the fields of a query, without those at their defaults."""
    default = asdict(WhereQuery())
    return {
        name: str(value)
        for name, value in asdict(query).items()
        if value != default[name]
    }


def decode(text: bytes) -> WhereQuery:
    """Decode a query.

    Raises
    ------
    BadQueryError
        If it is too long, or has a field that is unknown or unreadable.
    """
    if len(text) > MAX_QUERY_BYTES:
        raise BadQueryError('the query is too long')
    known = {field.name for field in fields(WhereQuery)}
    values: dict[str, Any] = {}
    for name, given in parse_qs(text.decode('latin-1')).items():
        if name not in known:
            raise BadQueryError('a field of the query is unknown')
        values[name] = given[-1]
        if name in _WHOLE_FIELDS:
            values[name] = _read_whole(name, given[-1])
    return WhereQuery(**values)


def _read_whole(name: str, text: str) -> int:
    if not (text.isascii() and text.isdecimal()):
        raise BadQueryError(f'{name}: expected a whole number')
    return int(text)
