"""Requests and replies over one connection to another node."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from typing import TYPE_CHECKING

from expression import Result
from websockets.exceptions import WebSocketException

from gentianbank.control.messages import decode_message
from gentianbank.control.messages import encode_message
from gentianbank.control.messages import Numbered

if TYPE_CHECKING:
    from websockets.asyncio.client import ClientConnection


class RequestChannel:
    """Matches replies to requests by the request id.

    Replies may come in any order. A reply whose request was cancelled or
    timed out is dropped.
    """

    def __init__(self) -> None:
        self.closed = False
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Numbered]] = {}
        self._outbox: asyncio.Queue[bytes] = asyncio.Queue()

    async def request(self, message: Numbered) -> Numbered:
        """Send a request and wait for its reply.

        Raises
        ------
        ConnectionError
            If the channel closes first.
        """
        if self.closed:
            raise ConnectionError('the channel is closed')
        number = next(self._numbers)
        future: asyncio.Future[Numbered] = asyncio.Future()
        self._waiting[number] = future
        numbered = dataclasses.replace(message, request_id=number)
        self._outbox.put_nowait(encode_message(numbered))
        try:
            return await future
        finally:
            self._waiting.pop(number, None)

    async def run(self, socket: ClientConnection) -> None:
        """Send requests and receive replies until the connection ends.

        Afterwards the channel is closed.
        """
        writer = asyncio.create_task(self._write(socket))
        try:
            async for data in socket:
                self._take(data)
        except (OSError, WebSocketException):
            pass
        finally:
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)
            self.close()

    def close(self) -> None:
        """Fail the pending requests and refuse new ones."""
        self.closed = True
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(ConnectionError('the channel closed'))

    async def _write(self, socket: ClientConnection) -> None:
        while True:
            await socket.send(await self._outbox.get())

    def _take(self, data: str | bytes) -> None:
        if isinstance(data, str):
            return
        match decode_message(data):
            case Result(tag='ok', ok=reply) if isinstance(reply, Numbered):
                future = self._waiting.get(reply.request_id)
                if future is not None and not future.done():
                    future.set_result(reply)
