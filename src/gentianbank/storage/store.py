"""Interface of the platform's key-value store."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from expression import Result

    from gentianbank.domain.errors import StoreUnavailable

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value of the store.

    Parameters
    ----------
    mod_revision
        Revision of the store at which the value was last written.
    """

    key: str
    value: bytes
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A value to write.

    Parameters
    ----------
    lease
        Id of the lease whose end removes the key; 0 for none.
    lease_era
        Era of the store in which the lease was granted; 0 for a store that
        states none.
    """

    key: str
    value: bytes
    lease: int = 0
    lease_era: int = 0


@dataclass(frozen=True, slots=True)
class Expected:
    """Condition of a commit: the revision at which a key was last written.

    A ``mod_revision`` of 0 means that the key must be absent.
    """

    key: str
    mod_revision: int


class Store(ABC):
    """A key-value store with compare-and-swap, leases and watches.

    Every call may fail with ``StoreUnavailable``; a failed ``commit`` may
    still have taken effect.
    """

    @abstractmethod
    async def get(
        self, key: str
    ) -> Result[StoredValue | None, StoreUnavailable]:
        """Return the value of a key, or ``None`` if it is absent."""

    @abstractmethod
    async def get_range(
        self, first: str, end: str, limit: int, *, descending: bool = False
    ) -> Result[list[StoredValue], StoreUnavailable]:
        """Return the values of the keys from ``first`` to before ``end``.

        At most ``limit`` values are returned, in ascending order of their
        keys, or in descending order with ``descending``.
        """

    @abstractmethod
    async def commit(
        self, expected: Expected | None, puts: list[Put]
    ) -> Result[bool, StoreUnavailable]:
        """Write all of the puts if the condition holds, else none.

        Returns whether the condition held. No condition always holds.
        """

    @abstractmethod
    async def grant_lease(self, ttl_s: int) -> Result[int, StoreUnavailable]:
        """Grant a lease and return its id."""

    @abstractmethod
    async def keep_alive(self, lease: int) -> Result[bool, StoreUnavailable]:
        """Renew a lease; false if it has expired."""

    @abstractmethod
    async def revoke(self, lease: int) -> Result[bool, StoreUnavailable]:
        """Revoke a lease, which removes the keys bound to it."""

    @abstractmethod
    def watch(
        self, key: str, after_mod_revision: int
    ) -> AsyncIterator[StoredValue]:
        """Yield the values written to a key until the connection fails.

        Begins with the first write after ``after_mod_revision``.
        """
