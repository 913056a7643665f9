"""A node's copy of a fake store, on a virtual clock."""

from __future__ import annotations

import asyncio
from collections import deque
import json
from typing import Any
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.domain.errors import StoreUnavailable
from gentianbank.domain.steering_settings import SteeringStore
from gentianbank.steering.cluster_view import ClusterView
from gentianbank.steering.store_following.store_sync import StoreSync
from gentianbank.storage.prefix_store import Changes
from gentianbank.storage.prefix_store import ChangesTooLarge
from gentianbank.storage.prefix_store import HistoryCompacted
from gentianbank.storage.prefix_store import LeaseExpired
from gentianbank.storage.prefix_store import Listing
from gentianbank.storage.prefix_store import MAX_CHANGES_BYTES
from gentianbank.storage.prefix_store import PrefixStore
from gentianbank.storage.prefix_store import Removal
from gentianbank.storage.store import StoredValue
from tests.platform.test_documents import CONFIGURATION
from tests.platform.test_documents import ENTRY
from tests.support.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianbank.policy.fleet_members import MemberSource
    from gentianbank.storage.prefix_store import WatchError
    from gentianbank.storage.store import Put

CALL_S = 0.004
GRACE_MS = 2_000.0
# A link of 5 Mbit/s, and the time within which a version must be in force.
SLOWEST_LINK_BYTES_PER_S = 5_000_000 / 8
APPLY_S = 3.0
# Of an answer, beside a value.
EVENT_BYTES = 100


class FakeStore(PrefixStore):
    """The store, with faults that a test switches on.

    Parameters
    ----------
    fault
        ``''``, ``refuse`` or ``silent``.
    bytes_per_s
        Speed of the link to the node; 0 for no limit.
    """

    def __init__(self) -> None:
        self.values: dict[str, StoredValue] = {}
        self.history: deque[StoredValue | Removal] = deque()
        self.revision = 1
        self.oldest = 0
        self.era = 0
        self.fault = ''
        self.calls = 0
        self.restores = 0
        self.bytes_per_s = 0.0
        self._changed = asyncio.Event()

    def write(self, key: str, value: Any) -> None:
        """Write a document, or bytes as they are."""
        self.revision += 1
        data = value if isinstance(value, bytes) else _encode(value)
        self.values[key] = StoredValue(key, data, self.revision)
        self.history.append(self.values[key])
        self._changed.set()

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        del self.values[key]
        self.history.append(Removal(key, self.revision))
        self._changed.set()

    def forget_history(self) -> None:
        """Drop every change, and cut the watches."""
        self.history.clear()
        self.oldest = self.revision
        self._changed.set()

    def restore(
        self, values: dict[str, StoredValue], revision: int, *, era: int
    ) -> None:
        """Go back to an older copy, and cut the watches.

        Parameters
        ----------
        values, revision
            Content of the copy.
        era
            What the store states from now on.
        """
        self.values = dict(values)
        self.history.clear()
        self.oldest = revision
        self.revision = revision
        self.era = era
        self.restores += 1
        self._changed.set()

    def set_fault(self, fault: str) -> None:
        """Begin or end a fault; watches that wait notice a refusal."""
        self.fault = fault
        if fault != 'silent':
            self._changed.set()

    async def list_prefix(
        self, prefix: str
    ) -> Result[Listing, StoreUnavailable]:
        if error := await self._call():
            return Error(error)
        values = tuple(
            stored
            for stored in self.values.values()
            if stored.key.startswith(prefix)
        )
        revision, era = self.revision, self.era
        transfer_ms = await self._transfer(values)
        return Ok(Listing(values, revision, transfer_ms, era))

    async def wait_for_changes(
        self,
        prefix: str,
        after_revision: int,
        wait_ms: int,
        max_bytes: int = MAX_CHANGES_BYTES,
    ) -> Result[Changes, WatchError]:
        if error := await self._call():
            return Error(error)
        restores = self.restores
        if after_revision == self.revision:
            self._changed.clear()
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if self.fault:
            return Error(StoreUnavailable(self.fault))
        if restores != self.restores:
            return Error(StoreUnavailable('cut'))
        if not self.oldest <= after_revision <= self.revision:
            return Error(HistoryCompacted())
        events = tuple(
            event
            for event in self.history
            if event.mod_revision > after_revision
            and event.key.startswith(prefix)
        )
        if answer_bytes(events) > max_bytes:
            return Error(ChangesTooLarge())
        revision, era = self.revision, self.era
        transfer_ms = await self._transfer(events)
        return Ok(Changes(events, revision, transfer_ms, era))

    async def put(
        self, put: Put
    ) -> Result[int, StoreUnavailable | LeaseExpired]:
        raise AssertionError('not used')

    async def grant_lease_ms(
        self, ttl_ms: int
    ) -> Result[int, StoreUnavailable]:
        raise AssertionError('not used')

    async def renew_lease(
        self, lease: int
    ) -> Result[None, StoreUnavailable | LeaseExpired]:
        raise AssertionError('not used')

    async def end_lease(self, lease: int) -> Result[None, StoreUnavailable]:
        raise AssertionError('not used')

    async def _transfer(
        self, events: Iterable[StoredValue | Removal]
    ) -> float:
        """Return how many milliseconds an answer takes after this time."""
        if not self.bytes_per_s:
            return 0.0
        transfer_s = answer_bytes(events) / self.bytes_per_s
        await asyncio.sleep(transfer_s)
        return transfer_s * 1_000

    async def _call(self) -> StoreUnavailable | None:
        self.calls += 1
        if self.fault == 'silent':
            await asyncio.sleep(0.9)
            return StoreUnavailable('silent')
        await asyncio.sleep(CALL_S)
        return StoreUnavailable(self.fault) if self.fault else None


