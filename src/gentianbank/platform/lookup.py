"""The look-up of entry VMs as callers on the platform ask it."""

from __future__ import annotations

from dataclasses import dataclass
import json
from urllib.parse import parse_qs

PATH = b'/resolve'
MAX_ADDRESSES = 64


@dataclass(frozen=True, slots=True)
class EntryQuery:
    """Where a caller is."""

    region: str
    failure_domain: str


def decode_query(query: bytes) -> EntryQuery:
    """Decode the query of a look-up; what is missing is empty."""
    fields = parse_qs(query.decode('latin-1'))
    return EntryQuery(
        region=fields.get('region', [''])[0],
        failure_domain=fields.get('zone', [''])[0],
    )


def encode_answer(addresses: tuple[str, ...], cache_s: float) -> bytes:
    """Return the body of an answer.

    Parameters
    ----------
    cache_s
        Time for which the caller may keep the answer.
    """
    document = {'addresses': addresses[:MAX_ADDRESSES], 'ttlS': cache_s}
    return json.dumps(document).encode()
