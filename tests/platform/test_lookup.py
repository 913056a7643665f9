"""Tests of the look-up of entry VMs on the platform."""

from __future__ import annotations

import json

import pytest

from gentianbank.platform import lookup
from gentianbank.platform.lookup import LookupQuery


@pytest.mark.parametrize(
    ('query', 'expected'),
    [
        (b'name=a.example&region=r&zone=z', LookupQuery('r', 'z')),
        (b'', LookupQuery('', '')),
        (b'\xff&&=', LookupQuery('', '')),
    ],
)
def test_query_is_decoded(query: bytes, expected: LookupQuery) -> None:
    assert lookup.decode_query(query) == expected


def test_answer_has_at_most_max_addresses() -> None:
    body = lookup.encode_answer(tuple(f'a:{n}' for n in range(99)), 1.0)
    document = json.loads(body)
    assert len(document['addresses']) == lookup.MAX_ADDRESSES
    assert document['ttlS'] == 1.0
