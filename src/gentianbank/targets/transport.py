"""Port to the targets."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from expression import Result

RawHeaders = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request can have reached the target."""

    cause: str


@dataclass(frozen=True, slots=True)
class MaybeSent:
    """The request may have reached the target."""

    cause: str


SendError = NotSent | MaybeSent


class TruncatedBodyError(Exception):
    """The body of an answer ended before its end."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRequest:
    """A request to a target.

    Parameters
    ----------
    path
        Path and query as they go on the wire.
    body
        Chunks of the body, the whole body, or nothing for a request
        without one.
    max_connections
        Connections that this node may hold to the target.
    headers_timeout_ms
        Time until the head of the answer is there.
    owns_answer
        Tells by the headers of an answer whether it belongs to this
        request; others are skipped. Nothing accepts every answer.
    """

    address: str
    method: str
    path: bytes
    headers: RawHeaders
    body: AsyncIterator[bytes] | bytes | None
    max_connections: int
    connect_timeout_ms: float
    headers_timeout_ms: float
    owns_answer: Callable[[RawHeaders], bool] | None = None


class TargetAnswer(ABC):
    """An answer whose body is still to be read."""

    status: int
    headers: RawHeaders

    @abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Return the body in pieces.

        Raises
        ------
        TruncatedBodyError
            If the target ends the body early or stops sending.
        """

    @abstractmethod
    async def close(self) -> None:
        """Give the answer up; an unfinished one costs the connection."""


class TargetTransport(ABC):
    """Sends requests to targets."""

    @abstractmethod
    async def send(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, SendError]:
        """Send a request once and return the head of the answer."""
