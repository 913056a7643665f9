"""Notice of long messages that are arriving over a slow link."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from websockets.asyncio.client import ClientConnection

if TYPE_CHECKING:
    from asyncio import Protocol as _Base
else:
    # The library's connection, which follows in the order of the bases.
    _Base = object

# A shorter message arrives within one heartbeat on any link.
LONG_MESSAGE_BYTES = 16 * 1024
# A message of which nothing came for so long is no longer arriving.
STALLED_S = 1.0


class MessageArrival(_Base):
    """Counts the bytes since the last whole message of a connection.

    To be combined with a connection of the WebSocket library, which tells of
    whole messages only.
    """

    _arrived_bytes = 0
    _arrived_s = float('-inf')

    @property
    def is_receiving(self) -> bool:
        """Return whether a long message is arriving."""
        return (
            self._arrived_bytes > LONG_MESSAGE_BYTES
            and time.monotonic() - self._arrived_s < STALLED_S
        )

    def on_message_read(self) -> None:
        """Count anew from here."""
        self._arrived_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Count the bytes, then let the library parse them."""
        self._arrived_bytes += len(data)
        self._arrived_s = time.monotonic()
        super().data_received(data)


class PeerClientConnection(MessageArrival, ClientConnection):
    """Connection that this node has opened to a peer."""
