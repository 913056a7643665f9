"""Bound on connections to the port for nodes before their handshake."""

from __future__ import annotations

import contextlib
import time
from typing import Any
from typing import TYPE_CHECKING

from websockets.asyncio.server import ServerConnection
from websockets.protocol import CLOSED
from websockets.protocol import CLOSING

from gentianbank.transport.arrivals import MessageArrival

if TYPE_CHECKING:
    import asyncio

# Reading stops after so much until the handshake is complete. Its messages
# take less than 200 bytes each, but a peer sends on right after its proof.
HANDSHAKE_BYTES = 16_384
# A connection that is not a peer's ends here: the WebSocket library may go on
# reading by itself.
MAX_HANDSHAKE_BYTES = 131_072
READ_BYTES = 16_384
AUTHENTICATED_READ_BYTES = 262_144
MAX_UNAUTHENTICATED = 256
# A peer proves its key within a few round trips. One that has taken longer is
# replaced by a newcomer when there are too many.
HANDSHAKE_S = 0.5


class PeerAdmission:
    """Connections that have not proved yet that they hold the key."""

    def __init__(self, max_unauthenticated: int) -> None:
        self._max_unauthenticated = max_unauthenticated
        # Time of the connection in seconds; the oldest is first.
        self._opened_s: dict[BoundedServerConnection, float] = {}

    def build_connection(
        self, *arguments: Any, **options: Any
    ) -> BoundedServerConnection:
        """Return a connection that this admission accounts for."""
        return BoundedServerConnection(self, *arguments, **options)

    def admit(self, connection: ServerConnection) -> None:
        """Lift the bounds for an authenticated peer."""
        if isinstance(connection, BoundedServerConnection):
            self._opened_s.pop(connection, None)
            connection.on_admitted()

    def open(self, connection: BoundedServerConnection) -> bool:
        """Account for a new connection; return whether it may stay."""
        now_s = time.monotonic()
        if len(self._opened_s) >= self._max_unauthenticated:
            oldest = next(iter(self._opened_s))
            if now_s - self._opened_s[oldest] < HANDSHAKE_S:
                return False
            del self._opened_s[oldest]
            oldest.transport.abort()
        self._opened_s[connection] = now_s
        return True

    def close(self, connection: BoundedServerConnection) -> None:
        """Forget a connection that has ended."""
        self._opened_s.pop(connection, None)


class BoundedServerConnection(MessageArrival, ServerConnection):
    """Connection that counts as unauthenticated until it is admitted."""

    def __init__(
        self, admission: PeerAdmission, *arguments: Any, **options: Any
    ) -> None:
        super().__init__(*arguments, **options)
        self._admission = admission
        self._is_admitted = False
        self._received_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Refuse the connection if too many are unauthenticated."""
        super().connection_made(transport)
        self._set_read_bytes(READ_BYTES)
        if not self._admission.open(self):
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Stop reading once more has come than a handshake takes."""
        super().data_received(data)
        # The library discards what comes after it has begun to close.
        if self._is_admitted or self.protocol.state in (CLOSING, CLOSED):
            return
        self._received_bytes += len(data)
        if self._received_bytes > MAX_HANDSHAKE_BYTES:
            self.transport.abort()
        elif self._received_bytes > HANDSHAKE_BYTES:
            self.transport.pause_reading()

    def on_admitted(self) -> None:
        """Read without these bounds from now on."""
        self._is_admitted = True
        self._set_read_bytes(AUTHENTICATED_READ_BYTES)
        self.transport.resume_reading()

    def _set_read_bytes(self, count: int) -> None:
        """Set how much asyncio reads at once, where it can be set."""
        with contextlib.suppress(AttributeError):
            self.transport.max_size = count  # type: ignore[attr-defined]

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._admission.close(self)
        super().connection_lost(exc)
