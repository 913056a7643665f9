"""Query and answer of a look-up of entry VMs on the platform."""

from __future__ import annotations

from dataclasses import dataclass
import json
from urllib.parse import parse_qs

PATH = b'/resolve'
MAX_ADDRESSES = 64


@dataclass(frozen=True, slots=True)
class LookupQuery:
    """Location of a caller; a part that it does not give is empty."""

    region: str
    failure_domain: str


def decode_query(query: bytes) -> LookupQuery:
    """Decode the query of a look-up; missing parts become empty."""
    fields = parse_qs(query.decode('latin-1'))
    return LookupQuery(
        region=fields.get('region', [''])[0],
        failure_domain=fields.get('zone', [''])[0],
    )


def encode_answer(addresses: tuple[str, ...], cache_s: float) -> bytes:
    """Return the body of the answer to a look-up.

    Parameters
    ----------
    addresses
        Addresses of entry VMs; only the first ``MAX_ADDRESSES`` are named.
    cache_s
        Time for which the caller may cache the answer.
    """
    document = {'addresses': addresses[:MAX_ADDRESSES], 'ttlS': cache_s}
    return json.dumps(document).encode()
