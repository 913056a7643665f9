"""Port to the platform's key-value store."""

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
    """A value and the store's revision of its last change."""

    key: str
    value: bytes
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A value to write, bound to a lease unless ``lease`` is 0."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Expected:
    """Condition of a commit; ``mod_revision`` 0 means absent."""

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
        """Return the value of a key, or nothing."""

    @abstractmethod
    async def get_range(
        self, first: str, end: str, limit: int, *, newest_first: bool = False
    ) -> Result[list[StoredValue], StoreUnavailable]:
        """Return values of keys from ``first`` up to before ``end``."""

    @abstractmethod
    async def commit(
        self, expected: Expected | None, puts: list[Put]
    ) -> Result[bool, StoreUnavailable]:
        """Write all of the puts if the condition holds, else none."""

    @abstractmethod
    async def grant_lease(self, ttl_s: int) -> Result[int, StoreUnavailable]:
        """Return the id of a new lease."""

    @abstractmethod
    async def keep_alive(self, lease: int) -> Result[bool, StoreUnavailable]:
        """Renew a lease; false when it had lapsed."""

    @abstractmethod
    async def revoke(self, lease: int) -> Result[bool, StoreUnavailable]:
        """End a lease and remove the keys bound to it."""

    @abstractmethod
    def watch(
        self, key: str, after_mod_revision: int
    ) -> AsyncIterator[StoredValue]:
        """Return changes of a key until the connection fails."""
