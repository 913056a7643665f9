"""A small HTTP/1.1 server for the stand-ins, on raw asyncio streams."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

ENDLESS_BLOCK_BYTES = 64 * 1024


@dataclass
class Request:
    """A request that was read completely."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Answer:
    """An answer with a length, or one whose body never ends.

    Parameters
    ----------
    endless
        Chunk of the chunked coding that is sent again and again until the
        caller closes the connection; empty for none.
    """

    status: int
    headers: dict[str, str]
    body: bytes = b''
    endless: bytes = b''

    def encode(self) -> bytes:
        """Return the bytes of the answer."""
        lines = [f'HTTP/1.1 {self.status} -']
        lines += [f'{name}: {value}' for name, value in self.headers.items()]
        if self.endless:
            lines.append('Transfer-Encoding: chunked')
        else:
            lines.append(f'Content-Length: {len(self.body)}')
        return '\r\n'.join([*lines, '', '']).encode('latin-1') + self.body


Handler = Callable[[Request], Awaitable[Answer | None]]


class Server:
    """Serves one request at a time on each connection.

    ``None`` from the handler closes the connection without an answer. The
    handler is cancelled when the peer closes the connection.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def close(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                answer = await self._run_handler(reader, request)
                if answer is None:
                    break
                writer.write(answer.encode())
                await writer.drain()
                if answer.endless:
                    await _send_endlessly(writer, answer.endless)
        except (OSError, EOFError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run_handler(
        self, reader: asyncio.StreamReader, request: Request
    ) -> Answer | None:
        work = asyncio.ensure_future(self._handler(request))
        gone = asyncio.ensure_future(_wait_eof(reader))
        try:
            await asyncio.wait(
                (work, gone), return_when=asyncio.FIRST_COMPLETED
            )
            return await work if work.done() else None
        finally:
            for task in (work, gone):
                task.cancel()
            await asyncio.gather(work, gone, return_exceptions=True)


async def _send_endlessly(writer: asyncio.StreamWriter, chunk: bytes) -> None:
    block = chunk * (ENDLESS_BLOCK_BYTES // len(chunk))
    while not writer.is_closing():
        writer.write(block)
        await writer.drain()


async def _wait_eof(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request; ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = parse_headers(lines[1:])
    body = await _read_body(reader, headers)
    path, _, query = target.partition('?')
    return Request(method, path, query, headers, body)


def parse_headers(lines: list[str]) -> dict[str, str]:
    """Return the headers by lower-case name."""
    headers = {}
    for line in lines:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    return headers


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', 0)))
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            return body
