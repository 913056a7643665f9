"""A scripted store that may be restored, and calls of one node to it."""

from __future__ import annotations

import asyncio
from typing import NamedTuple
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.domain.errors import StoreUnavailable
from gentianbank.platform import keyspace
from gentianbank.storage.prefix_store import Changes
from gentianbank.storage.prefix_store import ChangesTooLarge
from gentianbank.storage.prefix_store import HistoryCompacted
from gentianbank.storage.prefix_store import Listing
from gentianbank.storage.prefix_store import MAX_CHANGES_BYTES
from gentianbank.storage.prefix_store import PrefixStore
from gentianbank.storage.prefix_store import Removal
from gentianbank.storage.store import StoredValue
from tests.support.store_copy import answer_bytes

if TYPE_CHECKING:
    from gentianbank.storage.prefix_store import LeaseExpired
    from gentianbank.storage.prefix_store import WatchError
    from gentianbank.storage.store import Put
    from tests.support.virtual_loop import VirtualLoop

CALL_S = 0.004
TIMEOUT_S = 0.9


class Version(NamedTuple):
    """A state of the store; later ones are greater."""

    era: int
    revision: int


class StoreLog:
    """Content of the store at each revision of each era.

    Parameters
    ----------
    states_era
        Whether the answers of the store state its era.
    """

    def __init__(self, loop: VirtualLoop, *, states_era: bool) -> None:
        self._loop = loop
        self.states_era = states_era
        self.values: dict[str, StoredValue] = {}
        self.events: list[StoredValue | Removal] = []
        self.oldest = 0
        self.era = 1
        self.revision = 1
        self.is_away = False
        # Of calls that were waiting when the store was restored.
        self.are_watches_silent = False
        self.times_ms = {self.version: loop.now_ms()}
        self.evacuated = {self.version: frozenset[str]()}
        self._snapshots: dict[Version, dict[str, StoredValue]] = {
            self.version: {}
        }
        self.changed = asyncio.Event()

    @property
    def version(self) -> Version:
        """Return the present era and revision."""
        return Version(self.era, self.revision)

    @property
    def stated_era(self) -> int:
        """Return the era as answers are understood."""
        return self.era if self.states_era else 0

    def write(self, key: str, value: bytes) -> None:
        """Write a value."""
        stored = StoredValue(key, value, self.revision + 1)
        self.values[key] = stored
        self._add(stored)

    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        if self.values.pop(key, None) is not None:
            self._add(Removal(key, self.revision + 1))

    def compact(self) -> None:
        """Drop all changes so far."""
        self.events.clear()
        self.oldest = self.revision

    def go_away(self, *, are_watches_silent: bool) -> None:
        """Answer no call, and end those that wait.

        Parameters
        ----------
        are_watches_silent
            Whether their connections stay open, with no answer.
        """
        self.is_away = True
        self.are_watches_silent = are_watches_silent
        self.signal()

    def restore(self, age_s: float) -> None:
        """Come back with the content of some time ago, in a new era."""
        taken_ms = self._loop.now_ms() - age_s * 1_000
        oldest = min(v for v in self.times_ms if v.era == self.era)
        taken = max(oldest, self.version_at(taken_ms))
        self.values = dict(self._snapshots[taken])
        self.events.clear()
        self.era += 1
        self.oldest = self.revision = taken.revision
        self.is_away = False
        self._note_version()

    def version_at(self, time_ms: float) -> Version:
        """Return the version that the store had at some time."""
        return max(
            (v for v, at_ms in self.times_ms.items() if at_ms <= time_ms),
            default=Version(0, 0),
        )

    def signal(self) -> None:
        """Wake the calls that wait for changes."""
        self.changed.set()
        self.changed = asyncio.Event()

    def _add(self, event: StoredValue | Removal) -> None:
        self.revision += 1
        self.events.append(event)
        self._note_version()

    def _note_version(self) -> None:
        self.times_ms[self.version] = self._loop.now_ms()
        self.evacuated[self.version] = frozenset(
            kind.name
            for kind in map(keyspace.kind_of_key, self.values)
            if isinstance(kind, keyspace.EvacuationKey)
        )
        self._snapshots[self.version] = dict(self.values)
        self.signal()


