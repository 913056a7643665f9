"""Connections between nodes, over real sockets on loopback."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
import socket
from typing import Any
from typing import TYPE_CHECKING

import cbor2
import pytest
from websockets.asyncio.client import connect

from gentianbank.control import messages
from gentianbank.control.messages import Bodies
from gentianbank.control.messages import decode_message
from gentianbank.control.messages import encode_message
from gentianbank.control.messages import Heartbeat
from gentianbank.control.messages import LoanReply
from gentianbank.control.messages import LoanRequest
from gentianbank.control.messages import Message
from gentianbank.control.messages import RegionDigest
from gentianbank.control.messages import RegionDigests
from gentianbank.control.peers import Connected
from gentianbank.control.peers import PeerEvent
from gentianbank.control.peers import Received
from gentianbank.control.peers import Unreachable
from gentianbank.domain.addresses import parse_address
from gentianbank.transport import admission
from gentianbank.transport import arrivals
from gentianbank.transport import handshake
from gentianbank.transport.handshake import Credentials
from gentianbank.transport.peers import MAX_MALFORMED_MESSAGES
from gentianbank.transport.peers import WebsocketPeers

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from gentianbank.control.peers import EventSink

KEY = b'a-key-of-the-fleet'
EVENT_TIMEOUT_S = 10
HELD_AFTER_BYTES = 100_000


class Node:
    """Connections of one node, and the events that they reported."""

    def __init__(self, vm: str, address: str, key: bytes = KEY) -> None:
        self.address = address
        self.addresses: dict[str, str] = {}
        self.keys: dict[str, bytes] = {}
        self.events: asyncio.Queue[PeerEvent] = asyncio.Queue()
        self.on_event: EventSink = self.events.put_nowait
        self.peers = WebsocketPeers(
            Credentials(vm, key),
            address,
            lambda event: self.on_event(event),
            self._answer,
            self.addresses.get,
            lambda vm: self.keys.get(vm, key),
        )

    async def next_event(self) -> PeerEvent:
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            return await self.events.get()

    async def _answer(self, vm: str, message: Message) -> Message | None:
        assert isinstance(message, LoanRequest)
        return LoanReply(request_id=message.request_id, amount=message.wanted)


def free_address(host: str) -> str:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f'{host}:{probe.getsockname()[1]}'


def run_with_two_nodes(
    test: Callable[[Node, Node], Coroutine[Any, Any, None]],
    second_key: bytes = KEY,
) -> None:
    async def body() -> None:
        first = Node('vm-1', free_address('127.0.0.1'))
        second = Node('vm-2', free_address('127.0.0.2'), second_key)
        await first.peers.start()
        await second.peers.start()
        try:
            await test(first, second)
        finally:
            await first.peers.close()
            await second.peers.close()
            # Lets sockets without a handshake close before the event loop.
            await asyncio.sleep(0.1)

    asyncio.run(body())


def test_peers_exchange_messages_and_requests() -> None:
    async def test(first: Node, second: Node) -> None:
        first.peers.dial('vm-2', second.address)
        assert await first.next_event() == Connected('vm-2')
        assert await second.next_event() == Connected('vm-1')
        heartbeat = Heartbeat(revision=7, members_digest=2**64 - 1)
        second.peers.send('vm-1', heartbeat)
        assert await first.next_event() == Received('vm-2', heartbeat)
        for wanted in (1.0, 2.0):
            request = LoanRequest(request_id=0, budget='b', wanted=wanted)
            reply = await first.peers.request(
                'vm-2', second.address, request, 5_000
            )
            assert reply.ok.amount == wanted  # type: ignore[attr-defined]

    run_with_two_nodes(test)


def test_peer_with_another_key_is_refused() -> None:
    async def test(first: Node, second: Node) -> None:
        first.peers.dial('vm-2', second.address)
        assert await first.next_event() == Unreachable('vm-2')

    run_with_two_nodes(test, b'another-key')


def test_peer_with_name_of_another_vm_is_refused() -> None:
    async def test(first: Node, second: Node) -> None:
        second.addresses['vm-1'] = '127.0.0.9:1'
        first.peers.dial('vm-2', second.address)
        assert await first.next_event() == Unreachable('vm-2')

    run_with_two_nodes(test)


def test_node_survives_malformed_bytes() -> None:
    async def test(first: Node, second: Node) -> None:
        for data in (b'\xff\x00', b'', b'a' * 5_000_000, 'text'):
            client = await connect(f'ws://{second.address}/')
            await client.send(data)
            await client.wait_closed()
        first.peers.dial('vm-2', second.address)
        assert await first.next_event() == Connected('vm-2')

    run_with_two_nodes(test)


def test_large_message_right_behind_the_proof_arrives() -> None:
    # The bound on unauthenticated bytes must not cost a peer its connection
    # when proof and message are read at once.
    async def test(first: Node, second: Node) -> None:
        digests = RegionDigests(
            digests=tuple(
                RegionDigest(region=f'region-{number}', digest=2**64 - 1)
                for number in range(10_000)
            )
        )
        received = first.events.put_nowait

        def send_at_once(event: PeerEvent) -> None:
            received(event)
            if event == Connected('vm-2'):
                first.peers.send('vm-2', digests)

        first.on_event = send_at_once
        first.peers.dial('vm-2', second.address)
        assert await second.next_event() == Connected('vm-1')
        assert await second.next_event() == Received('vm-1', digests)

    run_with_two_nodes(test)


def test_silent_connections_do_not_keep_peers_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(admission, 'HANDSHAKE_S', 0.0)

    async def test(first: Node, second: Node) -> None:
        host, _, port = second.address.rpartition(':')
        silent = [
            await asyncio.open_connection(host, int(port))
            for _ in range(2 * admission.MAX_UNAUTHENTICATED)
        ]
        first.peers.dial('vm-2', second.address)
        assert await first.next_event() == Connected('vm-2')
        assert await silent[0][0].read() == b''
        for _, writer in silent:
            writer.close()

    run_with_two_nodes(test)


def test_message_that_the_receiver_fails_on_costs_only_itself() -> None:
    async def test(first: Node, second: Node) -> None:
        received = second.events.put_nowait

        def fail_once(event: PeerEvent) -> None:
            if event == Received(
                'vm-1', Heartbeat(revision=1, members_digest=1)
            ):
                raise OverflowError('the message cannot be applied')
            received(event)

        second.on_event = fail_once
        first.peers.dial('vm-2', second.address)
        assert await second.next_event() == Connected('vm-1')
        for revision in (1, 2):
            heartbeat = Heartbeat(revision=revision, members_digest=1)
            first.peers.send('vm-2', heartbeat)
        assert await second.next_event() == Received('vm-1', heartbeat)

    run_with_two_nodes(test)


def test_peer_is_dialled_again_after_a_handshake_that_failed_unexpectedly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(first: Node, second: Node) -> None:
        with monkeypatch.context() as patch:
            patch.setattr(handshake, 'authenticate_as_client', _fail)
            first.peers.dial('vm-2', second.address)
            assert await first.next_event() == Unreachable('vm-2')
        first.peers.dial('vm-2', second.address)
        assert await first.next_event() == Connected('vm-2')

    async def _fail(*_: Any) -> None:
        raise ValueError('unexpected')

    run_with_two_nodes(test)


def test_messages_of_kinds_that_a_newer_version_added_are_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    @dataclass(frozen=True, slots=True, kw_only=True)
    class Later(Message):
        """A message that only the sender knows."""

    monkeypatch.setitem(messages._KIND_BY_TYPE, Later, 'later')

    async def test(first: Node, second: Node) -> None:
        first.peers.dial('vm-2', second.address)
        assert await second.next_event() == Connected('vm-1')
        for _ in range(2 * MAX_MALFORMED_MESSAGES):
            first.peers.send('vm-2', Later())
        # Time in which the receiver could close the connection.
        await asyncio.sleep(0.2)
        heartbeat = Heartbeat(revision=7, members_digest=1)
        first.peers.send('vm-2', heartbeat)
        assert await second.next_event() == Received('vm-1', heartbeat)

    run_with_two_nodes(test)


def test_values_that_a_newer_version_added_are_ignored() -> None:
    heartbeat = Heartbeat(revision=3, members_digest=9)
    kind, values = cbor2.loads(encode_message(heartbeat))
    newer = cbor2.dumps([kind, [*values, {'later': 1}]])
    assert decode_message(newer).ok == heartbeat


@pytest.mark.parametrize(
    ('values', 'expected'),
    [
        (['heartbeat', [-1, 0]], 'revision: -1 is outside'),
        (['heartbeat', ['1', 0]], 'revision: expected a whole number'),
        (['heartbeat', [1]], 'members_digest: missing'),
        (['no-such-kind', []], "unknown kind 'no-such-kind'"),
        ([['no', 'kind'], []], 'TypeError'),
        ([7, []], 'KeyError'),
        ({'a': 1}, 'Error'),
        (['change-set', [0, 1, {'x': 'y'}, [], {}]], 'digests.x'),
        (['bodies', [{'0' * 32: b'x' * 1_000_001}]], 'at most 1000000 bytes'),
    ],
)
def test_decode_error_names_the_fault(values: Any, expected: str) -> None:
    result = decode_message(cbor2.dumps(values))
    assert result.is_error()
    assert expected in str(result.error)


def test_encoded_message_decodes_to_itself() -> None:
    message = Heartbeat(revision=3, members_digest=5)
    assert decode_message(encode_message(message)).ok == message


def test_nodes_may_have_different_keys() -> None:
    async def test(first: Node, second: Node) -> None:
        first.keys['vm-2'] = b'key-of-vm-2'
        first.peers.dial('vm-2', second.address)
        assert await first.next_event() == Connected('vm-2')

    run_with_two_nodes(test, b'key-of-vm-2')


def test_send_to_each_reaches_connected_peers() -> None:
    async def test(first: Node, second: Node) -> None:
        first.peers.dial('vm-2', second.address)
        assert await first.next_event() == Connected('vm-2')
        assert await second.next_event() == Connected('vm-1')
        heartbeat = Heartbeat(revision=7, members_digest=1)
        first.peers.send_to_each(['vm-2', 'vm-9'], heartbeat)
        assert await second.next_event() == Received('vm-1', heartbeat)

    run_with_two_nodes(test)


class HeldLink:
    """A proxy to a peer that holds what follows after some bytes."""

    def __init__(self, target: str, source_host: str) -> None:
        self._target = parse_address(target)
        self._source_host = source_host
        self.held_after_bytes = HELD_AFTER_BYTES
        self.is_free = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(
            self._target.host,
            self._target.port,
            local_addr=(self._source_host, 0),
        )
        await asyncio.gather(
            self._pass(reader, far_writer), self._pass(far_reader, writer)
        )

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        passed_bytes = 0
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(8_192):
                passed_bytes += len(data)
                if passed_bytes > self.held_after_bytes:
                    await self.is_free.wait()
                writer.write(data)
        writer.close()


@pytest.mark.parametrize('is_dialled', [False, True])
def test_peer_of_which_a_long_message_arrives_is_known(
    is_dialled: bool,
) -> None:
    # Such a peer counted as silent, and the message was lost with it.
    async def test(first: Node, second: Node) -> None:
        link = HeldLink(second.address, '127.0.0.1')
        address = free_address('127.0.0.3')
        host, port = address.split(':')
        server = await asyncio.start_server(link.serve, host, int(port))
        first.peers.dial('vm-2', address)
        assert await first.next_event() == Connected('vm-2')
        assert await second.next_event() == Connected('vm-1')
        assert not first.peers.receiving_from()
        message = Bodies(bodies={'0' * 32: b'x' * 2 * HELD_AFTER_BYTES})
        sender, receiver = (first, second) if is_dialled else (second, first)
        name = 'vm-1' if is_dialled else 'vm-2'
        sender.peers.send('vm-2' if is_dialled else 'vm-1', message)
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            while name not in receiver.peers.receiving_from():
                await asyncio.sleep(0.01)
        assert receiver.events.empty()
        link.is_free.set()
        assert await receiver.next_event() == Received(name, message)
        assert not receiver.peers.receiving_from()
        server.close()

    run_with_two_nodes(test)


def test_peer_whose_long_message_stops_is_not_receiving_for_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class Connection(arrivals.MessageArrival, asyncio.Protocol):
        """A connection whose library does nothing."""

        def data_received(self, data: bytes) -> None:
            super().data_received(data)

    connection = Connection()
    connection.data_received(b'x' * (arrivals.LONG_MESSAGE_BYTES + 1))
    assert connection.is_receiving
    monkeypatch.setattr(arrivals, 'STALLED_S', 0.0)
    assert not connection.is_receiving
