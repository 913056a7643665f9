"""The body of a caller's request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from gentianbank.dataplane.buffered import BufferedBody
from gentianbank.platform.headers import BodyFraming

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from gentianbank.dataplane.exchange import Exchange

# Bodies up to this size are buffered, so that they can be sent again.
MAX_BUFFERED_BODY_BYTES = 256 * 1024


class BodyTooLargeError(Exception):
    """The body is longer than the operators allow."""


class RequestBody:
    """A body that is buffered, or one that is streamed and sent only once.

    Parameters
    ----------
    buffered
        The body, read at least in part; ``None`` if there is none.
    declared_bytes
        Value of the caller's Content-Length header, if any.
    """

    def __init__(
        self, buffered: BufferedBody | None, declared_bytes: int | None
    ) -> None:
        self._buffered = buffered
        self._declared_bytes = declared_bytes
        self._streaming_begun = False
        self._read_to_end = asyncio.Event()
        if self.is_buffered:
            self._read_to_end.set()

    @property
    def is_buffered(self) -> bool:
        """Return whether the whole body has been read."""
        return self._buffered is None or self._buffered.is_complete

    @property
    def can_be_sent(self) -> bool:
        """Return whether the body can be sent, for the first time or again."""
        return self.is_buffered or not self._streaming_begun

    @property
    def framing(self) -> BodyFraming:
        """Return how the body is framed on the connection to a target."""
        if self._buffered is None:
            return BodyFraming()
        if self._buffered.is_complete:
            return BodyFraming(len(self._buffered.data))
        if self._declared_bytes is not None:
            return BodyFraming(self._declared_bytes)
        return BodyFraming(chunked=True)

    def content(self) -> AsyncIterator[bytes] | bytes | None:
        """Return the body, or a stream of it if it is not buffered."""
        if self._buffered is None:
            return None
        if self._buffered.is_complete:
            return self._buffered.data
        return self._stream(self._buffered)

    async def wait_read_to_end(self) -> None:
        """Wait until the caller has sent the whole body."""
        await self._read_to_end.wait()

    async def _stream(self, buffered: BufferedBody) -> AsyncIterator[bytes]:
        self._streaming_begun = True
        async for chunk in buffered.chunks():
            yield chunk
        self._read_to_end.set()


async def read_body(exchange: Exchange, max_bytes: int) -> RequestBody:
    """Read a body to its end or up to the size that is buffered.

    Parameters
    ----------
    max_bytes
        Longest body that the operators allow; a longer one raises
        ``BodyTooLargeError`` here or while it is streamed.

    Raises
    ------
    BodyTooLargeError
        If the body is known to be too long.
    CallerDisconnectedError
        If the caller closes the connection before the end of the body.
    """
    if not exchange.has_body:
        return RequestBody(None, None)
    length = exchange.header(b'content-length')
    buffered = BufferedBody(_limit(exchange.body(), max_bytes))
    await buffered.fill(MAX_BUFFERED_BODY_BYTES)
    declared = int(length) if length and length.isdecimal() else None
    return RequestBody(buffered, declared)


async def _limit(
    source: AsyncIterator[bytes], max_bytes: int
) -> AsyncIterator[bytes]:
    size = 0
    async for chunk in source:
        size += len(chunk)
        if size > max_bytes:
            raise BodyTooLargeError
        yield chunk
