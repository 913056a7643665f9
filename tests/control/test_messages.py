"""Tests of the decoding of messages: no bytes of a peer raise."""

from __future__ import annotations

import cbor2
from expression import Result
from hypothesis import given
from hypothesis import strategies as st
import pytest

from gentianbank.control.messages import decode_message
from gentianbank.control.messages import MESSAGE_TYPE_BY_KIND
import gentianbank.steering.load_update
import gentianbank.steering.store_following.catch_up
import gentianbank.steering.store_following.messages
import gentianbank.transport.handshake
from tests.support.machines import machine_settings

EXAMPLES = 500
DEPTH = 100_000
HUGE_WHOLE = 256**10_000
REGISTERING_MODULES = (
    gentianbank.steering.load_update,
    gentianbank.steering.store_following.catch_up,
    gentianbank.steering.store_following.messages,
    gentianbank.transport.handshake,
)
JUNK = (
    cbor2.dumps(HUGE_WHOLE),
    cbor2.dumps(-HUGE_WHOLE),
    cbor2.dumps(float('nan')),
    cbor2.dumps(float('inf')),
    cbor2.dumps({'key': [None, True, b'\xff']}),
    # A decimal fraction with a huge exponent, and a date out of range.
    b'\xc4\x82\x1b\x7f\xff\xff\xff\xff\xff\xff\xff\x01',
    b'\xc1\xfb\x7f\xef\xff\xff\xff\xff\xff\xff',
    # A list that contains itself.
    b'\xd8\x1c\x81\xd8\x1d\x00',
    b'\x81' * DEPTH + b'\x00',
    b'\x81' * 900 + b'\x00',
    # Lengths beyond the end of the message.
    b'\x9b\x00\x00\x00\x01\x00\x00\x00\x00',
    b'\x5b\x00\x00\x00\x10\x00\x00\x00\x00',
)


def is_refused(data: bytes) -> bool:
    match decode_message(data):
        case Result(tag='error', error=error):
            return bool(str(error))
    return False


@pytest.mark.parametrize('kind', sorted(MESSAGE_TYPE_BY_KIND))
@pytest.mark.parametrize('junk', JUNK, ids=range(len(JUNK)))
def test_message_with_a_value_of_any_kind_does_not_raise(
    kind: str, junk: bytes
) -> None:
    name = cbor2.dumps(kind)
    for values in (junk, b'\x81' + junk, b'\x84' + junk * 4):
        decode_message(b'\x82' + name + values)
    assert is_refused(b'\x82' + junk + b'\x80')
    assert is_refused(junk)


@given(data=st.binary(max_size=300))
@machine_settings(examples=EXAMPLES)
def test_bytes_of_any_kind_do_not_raise(data: bytes) -> None:
    decode_message(data)