class Backup:
    """An older copy of the store."""

    def __init__(self, store: FakeStore) -> None:
        self.values: dict[str, StoredValue] = dict(store.values)
        self.revision = store.revision


class Copy:
    """A node's copy of a fake store with two targets."""

    def __init__(
        self,
        loop: VirtualLoop | None = None,
        store: FakeStore | None = None,
    ) -> None:
        self.loop = loop or VirtualLoop()
        self.store = store or FakeStore()
        self.cluster_view = ClusterView({'east-1': 'east'})
        self.lost_entries: list[MemberSource] = []
        self.sync = StoreSync(
            vm='vm-1',
            store=self.store,
            settings=SteeringStore(address='10.0.0.1:1'),
            cluster_view=self.cluster_view,
            grace_ms=GRACE_MS,
            on_own_entry_gone=self.lost_entries.append,
            clock=self.loop.now_ms,
        )
        self.store.write('op/config', CONFIGURATION)
        self.store.write('servers/i-1', ENTRY)
        self.store.write('servers/i-2', ENTRY)
        self.task = self.loop.create_task(self.sync.run())
        self.wait(0.1)

    def wait(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @property
    def targets(self) -> set[str]:
        """Return the ids of the targets that are believed in."""
        return set(self.cluster_view.targets)


def write_version(copy: Copy, version: int, size_bytes: int) -> None:
    """Write a version of the configuration that is padded to a size."""
    padding = 'x' * (size_bytes - len(json.dumps(CONFIGURATION)))
    copy.store.write(
        'op/config',
        CONFIGURATION | {'version': version, 'padding': padding},
    )


def version_in_force(copy: Copy) -> int:
    """Return the version of the configuration that a node uses."""
    assert copy.cluster_view.table is not None
    return copy.cluster_view.table.version


def answer_bytes(events: Iterable[StoredValue | Removal]) -> int:
    """Return about how long an answer of the store is."""
    return sum(
        EVENT_BYTES
        + (len(event.value) * 4 // 3 if isinstance(event, StoredValue) else 0)
        for event in events
    )


def _encode(value: Any) -> bytes:
    return json.dumps(value).encode()
