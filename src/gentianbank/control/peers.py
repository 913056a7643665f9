"""Port to the connections between nodes."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gentianbank.control.messages import Message
from gentianbank.control.messages import Numbered

if TYPE_CHECKING:
    from collections.abc import Iterable

    from expression import Result


@dataclass(frozen=True, slots=True)
class Connected:
    """A peer has proved its identity on a new connection."""

    vm: str


@dataclass(frozen=True, slots=True)
class Disconnected:
    """The last connection to a peer has ended."""

    vm: str


@dataclass(frozen=True, slots=True)
class Unreachable:
    """A peer could not be connected to."""

    vm: str


@dataclass(frozen=True, slots=True)
class Received:
    """A checked message of a connected peer."""

    vm: str
    message: Message


PeerEvent = Connected | Disconnected | Unreachable | Received
EventSink = Callable[[PeerEvent], None]
RequestHandler = Callable[[str, Message], Awaitable[Message | None]]
AddressBook = Callable[[str], str | None]
KeyBook = Callable[[str], bytes | None]


@dataclass(frozen=True, slots=True)
class PeerUnreachable:
    """No reply came from a peer."""

    vm: str
    cause: str


class Peers(ABC):
    """Connections to other nodes."""

    @abstractmethod
    def dial(self, vm: str, address: str) -> None:
        """Connect to a peer unless connected; the outcome is an event."""

    @abstractmethod
    def hang_up(self, vm: str) -> None:
        """Say goodbye and close the connection to a peer."""

    @abstractmethod
    def send(self, vm: str, message: Message) -> None:
        """Queue a message to a connected peer."""

    @abstractmethod
    def send_to_each(self, vms: Iterable[str], message: Message) -> None:
        """Queue a message to several peers, those that are connected."""

    @abstractmethod
    async def request(
        self, vm: str, address: str, message: Numbered, timeout_ms: float
    ) -> Result[Numbered, PeerUnreachable]:
        """Send a request to any node and wait for its reply."""