class NodeStore(PrefixStore):
    """The store as one node reaches it.

    Attributes
    ----------
    fault
        ``''``, ``refuse`` or ``silent``.
    hanging
        Calls on connections that stay open without an answer.
    """

    def __init__(self, log: StoreLog, awake: asyncio.Event) -> None:
        self._log = log
        self._awake = awake
        self.fault = ''
        self.delay_s = CALL_S
        self.calls = 0
        self.hanging = 0

    async def list_prefix(
        self, prefix: str
    ) -> Result[Listing, StoreUnavailable]:
        if error := await self._begin():
            return Error(error)
        values = tuple(
            stored
            for stored in self._log.values.values()
            if stored.key.startswith(prefix)
        )
        listing = Listing(values, self._log.revision, era=self._log.stated_era)
        if error := await self._end():
            return Error(error)
        return Ok(listing)

    async def wait_for_changes(
        self,
        prefix: str,
        after_revision: int,
        wait_ms: int,
        max_bytes: int = MAX_CHANGES_BYTES,
    ) -> Result[Changes, WatchError]:
        if error := await self._begin():
            return Error(error)
        if error := await self._wait(after_revision, wait_ms):
            return Error(error)
        events = tuple(
            event
            for event in self._log.events
            if event.mod_revision > after_revision
            and event.key.startswith(prefix)
        )
        changes = Changes(events, self._log.revision, era=self._log.stated_era)
        is_held = self._log.oldest <= after_revision <= self._log.revision
        if error := await self._end():
            return Error(error)
        if not is_held:
            return Error(HistoryCompacted())
        if answer_bytes(events) > max_bytes:
            return Error(ChangesTooLarge())
        return Ok(changes)

    async def put(
        self, put: Put
    ) -> Result[int, StoreUnavailable | LeaseExpired]:
        raise NotImplementedError

    async def grant_lease_ms(
        self, ttl_ms: int
    ) -> Result[int, StoreUnavailable]:
        raise NotImplementedError

    async def renew_lease(
        self, lease: int
    ) -> Result[None, StoreUnavailable | LeaseExpired]:
        raise NotImplementedError

    async def end_lease(self, lease: int) -> Result[None, StoreUnavailable]:
        raise NotImplementedError

    async def _wait(
        self, after_revision: int, wait_ms: int
    ) -> StoreUnavailable | None:
        """Wait for changes; a restore ends this connection."""
        log = self._log
        era = log.era
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                while log.revision == after_revision and log.era == era:
                    if log.is_away:
                        break
                    await log.changed.wait()
        except TimeoutError:
            pass
        if log.era == era and not log.is_away:
            return None
        if log.are_watches_silent:
            await self._hang(wait_ms)
        return StoreUnavailable('cut')

    async def _hang(self, wait_ms: int) -> None:
        self.hanging += 1
        try:
            await asyncio.sleep(wait_ms / 1_000 + TIMEOUT_S)
        finally:
            self.hanging -= 1

    async def _begin(self) -> StoreUnavailable | None:
        await self._awake.wait()
        self.calls += 1
        if self.fault == 'refuse' or self._log.is_away:
            await asyncio.sleep(CALL_S)
            return StoreUnavailable('HTTP 503')
        await asyncio.sleep(self.delay_s / 2)
        return None

    async def _end(self) -> StoreUnavailable | None:
        """Deliver an answer, which waits while the node is frozen."""
        if self.fault == 'silent':
            await asyncio.sleep(TIMEOUT_S)
            return StoreUnavailable('silent')
        await asyncio.sleep(self.delay_s / 2)
        await self._awake.wait()
        return StoreUnavailable('HTTP 503') if self.fault else None
