"""Interface of the connections between nodes."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gentianbank.control.messages import Message
from gentianbank.control.messages import RequestOrReply

if TYPE_CHECKING:
    from collections.abc import Iterable

    from expression import Result


@dataclass(frozen=True, slots=True)
class Connected:
    """The first connection to a peer is up and authenticated."""

    vm: str


@dataclass(frozen=True, slots=True)
class Disconnected:
    """The last connection to a peer has ended."""

    vm: str


@dataclass(frozen=True, slots=True)
class Unreachable:
    """An attempt to connect to a peer failed."""

    vm: str


@dataclass(frozen=True, slots=True)
class Received:
    """A valid message arrived from a connected peer."""

    vm: str
    message: Message


PeerEvent = Connected | Disconnected | Unreachable | Received
EventSink = Callable[[PeerEvent], None]
# Takes the VM that sent a request; returns the reply, or ``None`` for none.
RequestHandler = Callable[[str, Message], Awaitable[Message | None]]
# These return the peer address and the key of a VM; ``None`` if unknown.
AddressResolver = Callable[[str], str | None]
KeyResolver = Callable[[str], bytes | None]


@dataclass(frozen=True, slots=True)
class PeerUnreachable:
    """A request to a peer got no reply."""

    vm: str
    cause: str


class PeerConnections(ABC):
    """Sends messages and requests to other nodes."""

    @abstractmethod
    def dial(self, vm: str, address: str) -> None:
        """Start connecting to a peer unless already connected.

        The outcome is reported as an event.
        """

    @abstractmethod
    def disconnect(self, vm: str) -> None:
        """Send a goodbye and close the connections to a peer."""

    @abstractmethod
    def send(self, vm: str, message: Message) -> None:
        """Queue a message to a peer; dropped if it is not connected."""

    @abstractmethod
    def send_to_each(self, vms: Iterable[str], message: Message) -> None:
        """Queue a message to those of the peers that are connected."""

    def receiving_from(self) -> frozenset[str]:
        """Return the peers of which a long message is arriving.

        They are alive, although nothing else of them can arrive meanwhile.
        """
        return frozenset()

    @abstractmethod
    async def request(
        self, vm: str, address: str, message: RequestOrReply, timeout_ms: float
    ) -> Result[RequestOrReply, PeerUnreachable]:
        """Send a request to a node and wait for its reply.

        The node need not be connected: requests use a connection of their
        own, which is opened to ``address`` if there is none.
        """
