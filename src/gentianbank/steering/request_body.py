"""The body of a caller's request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianbank.dataplane.buffered import BufferedBody
from gentianbank.platform.headers import BodyFraming

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from gentianbank.dataplane.exchange import Exchange

# Bodies up to this size are buffered, so that they can be sent again.
MAX_BUFFERED_BODY_BYTES = 256 * 1024


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

    async def _stream(self, buffered: BufferedBody) -> AsyncIterator[bytes]:
        self._streaming_begun = True
        async for chunk in buffered.chunks():
            yield chunk


async def read_body(exchange: Exchange) -> RequestBody:
    """Read a body to its end or up to the size that is buffered.

    Raises
    ------
    CallerDisconnectedError
        If the caller closes the connection before the end of the body.
    """
    if not exchange.has_body:
        return RequestBody(None, None)
    length = exchange.header(b'content-length')
    buffered = BufferedBody(exchange.body())
    await buffered.fill(MAX_BUFFERED_BODY_BYTES)
    declared = int(length) if length and length.isdecimal() else None
    return RequestBody(buffered, declared)
