"""Tests of the messages about usage caps."""

from __future__ import annotations

from dataclasses import replace

from expression import Result

from gentianbank.control.messages import decode_message
from gentianbank.control.messages import encode_message
from gentianbank.control.messages import Message
from gentianbank.policy.usage_caps import exchange
from gentianbank.steering.usage_caps import messages

ASK = exchange.Ask(
    5_000, 4_000, 7, 9_000, (exchange.Want('a', 3), exchange.Want('b', 0, 70))
)
GRANT = exchange.Grant(
    5_000, 4_000, 7, 500, 2_500, (exchange.Granted('a', 2, 10),), ('c', 'd')
)


def _pass_on(message: Message) -> Message:
    match decode_message(encode_message(message)):
        case Result(tag='ok', ok=decoded):
            return decoded
        case Result(error=error):
            raise AssertionError(error)


def test_messages_arrive_as_they_were_sent() -> None:
    ask = _pass_on(messages.encode_ask(ASK))
    assert isinstance(ask, messages.CapAsk)
    assert messages.decode_ask(ask) == ASK
    grant = _pass_on(messages.encode_grant(GRANT))
    assert isinstance(grant, messages.CapGrant)
    assert messages.decode_grant(grant) == GRANT
    handover = exchange.Handover(7, {'a': 1.5})
    passed = _pass_on(messages.encode_handover(handover))
    assert isinstance(passed, messages.CapHandover)
    assert messages.decode_handover(passed) == handover


def test_malformed_rows_cost_only_themselves() -> None:
    """Guards against a peer's message that ends the connection."""
    ask = replace(messages.encode_ask(ASK), wants=b'\x00\x03\xff\xff\x00')
    assert messages.decode_ask(ask).wants == (exchange.Want('a', 3),)
    handover = messages.CapHandover(
        sent_ms=1, names=b'a\0b', levels=b'\x7f\xc0\0\0\xbf\x80\0\0'
    )
    assert not messages.decode_handover(handover).levels


def test_ask_for_many_workspaces_is_small() -> None:
    wants = tuple(exchange.Want(f'w-{n:03}', 1) for n in range(100))
    data = encode_message(messages.encode_ask(replace(ASK, wants=wants)))
    assert len(data) < 1_100
