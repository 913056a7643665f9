"""The HTTP server of a node."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

import uvicorn

from gentianbank.dataplane.pipelining import PipeliningProtocol

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterator

    from gentianbank.dataplane.pipelining import AheadNode

# A connection ends when its caller takes none of what was sent for so long.
# One that reads slowly is not affected.
STALL_TIMEOUT_MS = 15_000


class CallerProtocol(PipeliningProtocol):
    """Connection of a caller, which ends when the caller stops reading."""

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        super().connection_made(transport)
        connection = transport.get_extra_info('socket')
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, STALL_TIMEOUT_MS
        )


def caller_protocol(limits: AheadNode) -> type[CallerProtocol]:
    """Return a protocol whose callers may send requests ahead."""

    class AheadProtocol(CallerProtocol):
        ahead = limits

    return AheadProtocol


class HttpServer(uvicorn.Server):
    """Uvicorn server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield
