"""HTTP/1.1 connection pool for requests to targets."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result
import h11

from gentianbank.domain.addresses import parse_address
from gentianbank.targets.connection import CONNECTION_ERRORS
from gentianbank.targets.connection import ConnectionAnswer
from gentianbank.targets.connection import describe
from gentianbank.targets.connection import TargetConnection
from gentianbank.targets.stream import TargetStream
from gentianbank.targets.transport import ConnectionLost
from gentianbank.targets.transport import MaybeSent
from gentianbank.targets.transport import NotAllowed
from gentianbank.targets.transport import NotSent
from gentianbank.targets.transport import SendError
from gentianbank.targets.transport import TargetAnswer
from gentianbank.targets.transport import TargetRequest
from gentianbank.targets.transport import TargetTransport
from gentianbank.targets.transport import Unreachable
from gentianbank.targets.turns import ParsingTurns

if TYPE_CHECKING:
    from collections.abc import Callable


_MS_PER_S = 1_000
_NOT_ALLOWED = NotAllowed('the target takes no new requests')


class ConnectionPool(TargetTransport):
    """Sends requests with h11 over persistent connections.

    Parameters
    ----------
    on_idle_lost
        Called with the address when an idle connection is lost soon after
        its last use, as when its target ends.
    """

    def __init__(
        self, on_idle_lost: Callable[[str], None] = lambda _: None
    ) -> None:
        self.turns = ParsingTurns()
        self._on_idle_lost = on_idle_lost
        self._idle: dict[str, list[TargetConnection]] = {}
        self._open: dict[str, int] = {}

    async def close(self) -> None:
        """Close the idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.stream.close()
        self._idle.clear()

    async def send(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, SendError]:
        if request.is_withheld:
            return Error(_NOT_ALLOWED)
        connection = self._take_idle(request)
        if connection is None:
            match await self._connect(request):
                case Result(tag='ok', ok=connection):
                    pass
                case Result(error=failure):
                    return Error(failure)
            # The target may have answered another request meanwhile.
            if request.is_withheld:
                connection.abort()
                return Error(_NOT_ALLOWED)
        written_bytes = connection.stream.written_bytes
        try:
            async with asyncio.timeout(
                request.headers_timeout_ms / _MS_PER_S
            ) as limit:
                head = await connection.exchange_heads(request)
        except h11.LocalProtocolError as error:
            connection.abort()
            nothing_sent = connection.stream.written_bytes == written_bytes
            failure_type = NotSent if nothing_sent else MaybeSent
            return Error(failure_type(f'the request is invalid: {error}'))
        except TimeoutError:
            connection.abort()
            # The operating system reports an unresponsive connection by a
            # TimeoutError too.
            if not limit.expired():
                return Error(ConnectionLost('the connection timed out'))
            return Error(MaybeSent('the target did not answer in time'))
        except CONNECTION_ERRORS as error:
            lost = connection.stream.has_ended
            connection.abort()
            outcome = ConnectionLost if lost else MaybeSent
            return Error(outcome(describe(error)))
        except BaseException:
            connection.abort()
            raise
        return Ok(ConnectionAnswer(connection, head))

    def put_idle(self, connection: TargetConnection) -> None:
        """Return a connection to the pool after its answer was read."""
        connection.stream.is_idle = True
        self._idle.setdefault(connection.address, []).append(connection)

    def _take_idle(self, request: TargetRequest) -> TargetConnection | None:
        """Take the most recently used connection that is still usable.

        One on which this request was rejected before is not: a copy of the
        rejection may follow, and could not be told from the answer.
        """
        connections = self._idle.get(request.address, [])
        now_s = time.monotonic()
        while connections:
            connection = connections.pop()
            is_usable = (
                connection.stream.is_usable
                and now_s < connection.idle_until_s
                and not connection.has_answered(request)
            )
            if is_usable:
                connection.stream.is_idle = False
                return connection
            connection.stream.close()
        self._idle.pop(request.address, None)
        return None

    async def _connect(
        self, request: TargetRequest
    ) -> Result[TargetConnection, SendError]:
        address = request.address
        if self._open.get(address, 0) >= request.max_connections:
            return Error(NotSent('every connection to the target is in use'))
        counted = _CountedConnection(self._open, address)
        connection: TargetConnection | None = None

        def on_closed() -> None:
            counted.release()
            if connection is not None and connection.is_lost_after_use:
                self._on_idle_lost(address)

        peer = parse_address(address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(request.connect_timeout_ms / _MS_PER_S):
                _, stream = await loop.create_connection(
                    lambda: TargetStream(on_closed), peer.host, peer.port
                )
        except (OSError, TimeoutError) as error:
            counted.release()
            return Error(Unreachable(describe(error)))
        except BaseException:
            counted.release()
            raise
        connection = TargetConnection(
            address, stream, self.turns, self.put_idle
        )
        return Ok(connection)


class _CountedConnection:
    """Counts one open connection to an address until it is released."""

    def __init__(self, counts: dict[str, int], address: str) -> None:
        self._counts = counts
        self._address = address
        self._is_counted = True
        counts[address] = counts.get(address, 0) + 1

    def release(self) -> None:
        """Remove the connection from the count; idempotent."""
        if not self._is_counted:
            return
        self._is_counted = False
        self._counts[self._address] -= 1
        if not self._counts[self._address]:
            del self._counts[self._address]
