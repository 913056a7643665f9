"""The HTTP server of a node."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

import uvicorn

from gentianbank.dataplane.bounded_protocol import BoundedProtocol

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterator

# A connection ends when its caller takes none of what was sent for so long.
# One that reads slowly is not affected.
STALL_TIMEOUT_MS = 15_000


class CallerProtocol(BoundedProtocol):
    """Connection of a caller, which ends when the caller stops reading."""

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        super().connection_made(transport)
        connection = transport.get_extra_info('socket')
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, STALL_TIMEOUT_MS
        )


class HttpServer(uvicorn.Server):
    """Uvicorn server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield
