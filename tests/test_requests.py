"""Tests of the requests between nodes of the own interface."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import pytest

from gentianbank.control.messages import encode_message
from gentianbank.control.messages import Handover
from gentianbank.control.messages import HandoverReply
from gentianbank.control.messages import MAX_MESSAGE_BYTES
from gentianbank.control.peers import PeerUnreachable
from gentianbank.control.wire_outcomes import MAX_BODY_BYTES
from gentianbank.domain.outcome import Answered
from gentianbank.domain.request_key import OpaqueKey
from gentianbank.requests import HANDOVER_TIMEOUT_MS
from gentianbank.requests import PeerRequests
from tests.support.virtual_loop import VirtualLoop

# Retained answers of the default size, and of the largest that can be set.
DEFAULT_BYTES = 65_536
LARGEST_BYTES = 16_000_000
LINK_BYTES_PER_S = 5_000_000 / 8


class SlowPeer:
    """A peer behind a slow link, with the limit on messages."""

    def __init__(self) -> None:
        self.handovers: list[Handover] = []

    async def request(
        self, vm: str, address: str, message: Handover, timeout_ms: float
    ) -> Result[HandoverReply, PeerUnreachable]:
        size_bytes = len(encode_message(message))
        transfer_ms = size_bytes / LINK_BYTES_PER_S * 1_000
        if size_bytes > MAX_MESSAGE_BYTES or transfer_ms > timeout_ms:
            return Error(PeerUnreachable(vm, 'the connection ended'))
        self.handovers.append(message)
        return Ok(HandoverReply(request_id=0))


def hand_over(bodies: list[bytes]) -> tuple[str, SlowPeer]:
    """Return the heir of retained answers, and what it got."""
    items = [
        (OpaqueKey('desk', f'k{number}'), 'f', Answered(200, (), body))
        for number, body in enumerate(bodies)
    ]
    table: Any = SimpleNamespace(
        items=lambda: items, incarnation='i', oldest_epoch=0
    )
    heir = SimpleNamespace(vm='vm-2', region='east', peer='10.0.0.2:1')
    state: Any = SimpleNamespace(
        me=SimpleNamespace(vm='vm-1', region='east'),
        members=SimpleNamespace(ready=lambda: [heir]),
    )
    keeper: Any = None
    admission: Any = SimpleNamespace(table=table)
    peer = SlowPeer()
    peers: Any = peer
    requests = PeerRequests(state, keeper)
    requests.attach(peers, admission)
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(requests.hand_over()), peer
    finally:
        loop.end()


@pytest.mark.parametrize('count', [0, 1, 100, 101, 1_000])
def test_retained_answers_are_handed_over_on_a_slow_link(count: int) -> None:
    # Batches were bounded in number only: 100 answers made 6.5 MB.
    bodies = [bytes([n % 256]) * DEFAULT_BYTES for n in range(count)]
    heir, peer = hand_over(bodies)
    assert heir == 'vm-2'
    assert [h.last for h in peer.handovers][:-1] == [False] * (
        len(peer.handovers) - 1
    )
    assert peer.handovers[-1].last
    handed_over = [
        item.outcome.body for h in peer.handovers for item in h.outcomes
    ]
    assert handed_over == bodies


def test_answer_that_fits_no_message_is_handed_over_without_its_body() -> None:
    heir, peer = hand_over([b'small', b'x' * LARGEST_BYTES, b'small'])
    assert heir == 'vm-2'
    outcomes = [item.outcome for h in peer.handovers for item in h.outcomes]
    assert [outcome.has_body for outcome in outcomes] == [True, False, True]
    assert outcomes[1].status == 200


def test_largest_body_takes_less_than_the_timeout() -> None:
    transfer_ms = MAX_BODY_BYTES / LINK_BYTES_PER_S * 1_000
    assert transfer_ms < HANDOVER_TIMEOUT_MS / 2
