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
from gentianbank.control.messages import RequestOrReply

if TYPE_CHECKING:
    from websockets.asyncio.client import ClientConnection


# Requests that wait to be written; those that were given up count as well.
MAX_OUTBOX_REQUESTS = 1_000


class RequestChannel:
    """Matches replies to requests by the request id.

    Replies may come in any order. A reply whose request was cancelled or
    timed out is dropped.
    """

    def __init__(self) -> None:
        self.closed = False
        self._request_ids = itertools.count(1)
        self._pending_replies: dict[int, asyncio.Future[RequestOrReply]] = {}
        self._outbox: asyncio.Queue[bytes] = asyncio.Queue(MAX_OUTBOX_REQUESTS)

    async def request(self, message: RequestOrReply) -> RequestOrReply:
        """Send a request and wait for its reply.

        Raises
        ------
        ConnectionError
            If the channel closes first, or the other node does not read.
        """
        if self.closed:
            raise ConnectionError('the channel is closed')
        if self._outbox.full():
            raise ConnectionError('the other node does not read')
        correlation_id = next(self._request_ids)
        future: asyncio.Future[RequestOrReply] = asyncio.Future()
        self._pending_replies[correlation_id] = future
        message_to_send = dataclasses.replace(
            message, request_id=correlation_id
        )
        self._outbox.put_nowait(encode_message(message_to_send))
        try:
            return await future
        finally:
            self._pending_replies.pop(correlation_id, None)

    async def run(self, socket: ClientConnection) -> None:
        """Send requests and receive replies until the connection ends.

        Afterwards the channel is closed.
        """
        writer = asyncio.create_task(self._write(socket))
        try:
            async for data in socket:
                self._on_data(data)
        except (OSError, WebSocketException):
            pass
        finally:
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)
            self.close()

    def close(self) -> None:
        """Fail the pending requests and refuse new ones."""
        self.closed = True
        for future in self._pending_replies.values():
            if not future.done():
                future.set_exception(ConnectionError('the channel closed'))

    async def _write(self, socket: ClientConnection) -> None:
        while True:
            await socket.send(await self._outbox.get())

    def _on_data(self, data: str | bytes) -> None:
        if isinstance(data, str):
            return
        match decode_message(data):
            case Result(tag='ok', ok=reply) if isinstance(
                reply, RequestOrReply
            ):
                future = self._pending_replies.get(reply.request_id)
                if future is not None and not future.done():
                    future.set_result(reply)
