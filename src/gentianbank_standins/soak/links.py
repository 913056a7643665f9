"""Loopback links that delay, cut, silence and reset what passes them."""

from __future__ import annotations

import asyncio
import contextlib
from enum import Enum

from gentianbank.domain.addresses import parse_address

CHUNK_BYTES = 64 * 1024
SLOW_CHUNK_BYTES = 8 * 1024
_MS_PER_S = 1_000
_FAILURES = (OSError, EOFError)


class LinkState(Enum):
    """What a link does with bytes and new connections."""

    WHOLE = 'whole'
    SILENT = 'silent'
    DEAF = 'deaf'
    REFUSING = 'refusing'


class Link:
    """A TCP proxy in front of one server.

    Parameters
    ----------
    address
        Where the link listens. Its connections to the server come from the
        same host, so that a server can tell links apart.
    server
        Address that it connects to.

    Attributes
    ----------
    delay_ms
        Time that each chunk takes longer.
    bytes_per_s
        Speed that all bytes of the server share; 0 for no limit.
    """

    def __init__(self, address: str, server: str) -> None:
        self.address = address
        self.delay_ms = 0.0
        self.bytes_per_s = 0.0
        self._free_s = 0.0
        self._server_address = parse_address(server)
        self._state = LinkState.WHOLE
        self._open = asyncio.Event()
        self._open.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._stalled: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        own = parse_address(self.address)
        self._listener = await asyncio.start_server(
            self._serve, own.host, own.port
        )

    async def close(self) -> None:
        """Cut every connection and stop listening."""
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._listener is not None:
            self._listener.close()

    def set_state(self, state: LinkState) -> None:
        """Change what the link does.

        ``SILENT`` holds bytes both ways, ``DEAF`` those of the server, and
        ``REFUSING`` resets what comes; held bytes go on later.
        """
        self._state = state
        if state is LinkState.WHOLE:
            self._open.set()
        else:
            self._open.clear()
        if state is LinkState.REFUSING:
            self.reset()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    def stall(self) -> None:
        """Drop all further bytes of the open connections; new ones work."""
        self._stalled.update(self._writers)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            if self._state is LinkState.REFUSING:
                return
            if self._state is LinkState.SILENT:
                await self._open.wait()
            server = self._server_address
            far_reader, far_writer = await asyncio.open_connection(
                server.host,
                server.port,
                local_addr=(parse_address(self.address).host, 0),
            )
            self._writers.add(far_writer)
            try:
                await asyncio.gather(
                    self._pass(reader, far_writer, (LinkState.SILENT,)),
                    self._pass(
                        far_reader,
                        writer,
                        (LinkState.SILENT, LinkState.DEAF),
                        is_answer=True,
                    ),
                )
            finally:
                self._writers.discard(far_writer)
                self._stalled.discard(far_writer)
                far_writer.transport.abort()
        except _FAILURES:
            # One side broke off; the other learns it by a reset.
            return
        finally:
            self._writers.discard(writer)
            self._stalled.discard(writer)
            self._tasks.discard(task)
            with contextlib.suppress(*_FAILURES):
                writer.transport.abort()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        holding: tuple[LinkState, ...],
        *,
        is_answer: bool = False,
    ) -> None:
        while data := await reader.read(self._chunk_bytes()):
            await asyncio.sleep(self.delay_ms / _MS_PER_S)
            if is_answer and self.bytes_per_s:
                await self._wait_transfer(len(data))
            while self._state in holding:
                await self._open.wait()
            if writer in self._stalled:
                continue
            writer.write(data)
            await writer.drain()
        # The end of one direction ends the connection, as servers here
        # close both at once.
        raise EOFError

    def _chunk_bytes(self) -> int:
        return SLOW_CHUNK_BYTES if self.bytes_per_s else CHUNK_BYTES

    async def _wait_transfer(self, size_bytes: int) -> None:
        now_s = asyncio.get_running_loop().time()
        transfer_s = size_bytes / self.bytes_per_s
        self._free_s = max(now_s, self._free_s) + transfer_s
        await asyncio.sleep(self._free_s - now_s)
