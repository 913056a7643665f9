"""Port to a store whose keys are listed and watched by prefix."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from expression import Result

    from gentianbank.domain.errors import StoreUnavailable
    from gentianbank.storage.store import Put
    from gentianbank.storage.store import StoredValue


@dataclass(frozen=True, slots=True)
class Removal:
    """A key that was removed at a revision of the store."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """Values under a prefix.

    Parameters
    ----------
    revision
        Revision of the store at the first page; later pages may be newer.
    """

    values: tuple[StoredValue, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes under a prefix, in order, up to a revision of the store."""

    events: tuple[StoredValue | Removal, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer holds the changes that were asked for."""


@dataclass(frozen=True, slots=True)
class LeaseGone:
    """The lease has ended."""


class PrefixStore(ABC):
    """A store that is copied by a listing and the changes after it.

    Every call may fail with ``StoreUnavailable``; a write that failed may
    still take effect, also seconds later.
    """

    @abstractmethod
    async def list_prefix(
        self, prefix: str
    ) -> Result[Listing, StoreUnavailable]:
        """Return the values under a prefix."""

    @abstractmethod
    async def wait_for_changes(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> Result[Changes, StoreUnavailable | HistoryGone]:
        """Return changes as soon as there are any, or none in time."""

    @abstractmethod
    async def put(self, put: Put) -> Result[int, StoreUnavailable | LeaseGone]:
        """Write a value and return the store's revision."""

    @abstractmethod
    async def grant_lease_ms(
        self, ttl_ms: int
    ) -> Result[int, StoreUnavailable]:
        """Return the id of a new lease."""

    @abstractmethod
    async def renew_lease(
        self, lease: int
    ) -> Result[None, StoreUnavailable | LeaseGone]:
        """Let the lease run its whole time again."""

    @abstractmethod
    async def end_lease(self, lease: int) -> Result[None, StoreUnavailable]:
        """End a lease and remove the keys bound to it."""
