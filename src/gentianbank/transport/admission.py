"""Bound on connections to the port for nodes before their handshake."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

from websockets.asyncio.server import ServerConnection

if TYPE_CHECKING:
    import asyncio

# A message of the handshake takes less than 200 bytes.
HANDSHAKE_BYTES = 4_096
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

    def admit(self, connection: ServerConnection, max_bytes: int) -> None:
        """Let an authenticated peer send messages up to a size."""
        connection.protocol.max_message_size = max_bytes
        if isinstance(connection, BoundedServerConnection):
            self._opened_s.pop(connection, None)

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


class BoundedServerConnection(ServerConnection):
    """Connection that counts as unauthenticated until it is admitted."""

    def __init__(
        self, admission: PeerAdmission, *arguments: Any, **options: Any
    ) -> None:
        super().__init__(*arguments, **options)
        self._admission = admission

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Refuse the connection if too many are unauthenticated."""
        super().connection_made(transport)
        if not self._admission.open(self):
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._admission.close(self)
        super().connection_lost(exc)
