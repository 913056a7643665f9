"""Callers that send without end, send nothing or read nothing."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
import os
from pathlib import Path
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

CALLERS = 40
# All callers together send several times what a node may grow by.
BYTES_PER_CALLER = 6_000_000
SEND_TIMEOUT_S = 4.0
# The crowd ends sooner if the node has read nothing from any caller for this
# long and was idle: then it has stopped reading. A node that reads nothing
# since it is busy gets the whole crowd.
NO_PROGRESS_S = 1.5
IDLE_CPU_PART = 0.3
PROGRESS_POLL_S = 0.1
HOLD_S = 1.0
BLOCK_BYTES = 60_000
PART_BYTES = 4_000
RECEIVE_BUFFER_BYTES = 4_096
_BYTES_PER_KB = 1_024


@dataclass(frozen=True, slots=True)
class HostileForm:
    """What each caller of a crowd sends.

    Parameters
    ----------
    start
        Sent once.
    block
        Sent again and again; empty to send nothing more.
    pause_s
        Pause after each block.
    read_bytes
        Bytes of answers that are read after each block.
    """

    name: str
    start: bytes = b''
    block: bytes = b''
    pause_s: float = 0.0
    read_bytes: int = 0


def repeat(part: bytes) -> bytes:
    """Return a block that repeats a part."""
    return part * (BLOCK_BYTES // len(part))


class HostileCrowd:
    """Connections that send one form, each for a bounded time.

    Parameters
    ----------
    address
        ``IP:port`` that the crowd connects to.
    source
        IP address that the connections come from.
    """

    def __init__(self, address: str, source: str = '127.0.0.1') -> None:
        host, _, port = address.rpartition(':')
        self._address = (host, int(port))
        self._source = source
        self._sockets: list[socket.socket] = []
        self._progress_s = 0.0

    async def send(
        self, form: HostileForm, callers: int, watch: ProcessWatch
    ) -> None:
        """Connect and send; the connections stay open until ``close``."""
        loop = asyncio.get_running_loop()
        self._progress_s = loop.time()
        tasks = {loop.create_task(self._run(form)) for _ in range(callers)}
        seen_s, seen_cpu_s = self._progress_s, watch.cpu_s
        while tasks:
            _, tasks = await asyncio.wait(tasks, timeout=PROGRESS_POLL_S)
            waited_s = loop.time() - seen_s
            if self._progress_s != seen_s:
                seen_s, seen_cpu_s = self._progress_s, watch.cpu_s
            elif waited_s > NO_PROGRESS_S and (
                watch.cpu_s - seen_cpu_s < IDLE_CPU_PART * waited_s
            ):
                break
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(HOLD_S)

    def close(self) -> None:
        """Close all connections."""
        for connection in self._sockets:
            connection.close()
        self._sockets.clear()

    async def _run(self, form: HostileForm) -> None:
        connection = socket.socket()
        self._sockets.append(connection)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        connection.setblocking(False)
        connection.bind((self._source, 0))
        # A node may refuse, close or stop reading at any byte.
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await self._send_all(connection, form)

    async def _send_all(
        self, connection: socket.socket, form: HostileForm
    ) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, self._address)
        await loop.sock_sendall(connection, form.start)
        sent = 0
        while form.block and sent < BYTES_PER_CALLER:
            await self._send_block(connection, form.block)
            sent += len(form.block)
            await asyncio.sleep(form.pause_s)
            if form.read_bytes:
                with contextlib.suppress(BlockingIOError):
                    connection.recv(form.read_bytes)

    async def _send_block(
        self, connection: socket.socket, block: bytes
    ) -> None:
        """Send in parts, each of which counts as progress."""
        loop = asyncio.get_running_loop()
        for begin in range(0, len(block), PART_BYTES):
            part = block[begin : begin + PART_BYTES]
            await loop.sock_sendall(connection, part)
            self._progress_s = loop.time()


@dataclass(slots=True)
class ProcessWatch:
    """Growth of a process since the watch began."""

    pid: int
    idle_kb: int = 0
    idle_descriptors: int = 0

    def begin(self) -> None:
        """Take the figures of the idle process."""
        self.idle_kb = self._status_kb('VmRSS')
        self.idle_descriptors = self.descriptors

    @property
    def cpu_s(self) -> float:
        """Return the processor time that the process has used."""
        with contextlib.suppress(OSError):
            stat = Path(f'/proc/{self.pid}/stat').read_text()
            user, system = stat.rpartition(')')[2].split()[11:13]
            return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')
        return 0.0

    @property
    def descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(os.listdir(f'/proc/{self.pid}/fd'))

    @property
    def extra_descriptors(self) -> int:
        """Return the descriptors beyond those of the idle process."""
        return self.descriptors - self.idle_descriptors

    @property
    def peak_growth_mb(self) -> float:
        """Return the largest resident memory beyond the idle process."""
        growth_kb = self._status_kb('VmHWM') - self.idle_kb
        return growth_kb / _BYTES_PER_KB

    @property
    def growth_mb(self) -> float:
        """Return the resident memory beyond the idle process."""
        return (self._status_kb('VmRSS') - self.idle_kb) / _BYTES_PER_KB

    @property
    def is_running(self) -> bool:
        """Return whether the process lives and is no zombie."""
        with contextlib.suppress(OSError):
            status = Path(f'/proc/{self.pid}/status').read_text()
            return '\nState:\tZ' not in status
        return False

    def _status_kb(self, field_name: str) -> int:
        status = Path(f'/proc/{self.pid}/status').read_text()
        lines = status.splitlines()
        line = next(li for li in lines if li.startswith(f'{field_name}:'))
        return int(line.split()[1])


def build_forms(host: str) -> Iterable[HostileForm]:
    """Return the forms that fill a node's memory through one port."""
    get = f'GET /read/1 HTTP/1.1\r\nHost: {host}\r\n'.encode()
    post = f'POST /order/1 HTTP/1.1\r\nHost: {host}\r\n'.encode()
    ids = b'Request-Id: hostile\r\nDeadline-Ms: 60000\r\nAffinity-Key: 1\r\n'
    chunked = post + ids + b'Transfer-Encoding: chunked\r\n\r\n'
    last_chunk = chunked + b'5\r\nhello\r\n0\r\n'
    filler = b'a' * BLOCK_BYTES
    missing = b'GET /missing HTTP/1.1\r\nHost: %s\r\n\r\n' % host.encode()
    body = b'Content-Length: 5\r\n\r\nhello'
    with_bodies = (
        b'POST /missing HTTP/1.1\r\nHost: %s\r\n' % host.encode() + body
    )
    chunk = b'%x\r\n%s\r\n' % (len(filler), filler)
    return (
        HostileForm('request-line', b'GET /read/', filler),
        HostileForm('header', get + b'X-Long: ', filler),
        HostileForm('headers', get, repeat(b'X-Many: value\r\n')),
        HostileForm('empty-lines', b'', repeat(b'\r\n')),
        HostileForm('trailer', last_chunk + b'X-Long: ', filler),
        HostileForm('trailers', last_chunk, repeat(b'X-Many: value\r\n')),
        HostileForm('chunk-size', chunked, repeat(b'0')),
        HostileForm('chunk-extension', chunked + b'5;', filler),
        HostileForm('body', chunked, chunk),
        HostileForm(
            'body-missing-route',
            b'POST /missing HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n',
            chunk,
        ),
        HostileForm('ahead-missing-route', b'', repeat(missing)),
        HostileForm('ahead-without-ids', b'', repeat(get + b'\r\n')),
        HostileForm('ahead-with-ids', b'', repeat(get + ids + b'\r\n')),
        HostileForm('ahead-with-bodies', b'', repeat(with_bodies)),
        HostileForm(
            'ahead-read-slowly',
            b'',
            repeat(get + ids + b'\r\n'),
            pause_s=0.05,
            read_bytes=200,
        ),
    )
