"""Interface for sending requests to targets."""

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
    """The request failed before any byte was sent to the target."""

    cause: str


@dataclass(frozen=True, slots=True)
class MaybeSent:
    """The request failed, but may have reached the target."""

    cause: str


@dataclass(frozen=True, slots=True)
class Unreachable(NotSent):
    """No connection could be opened: it was refused or timed out."""


@dataclass(frozen=True, slots=True)
class NotAllowed(NotSent):
    """The request may not be sent any more, though it was placed before."""


@dataclass(frozen=True, slots=True)
class ConnectionLost(MaybeSent):
    """The connection ended while the answer was awaited."""


SendError = NotSent | MaybeSent


class TruncatedBodyError(Exception):
    """The body of an answer was cut short."""


class BodyConnectionLostError(TruncatedBodyError):
    """The connection ended within the body of an answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRequest:
    """A request to a target.

    Parameters
    ----------
    path
        Path and query in the encoded form of the request line.
    body
        Chunks of the body, the whole body, or ``None`` for a request
        without one.
    max_connections
        Connections that this node may have open to the target.
    headers_timeout_ms
        Time limit for sending the request and receiving the head of the
        answer.
    request_id
        Id by which targets name the request in their answers; empty if each
        attempt has an id of its own.
    owns_answer
        Returns, given the headers of an answer, whether it belongs to this
        request; others are skipped. ``None`` accepts every answer.
    may_send
        Returns whether the request may still be sent, asked right before it
        is written. ``None`` if it may in any case.
    on_head
        Called with the status and the headers of each answer that arrives
        while this one is awaited, also of interim and skipped ones.
    """

    address: str
    method: str
    path: bytes
    headers: RawHeaders
    body: AsyncIterator[bytes] | bytes | None
    max_connections: int
    connect_timeout_ms: float
    headers_timeout_ms: float
    request_id: bytes = b''
    owns_answer: Callable[[RawHeaders], bool] | None = None
    may_send: Callable[[], bool] | None = None
    on_head: Callable[[int, RawHeaders], None] | None = None

    @property
    def is_withheld(self) -> bool:
        """Return whether the request may not be sent any more."""
        return self.may_send is not None and not self.may_send()


class TargetAnswer(ABC):
    """An answer whose body has not been read yet.

    Attributes
    ----------
    is_followed
        Whether further bytes had arrived behind the answer when it ended.
    """

    status: int
    headers: RawHeaders
    is_followed: bool = False

    @abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Return the chunks of the body.

        Raises
        ------
        TruncatedBodyError
            If the target ends the body early or stops sending.
        """

    @abstractmethod
    async def close(self) -> None:
        """Abandon the answer; aborts the connection if it is unfinished."""


class TargetTransport(ABC):
    """Sends requests to targets."""

    @abstractmethod
    async def send(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, SendError]:
        """Send a request once and return the head of the answer."""
