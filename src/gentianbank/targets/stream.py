"""Byte stream of one connection to a target."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Reading pauses while more than this is buffered.
RECEIVE_BUFFER_BYTES = 32 * 1024
# The connection ends when sent data stays unacknowledged for this long.
USER_TIMEOUT_MS = 2_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


# Bytes are received here and taken out at once, so that one buffer serves all
# connections of the event loop.
_RECEIVED = memoryview(bytearray(RECEIVE_BUFFER_BYTES))


class TargetStream(asyncio.BufferedProtocol):
    """Asyncio protocol that reads and writes with flow control.

    An idle connection closes when bytes arrive, since they belong to no
    request.

    Parameters
    ----------
    on_closed
        Called once, when the connection has ended.

    Attributes
    ----------
    is_idle
        Whether no request uses the connection.
    written_bytes
        Bytes that were queued for sending since the connection began.
    """

    def __init__(self, on_closed: Callable[[], None]) -> None:
        self.is_idle = False
        self.written_bytes = 0
        self._on_closed = on_closed
        self._transport: asyncio.Transport
        self._buffer = bytearray()
        self._ended = False
        self._error: Exception | None = None
        self._closed_here = False
        self._read_waiter: asyncio.Future[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def is_usable(self) -> bool:
        """Return whether the connection is open with no bytes under way.

        Unsent bytes are the rest of a body that the target answered without
        reading.
        """
        return not (
            self._ended
            or self._buffer
            or self._transport.is_closing()
            or self._transport.get_write_buffer_size()
        )

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether bytes were received that nobody has read."""
        return bool(self._buffer)

    @property
    def was_lost(self) -> bool:
        """Return whether the peer or the network ended the connection."""
        return self._ended and not self._closed_here

    @property
    def has_ended(self) -> bool:
        """Return whether the connection has been closed or reset."""
        return self._ended

    def write(self, data: bytes) -> None:
        """Queue bytes for sending."""
        self.written_bytes += len(data)
        self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the send buffer has room.

        Raises
        ------
        ConnectionError
            If the connection has ended.
        """
        await self._writable.wait()
        if self._ended:
            raise ConnectionResetError(str(self._error or 'closed by peer'))

    async def read(self) -> bytes:
        """Wait for the next bytes; empty after an orderly end.

        Raises
        ------
        ConnectionError
            If the connection was reset.
        """
        while not self._buffer and not self._ended:
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        if self._buffer:
            data = bytes(self._buffer)
            self._buffer.clear()
            self._transport.resume_reading()
            return data
        if self._error is not None:
            raise ConnectionResetError(str(self._error))
        return b''

    def abort(self) -> None:
        """Close the connection without sending what is queued."""
        self._closed_here = True
        self._transport.abort()

    def close(self) -> None:
        """Close the connection after sending what is queued."""
        self._closed_here = True
        self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        _set_options(transport.get_extra_info('socket'))

    def get_buffer(self, sizehint: int) -> memoryview:
        return _RECEIVED

    def buffer_updated(self, nbytes: int) -> None:
        self._buffer += _RECEIVED[:nbytes]
        if len(self._buffer) > RECEIVE_BUFFER_BYTES:
            self._transport.pause_reading()
        self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        self._error = exc
        self._ended = True
        self._writable.set()
        self._wake()
        self._on_closed()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def _wake(self) -> None:
        """Resume the reader, or close an idle connection."""
        if self.is_idle and not self._ended:
            self.close()
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)


def _set_options(connection: socket.socket) -> None:
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, name, value in options:
        connection.setsockopt(level, name, value)
