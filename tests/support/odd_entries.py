"""Entries that another writer may leave among those of the targets."""

from __future__ import annotations

import json
from typing import Any

from tests.platform.test_documents import ENTRY

# Depths around the recursion limit, which a document may just pass.
DEPTHS = (50, 300, 600, *range(900, 1_000, 5), 100_000)
MAX_VALUE_BYTES = 1_048_576
HUGE = 10**400


def _nest(depth: int) -> bytes:
    return b'[' * depth + b']' * depth


def _entry(**changes: Any) -> bytes:
    return json.dumps(ENTRY | changes).encode()


def _entry_with(field: str, value: bytes) -> bytes:
    """Return an entry with a field of a value that is given as text."""
    document = _entry(**{field: 'placeholder'})
    return document.replace(b'"placeholder"', value)


ODD_VALUES: dict[str, bytes] = {
    'nothing': b'',
    'no text': b'\xff{"service":',
    'null': b'null',
    'list': b'[]',
    'cut': _entry()[:-5],
    'large': _entry(service='x' * (MAX_VALUE_BYTES - 300)),
    'half a pair': _entry(service='half \ud800'),
    'slots of 0': _entry(slots=0),
    'slots too many': _entry(slots=2**53),
    'port too large': _entry(address='10.0.0.1:65536'),
    'port far too large': _entry(address='10.0.0.1:' + '9' * 5_000),
    'port of 0': _entry(address='10.0.0.1:0'),
    'negative port': _entry(address='10.0.0.1:-80'),
    'no port': _entry(address='10.0.0.1'),
    'no host': _entry(address=':80'),
    'name for a host': _entry(address='localhost:80'),
    'scope of a host': _entry(address='fe80::1%\r\n\ud800:80'),
    'brackets of a host': _entry(address=']10.0.0.1[:80'),
    **{
        f'{field} of {len(value)} characters {value[:9]!r}': _entry_with(
            field, value
        )
        for field in ('slots', 'coldLeftMs', 'sequence', 'born')
        for value in (
            str(HUGE).encode(),
            b'9' * 5_000,
            b'1e400',
            b'1e308',
            b'-1',
            b'NaN',
            b'true',
            b'"7"',
            b'{"a": 1}',
        )
    },
    **{f'{depth} lists': _nest(depth) for depth in DEPTHS},
    **{
        f'{field} of {depth} lists': _entry_with(field, _nest(depth))
        for field in ('service', 'slots', 'born', 'unheard of')
        for depth in DEPTHS
    },
    **{
        f'{depth} objects': b'{"a":' * depth + b'1' + b'}' * depth
        for depth in DEPTHS
    },
}
# Those whose only fault is a field that is not known, which is ignored.
USABLE_VALUES = frozenset(
    name for name in ODD_VALUES if name.startswith('unheard of')
)
ODD_KEYS = (
    'servers/',
    'servers/line\nbreak',
    'servers/half \ud800',
    'servers/\N{SNOWMAN}',
    'servers/' + 'x' * 190,
    'op/evacuate/',
    'op/evacuate/line\nbreak',
    'nodes/',
    'members/',
    'else',
)
