"""What the state of a node asks its agent to do."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gentianbank.control.messages import Message


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a connected peer."""

    vm: str
    message: Message


@dataclass(frozen=True, slots=True)
class FetchBodies:
    """Read configuration bodies from the store."""

    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Install:
    """Validate a complete revision and put it in force."""

    revision: int
    bodies: dict[str, bytes] = field(repr=False)


Effect = Send | FetchBodies | Install
