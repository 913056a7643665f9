"""Interface of a store whose keys are listed and watched by prefix."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gentianbank.domain.errors import StoreUnavailable

if TYPE_CHECKING:
    from expression import Result

    from gentianbank.storage.store import Put
    from gentianbank.storage.store import StoredValue


@dataclass(frozen=True, slots=True)
class Removal:
    """The removal of a key.

    Parameters
    ----------
    mod_revision
        Revision of the store at which the key was removed.
    """

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """The values under a prefix.

    Parameters
    ----------
    revision
        Revision of the store when the first page was read. Values of later
        pages may be newer, so changes are read from this revision on.
    transfer_ms
        Time from the begin of the store's first answer to the end of the
        last one.
    era
        How often the store came back from a copy, see ``Changes``.
    """

    values: tuple[StoredValue, ...]
    revision: int
    transfer_ms: float = 0.0
    era: int = 0


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes under a prefix, oldest first.

    Parameters
    ----------
    revision
        Revision of the store up to which the changes are complete.
    transfer_ms
        Time from the begin of the store's answer to its end.
    era
        How often the store came back from an older copy. Revisions of
        different eras cannot be compared. 0 for a store that does not tell.
    """

    events: tuple[StoredValue | Removal, ...]
    revision: int
    transfer_ms: float = 0.0
    era: int = 0


@dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """The store no longer holds the requested changes; list again."""


@dataclass(frozen=True, slots=True)
class ChangesTooLarge:
    """The changes take more bytes than were asked for."""


WatchError = StoreUnavailable | HistoryCompacted | ChangesTooLarge


@dataclass(frozen=True, slots=True)
class LeaseExpired:
    """The lease has expired or was revoked."""


# Largest answer with changes: several times what the history of the store has.
MAX_CHANGES_BYTES = 32 * 1024 * 1024


class PrefixStore(ABC):
    """A store that clients replicate: they list a prefix, then follow it.

    Every call may fail with ``StoreUnavailable``; a write that failed may
    still take effect, even seconds later.
    """

    @abstractmethod
    async def list_prefix(
        self, prefix: str
    ) -> Result[Listing, StoreUnavailable]:
        """Return the values under a prefix."""

    @abstractmethod
    async def wait_for_changes(
        self,
        prefix: str,
        after_revision: int,
        wait_ms: int,
        max_bytes: int = MAX_CHANGES_BYTES,
    ) -> Result[Changes, WatchError]:
        """Wait for changes and return them; none after ``wait_ms``.

        Parameters
        ----------
        max_bytes
            Size of the store's answer over which it is not read.
        """

    @abstractmethod
    async def put(
        self, put: Put
    ) -> Result[int, StoreUnavailable | LeaseExpired]:
        """Write a value and return the revision of the store."""

    @abstractmethod
    async def grant_lease_ms(
        self, ttl_ms: int
    ) -> Result[int, StoreUnavailable]:
        """Grant a lease and return its id."""

    @abstractmethod
    async def renew_lease(
        self, lease: int
    ) -> Result[None, StoreUnavailable | LeaseExpired]:
        """Renew a lease for its full time to live."""

    @abstractmethod
    async def end_lease(self, lease: int) -> Result[None, StoreUnavailable]:
        """Revoke a lease, which removes the keys bound to it."""
