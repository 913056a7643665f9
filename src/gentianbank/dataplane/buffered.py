"""Buffering of request and answer bodies."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class BufferedBody:
    """A body whose first part is read into memory before the rest is used.

    Parameters
    ----------
    source
        Body, or ``None`` if there is none.
    """

    def __init__(self, source: AsyncIterator[bytes] | None) -> None:
        self._source = source
        self.data = b''
        self.is_complete = source is None

    async def fill(self, limit_bytes: int) -> None:
        """Read until the body ends or more than ``limit_bytes`` are held."""
        if self._source is None:
            return
        parts = []
        size = 0
        while size <= limit_bytes:
            chunk = await anext(self._source, None)
            if chunk is None:
                self.is_complete = True
                break
            parts.append(chunk)
            size += len(chunk)
        self.data = b''.join(parts)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the whole body: the buffered part, then the rest."""
        if self.data:
            yield self.data
        if not self.is_complete and self._source is not None:
            async for chunk in self._source:
                yield chunk
