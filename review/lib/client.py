"""Stand-in for clients: one request at a time on a kept connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import itertools
import random
import socket
import time

from http1 import parse_headers
from world import HOST
from world import Record

_NUMBERS = itertools.count()


@dataclass
class Result:
    """What a client saw of a request.

    Parameters
    ----------
    status
        Status of the answer; 0 without one.
    complete
        Whether the whole answer arrived.
    received
        Bytes of the body that arrived, of ``length``.
    """

    request_id: str
    status: int = 0
    stamp: str = ''
    complete: bool = False
    received: int = 0
    length: int = 0
    took_s: float = 0.0
    cause: str = ''
    body: bytes = b''


class Client:
    """A client with one connection, which may be slow.

    Parameters
    ----------
    bytes_per_s
        Rate of the client's link; ``None`` for no limit.
    """

    def __init__(
        self,
        address: tuple[str, int],
        record: Record,
        bytes_per_s: int | None = None,
    ) -> None:
        self._address = address
        self._record = record
        self._bytes_per_s = bytes_per_s
        self._socket: socket.socket | None = None

    async def connect(self) -> None:
        """Open the connection, with the segment size of an Ethernet link."""
        self.close()
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1_460)
        if self._bytes_per_s is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self._socket = connection
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(1.0):
            await loop.sock_connect(connection, self._address)

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def send(
        self,
        method: str,
        path: str,
        deadline_ms: int,
        body: bytes = b'',
        topic: str = '',
    ) -> Result:
        """Send a request and wait for its answer until the deadline."""
        request_id = f'{next(_NUMBERS):04x}{random.randrange(2**48):012x}'
        result = Result(request_id)
        begin_s = time.monotonic()
        try:
            async with asyncio.timeout(deadline_ms / 1_000):
                if self._socket is None:
                    await self.connect()
                self._record.write(f'sent {request_id} {method} {path}')
                await self._exchange(
                    method, path, deadline_ms, body, topic, result
                )
        except TimeoutError:
            result.cause = 'deadline'
        except (OSError, EOFError, ValueError) as error:
            result.cause = f'connection ended: {error!r}'
        result.took_s = time.monotonic() - begin_s
        if not result.complete:
            self.close()
        self._record.write(
            f'answer {request_id}: status {result.status}, '
            f'{result.received} of {result.length} bytes, '
            f'{"whole" if result.complete else "NOT WHOLE"}, '
            f'after {result.took_s:.3f} s {result.cause}'
        )
        return result

    async def _exchange(
        self,
        method: str,
        path: str,
        deadline_ms: int,
        body: bytes,
        topic: str,
        result: Result,
    ) -> None:
        assert self._socket is not None
        loop = asyncio.get_running_loop()
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Request-Id: {result.request_id}\r\n'
            f'Deadline-Ms: {deadline_ms}\r\n'
        )
        if topic:
            head += f'Affinity-Key: {topic}\r\n'
        if method == 'POST':
            head += f'Content-Length: {len(body)}\r\n'
        await loop.sock_sendall(self._socket, f'{head}\r\n'.encode() + body)
        data = b''
        while b'\r\n\r\n' not in data:
            data += await self._read(2_048)
        raw_head, _, rest = data.partition(b'\r\n\r\n')
        lines = raw_head.decode('latin-1').split('\r\n')
        headers = parse_headers(lines[1:])
        result.status = int(lines[0].split()[1])
        result.stamp = headers.get('server-stamp', '')
        result.length = int(headers['content-length'])
        chunks = [rest]
        result.received = len(rest)
        while result.received < result.length:
            chunk = await self._read(2_048)
            chunks.append(chunk)
            result.received += len(chunk)
        result.body = b''.join(chunks)
        result.complete = True
        if headers.get('connection', '').lower() == 'close':
            self.close()

    async def _read(self, size: int) -> bytes:
        assert self._socket is not None
        loop = asyncio.get_running_loop()
        data = await loop.sock_recv(self._socket, size)
        if not data:
            raise EOFError('closed by the node')
        if self._bytes_per_s is not None:
            await asyncio.sleep(len(data) / self._bytes_per_s)
        return data
