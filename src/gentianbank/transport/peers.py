"""Connections between nodes: CBOR messages over WebSockets."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import TYPE_CHECKING

from absl import logging
from expression import Error
from expression import Ok
from expression import Result
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException

from gentianbank.control.messages import decode_message
from gentianbank.control.messages import encode_message
from gentianbank.control.messages import Goodbye
from gentianbank.control.messages import MAX_MESSAGE_BYTES
from gentianbank.control.messages import Message
from gentianbank.control.messages import RequestOrReply
from gentianbank.control.messages import UnknownMessage
from gentianbank.control.peers import Connected
from gentianbank.control.peers import Disconnected
from gentianbank.control.peers import PeerConnections
from gentianbank.control.peers import PeerUnreachable
from gentianbank.control.peers import Received
from gentianbank.control.peers import Unreachable
from gentianbank.domain.addresses import parse_address
from gentianbank.transport import handshake
from gentianbank.transport.admission import BoundedServerConnection
from gentianbank.transport.admission import MAX_UNAUTHENTICATED
from gentianbank.transport.admission import PeerAdmission
from gentianbank.transport.arrivals import PeerClientConnection
from gentianbank.transport.channel import RequestChannel

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterable

    from websockets.asyncio.server import Server
    from websockets.asyncio.server import ServerConnection

    from gentianbank.control.peers import AddressResolver
    from gentianbank.control.peers import EventSink
    from gentianbank.control.peers import KeyResolver
    from gentianbank.control.peers import RequestHandler

DIAL_TIMEOUT_S = 2.0
MAX_OUTBOX_MESSAGES = 1_000
MAX_MALFORMED_MESSAGES = 3
_MS_PER_S = 1_000
_CONNECTION_ERRORS = (OSError, WebSocketException, TimeoutError)


@dataclass(slots=True, eq=False)
class _Connection:
    """An open connection, with one task to read and one to write.

    Messages to send wait in a bounded outbox.
    """

    vm: str
    socket: PeerClientConnection | BoundedServerConnection
    outbox: asyncio.Queue[bytes | None] = field(
        default_factory=lambda: asyncio.Queue(MAX_OUTBOX_MESSAGES)
    )

    def put(self, message: Message) -> None:
        """Queue a message; abort the connection if the outbox is full.

        A full outbox means that the peer does not read.
        """
        self.put_encoded(encode_message(message))

    def put_encoded(self, data: bytes) -> None:
        """Queue an encoded message, see ``put``."""
        try:
            self.outbox.put_nowait(data)
        except asyncio.QueueFull:
            logging.warning(
                'outbox of peer %s is full; aborting its connection', self.vm
            )
            self.socket.transport.abort()

    def finish(self) -> None:
        """Close the connection after the queued messages are written."""
        try:
            self.outbox.put_nowait(None)
        except asyncio.QueueFull:
            self.socket.transport.abort()

    async def write(self) -> None:
        """Write queued messages until ``finish`` is called."""
        while (data := await self.outbox.get()) is not None:
            await self.socket.send(data)
        await self.socket.close()

    async def read(self, on_message: Callable[[Message], None]) -> None:
        """Read messages until the connection ends.

        The connection is closed after too many malformed messages. Those of
        a kind that only a newer version knows are ignored.
        """
        malformed = 0
        unknown = 0
        async for data in self.socket:
            self.socket.on_message_read()
            raw = data.encode() if isinstance(data, str) else data
            match decode_message(raw):
                case Result(tag='ok', ok=message):
                    malformed += not self._handle(message, on_message)
                case Result(error=UnknownMessage() as error):
                    unknown += 1
                    if unknown == 1:
                        logging.warning(
                            'message of peer %s ignored: %s', self.vm, error
                        )
                case Result(error=error):
                    malformed += 1
                    logging.warning(
                        'malformed message of peer %s: %s', self.vm, error
                    )
            if malformed >= MAX_MALFORMED_MESSAGES:
                await self.socket.close(1008, 'malformed messages')

    def _handle(
        self, message: Message, on_message: Callable[[Message], None]
    ) -> bool:
        """Handle a message; return whether that was possible."""
        try:
            on_message(message)
        except Exception:
            # One message must not end the connection or the task.
            logging.exception('message of peer %s not handled', self.vm)
            return False
        return True

    async def run(self, on_message: Callable[[Message], None]) -> None:
        """Read and write until the connection ends."""
        writer = asyncio.create_task(self.write())
        try:
            await self.read(on_message)
        except _CONNECTION_ERRORS:
            pass
        finally:
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)


class WebsocketPeers(PeerConnections):
    """Connections of one node to its peers, over WebSockets.

    Control messages and requests use separate connections. Two nodes that
    dial each other at the same time may have two control connections.

    Parameters
    ----------
    own
        VM name and key of this node.
    address
        Peer address of this node. Outgoing connections use its host as
        their source address, which peers verify.
    on_event
        Called with each event of a connection.
    answer_request
        Answers requests of other nodes; no reply is sent for ``None``.
    address_of
        Returns the peer address of a VM, if it is known.
    key_of
        Returns the key that a dialled VM must hold, if it is known. By
        default all nodes share the key of this node.
    max_unauthenticated
        Connections that have not proved yet that they hold the key.
    """

    def __init__(
        self,
        own: handshake.Credentials,
        address: str,
        on_event: EventSink,
        answer_request: RequestHandler,
        address_of: AddressResolver,
        key_of: KeyResolver | None = None,
        max_unauthenticated: int = MAX_UNAUTHENTICATED,
    ) -> None:
        self._own = own
        self._key_of = key_of
        self._address = parse_address(address)
        self._on_event = on_event
        self._answer_request = answer_request
        self._address_of = address_of
        self._connections: dict[str, set[_Connection]] = {}
        self._dialling: set[str] = set()
        self._channels: dict[str, RequestChannel] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: Server | None = None
        self._admission = PeerAdmission(max_unauthenticated)

    async def start(self) -> None:
        """Listen for connections of peers."""
        self._server = await serve(
            self._accept,
            self._address.host,
            self._address.port,
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
            ping_interval=None,
            open_timeout=DIAL_TIMEOUT_S,
            create_connection=(
                self._admission.build_connection  # type: ignore[arg-type]
            ),
        )

    async def close(self) -> None:
        """Close every connection and stop listening."""
        for vm in list(self._connections):
            self.disconnect(vm)
        for channel in self._channels.values():
            channel.close()
        # Lets the goodbyes be written before the tasks are cancelled.
        await asyncio.sleep(0.05)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def dial(self, vm: str, address: str) -> None:
        if vm in self._connections or vm in self._dialling:
            return
        self._dialling.add(vm)
        self._spawn(self._dial(vm, address))

    def disconnect(self, vm: str) -> None:
        for connection in self._connections.get(vm, ()):
            connection.put(Goodbye())
            connection.finish()

    def send(self, vm: str, message: Message) -> None:
        for connection in self._connections.get(vm, ()):
            connection.put(message)
            return

    def send_to_each(self, vms: Iterable[str], message: Message) -> None:
        data = encode_message(message)
        for vm in vms:
            for connection in self._connections.get(vm, ()):
                connection.put_encoded(data)
                break

    def receiving_from(self) -> frozenset[str]:
        return frozenset(
            vm
            for vm, connections in self._connections.items()
            if any(c.socket.is_receiving for c in connections)
        )

    async def request(
        self, vm: str, address: str, message: RequestOrReply, timeout_ms: float
    ) -> Result[RequestOrReply, PeerUnreachable]:
        channel = self._channels.get(vm)
        if channel is None or channel.closed:
            channel = self._channels[vm] = RequestChannel()
            self._spawn(self._run_channel(channel, vm, address))
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                return Ok(await channel.request(message))
        except _CONNECTION_ERRORS as error:
            cause = f'{type(error).__name__} {error}'.strip()
            return Error(PeerUnreachable(vm, cause))

    async def _connect(self, address: str) -> PeerClientConnection:
        peer = parse_address(address)
        socket = await connect(
            f'ws://{address}/',
            local_addr=(self._address.host, 0),
            host=peer.host,
            port=peer.port,
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
            ping_interval=None,
            open_timeout=DIAL_TIMEOUT_S,
            close_timeout=1,
            proxy=None,
            create_connection=PeerClientConnection,
        ).__aenter__()
        assert isinstance(socket, PeerClientConnection)
        return socket

    def _credentials(self, vm: str) -> handshake.Credentials:
        """Return the credentials for the handshake with a dialled VM."""
        if self._key_of is None:
            return self._own
        return handshake.Credentials(self._own.vm, self._key_of(vm) or b'')

    async def _run_channel(
        self, channel: RequestChannel, vm: str, address: str
    ) -> None:
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                socket = await self._connect(address)
                result = await handshake.authenticate_as_client(
                    socket, self._credentials(vm), handshake.PURPOSE_REQUESTS
                )
        except _CONNECTION_ERRORS:
            channel.close()
            return
        except Exception:
            logging.exception('channel to peer %s not opened', vm)
            channel.close()
            return
        match result:
            case Result(tag='ok'):
                await channel.run(socket)
            case _:
                channel.close()
                await socket.close()

    async def _dial(self, vm: str, address: str) -> None:
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                socket = await self._connect(address)
                result = await handshake.authenticate_as_client(
                    socket, self._credentials(vm), handshake.PURPOSE_CONTROL
                )
        except _CONNECTION_ERRORS:
            self._on_unreachable(vm)
            return
        except Exception:
            logging.exception('handshake with peer %s failed', vm)
            self._on_unreachable(vm)
            return
        match result:
            case Result(tag='ok', ok=identity):
                await self._run_control_connection(
                    _Connection(identity.vm, socket), vm
                )
            case Result(error=refused):
                logging.warning(
                    'handshake with %s failed: %s', vm, refused.cause
                )
                await socket.close()
                self._on_unreachable(vm)

    def _on_unreachable(self, vm: str) -> None:
        self._dialling.discard(vm)
        self._on_event(Unreachable(vm))

    async def _accept(self, socket: ServerConnection) -> None:
        assert isinstance(socket, BoundedServerConnection)
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                result = await handshake.authenticate_as_server(
                    socket, self._own, self._address_of
                )
        except _CONNECTION_ERRORS:
            # Closing in order would wait for the other side once more.
            socket.transport.abort()
            return
        match result:
            case Result(tag='ok', ok=identity):
                self._admission.admit(socket)
                connection = _Connection(identity.vm, socket)
                if identity.purpose == handshake.PURPOSE_CONTROL:
                    await self._run_control_connection(connection, identity.vm)
                else:
                    await self._run_request_connection(connection)
            case Result(error=refused):
                logging.warning(
                    'connection of a peer refused: %s', refused.cause
                )
                await socket.close(1008, 'refused')

    async def _run_control_connection(
        self, connection: _Connection, dialled_vm: str
    ) -> None:
        """Run a control connection until it ends.

        Reports the first connection to a peer and the end of the last one.
        """
        vm = connection.vm
        self._dialling.discard(dialled_vm)
        connections = self._connections.setdefault(vm, set())
        connections.add(connection)
        if len(connections) == 1:
            self._on_event(Connected(vm))
        try:
            await connection.run(
                lambda message: self._on_event(Received(vm, message))
            )
        finally:
            connections.discard(connection)
            if not connections and self._connections.get(vm) is connections:
                del self._connections[vm]
                self._on_event(Disconnected(vm))

    async def _run_request_connection(self, connection: _Connection) -> None:
        async def answer(message: Message) -> None:
            reply = await self._answer_request(connection.vm, message)
            if reply is not None:
                connection.put(reply)

        await connection.run(lambda message: self._spawn(answer(message)))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
