"""Keeps the node's copy of the store up to date."""

from __future__ import annotations

import asyncio
from collections import deque
import contextlib
from dataclasses import replace
from typing import TYPE_CHECKING

from absl import logging
from expression import Ok
from expression import Result

from gentianbank.domain.errors import StoreUnavailable
from gentianbank.platform import keyspace
from gentianbank.platform.documents import CONFIGURATION_KEY
from gentianbank.steering.store_following import newest_values
from gentianbank.steering.store_following.stored_entries import StoredEntries
from gentianbank.storage.prefix_store import Changes
from gentianbank.storage.prefix_store import ChangesTooLarge
from gentianbank.storage.prefix_store import HistoryCompacted

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.domain.steering_settings import SteeringStore
    from gentianbank.policy.fleet_members import MemberSource
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.steering.store_following.reads import ReadObserver
    from gentianbank.storage.prefix_store import Listing
    from gentianbank.storage.prefix_store import PrefixStore
    from gentianbank.storage.prefix_store import Removal
    from gentianbank.storage.prefix_store import WatchError
    from gentianbank.storage.store import StoredValue

# Pause after changes, so that the next call returns several at once. It is
# far below the time within which a change must be in force.
CHANGE_BATCH_S = 0.4
# Changes that are kept for peers that cannot reach the store.
MAX_RECENT_CHANGES = 1_000
# A node grants tokens of usage caps only while its view is recent, which an
# answer without changes confirms too.
CAPS_WATCH_MS = 1_000
# Between a listing that was applied and the next one.
MIN_LISTING_PERIOD_MS = 400.0
_MS_PER_S = 1_000


class StoreSync:
    """Lists the store, then watches its changes.

    Parameters
    ----------
    grace_ms
        Time after an outage for which the targets of missing entries are
        kept, since their leases could not be renewed during the outage.
    on_own_entry_gone
        Called when an entry of this node has been removed.
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        *,
        vm: str,
        store: PrefixStore,
        settings: SteeringStore,
        cluster_view: ClusterView,
        grace_ms: float,
        on_own_entry_gone: Callable[[MemberSource], None],
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._settings = settings
        self._cluster_view = cluster_view
        self._clock = clock
        self._entries = StoredEntries(
            vm=vm,
            cluster_view=cluster_view,
            grace_ms=grace_ms,
            on_own_entry_gone=on_own_entry_gone,
            clock=clock,
        )
        self._revision = 0
        self._era = 0
        # Era of the last listing; a peer may have told of a later one.
        self._listed_era = 0
        self._listed_ms = float('-inf')
        self._must_list = True
        self._down_since_ms: float | None = None
        self._has_listed = False
        self._retry_requested = asyncio.Event()
        self._called_ms = 0.0
        self._recent_changes: deque[StoredValue | Removal] = deque(
            maxlen=MAX_RECENT_CHANGES
        )
        # All changes after this revision are in ``_recent_changes``.
        self._recent_after_revision = 0
        self._observer: ReadObserver | None = None
        # Of the watch that waits for changes.
        self._watch: asyncio.Timeout | None = None

    @property
    def revision(self) -> int:
        """Return the revision of the copy; 0 before the first listing."""
        return self._revision

    @property
    def needs_listing(self) -> bool:
        """Return whether only a listing can bring the copy up to date."""
        return self._must_list

    @property
    def era(self) -> int:
        """Return the era of the store that the copy is of.

        Revisions of another era cannot be compared with ``revision``.
        """
        return self._era

    @property
    def is_reachable(self) -> bool:
        """Return whether the last call to the store succeeded."""
        return self._down_since_ms is None

    @property
    def oldest_revision(self) -> int:
        """Return the revision after which all changes are held."""
        return self._recent_after_revision

    @property
    def role(self) -> str:
        """Return the role in which the store is called; empty for none."""
        return self._observer.role if self._observer else ''

    def set_observer(self, observer: ReadObserver | None) -> None:
        """Set what decides when the store is read; ``None`` for always."""
        self._observer = observer

    async def run(self) -> None:
        """Keep the copy up to date until cancelled."""
        while True:
            if self._observer:
                await self._observer.wait_for_turn()
            self._entries.end_caution()
            self._called_ms = self._clock()
            if self._must_list:
                await self._list_store()
            else:
                await self._watch_changes()

    async def _list_store(self) -> None:
        # Answers of several eras in turn must not lead to one after another.
        due_ms = self._listed_ms + MIN_LISTING_PERIOD_MS
        await asyncio.sleep(max(0.0, due_ms - self._clock()) / _MS_PER_S)
        observer = self._observer
        held_era = self._era
        held_revision = self._revision
        if observer:
            observer.on_read_sent()
        match await self._store.list_prefix(keyspace.ALL_KEYS_PREFIX):
            case Result(tag='ok', ok=listing) if (
                held_era != self._era and listing.era < self._era
            ):
                # A peer has told of the present era meanwhile.
                logging.info('listing of an earlier era; listing again')
            case Result(tag='ok', ok=listing):
                self._on_store_answer(listing.transfer_ms)
                later: Changes | None = Changes((), listing.revision)
                if listing.era == self._era and (
                    (held_era, held_revision) != (self._era, self._revision)
                ):
                    # Peers have told of changes meanwhile.
                    later = self.changes_after(listing.revision)
                if later is None:
                    logging.info('listing older than changes; listing again')
                    return
                if _is_other_history(listing, self._listed_era, held_revision):
                    self._on_restored(listing)
                self._apply_listing(listing)
                self._apply_changes(later)
                if observer:
                    observer.on_read_answered(0.0)
            case Result(error=error):
                if observer:
                    observer.on_read_failed()
                await self._on_failure(error)

    async def _watch_changes(self) -> None:
        observer = self._observer
        held_era = self._era
        after_revision = self._revision
        wait_ms = self._watch_time_ms()
        if observer:
            wait_ms = observer.choose_wait_ms(wait_ms)
            observer.on_read_sent()
        answer = await self._wait_for_changes(wait_ms)
        match answer:
            case None:
                return
            case Result(error=ChangesTooLarge()):
                answer = await self._read_newest()
        match answer:
            case Result(tag='ok', ok=changes) if (
                # A peer may have told of another era meanwhile.
                self._era != held_era
                or _is_other_history(changes, held_era, after_revision)
            ):
                # The copy is no more current than before.
                self._must_list = True
                logging.info('changes of another history; listing again')
            case Result(tag='ok', ok=changes):
                # The store answers without changes after the wait only.
                waited_ms = 0.0 if changes.events else float(wait_ms)
                await self._on_changes(changes, waited_ms)
            case Result(error=HistoryCompacted()):
                logging.info('store dropped needed history; listing again')
                self._must_list = True
            case Result(error=ChangesTooLarge()):
                logging.warning('changes of entries too large; listing again')
                self._must_list = True
            case Result(error=StoreUnavailable() as error):
                if observer:
                    observer.on_read_failed()
                await self._on_failure(error)

    async def _wait_for_changes(
        self, wait_ms: int
    ) -> Result[Changes, WatchError] | None:
        """Return changes; ``None`` if a listing was requested meanwhile."""
        try:
            async with asyncio.timeout(None) as self._watch:
                return await self._store.wait_for_changes(
                    keyspace.ALL_KEYS_PREFIX,
                    self._revision,
                    wait_ms,
                    newest_values.max_changes_bytes(
                        self._entries.configuration_bytes
                    ),
                )
        except TimeoutError:
            return None
        finally:
            self._watch = None

    def _on_restored(self, listing: Listing) -> None:
        """Begin anew with the content of a restored store.

        What its copy does not have was perhaps written after the copy was
        taken, and is written again by its owner.
        """
        if not self._has_listed:
            return
        self._entries.on_recovered()
        logging.warning(
            'store was restored from a copy',
            extra={
                'era': listing.era,
                'revision': listing.revision,
                'held_era': self._listed_era,
                'held_revision': self._revision,
            },
        )
        if listing.era == self._listed_era or listing.era != self._era:
            # No peer has told of it before.
            self._entries.on_other_era(listing.revision)

    async def _read_newest(self) -> Result[Changes, WatchError]:
        """Read the changes without the versions that were replaced."""
        if self._observer:
            self._observer.on_read_sent()
        began_ms = self._clock()
        answer = await newest_values.read_newest(
            self._store, self._revision, self._entries.possible_evacuations
        )
        match answer:
            case Result(tag='ok', ok=changes):
                transfer_ms = self._clock() - began_ms
                logging.info(
                    'newest values read in place of large changes',
                    extra={
                        'after_revision': self._revision,
                        'revision': changes.revision,
                        'duration_ms': round(transfer_ms),
                    },
                )
                return Ok(replace(changes, transfer_ms=transfer_ms))
        return answer

    async def _on_changes(self, changes: Changes, waited_ms: float) -> None:
        """Apply an answer of the store, and wait a moment for further ones.

        Parameters
        ----------
        waited_ms
            Time that the store is known to have waited before the answer.
        """
        observer = self._observer
        self._on_store_answer(changes.transfer_ms)
        self._apply_changes(changes)
        if observer:
            observer.on_read_answered(waited_ms)
        if not changes.events:
            return
        # Changes often come several at a time. Those during a long transfer
        # have waited enough.
        batch_s = CHANGE_BATCH_S
        if observer:
            batch_s = observer.choose_batch_s(batch_s)
        await asyncio.sleep(
            max(0.0, batch_s - changes.transfer_ms / _MS_PER_S)
        )

    def changes_after(self, revision: int) -> Changes | None:
        """Return the changes after a revision.

        Returns
        -------
        Changes or None
            ``None`` if some of the changes are no longer held.
        """
        if revision < self._recent_after_revision:
            return None
        events = tuple(
            e for e in self._recent_changes if e.mod_revision > revision
        )
        return Changes(events, self._revision, era=self._era)

    def operator_values(self) -> Changes:
        """Return all keys of the operator, for a copy of an earlier era.

        Only the configuration has its value, so that one message has room.
        """
        values = tuple(
            stored
            if stored.key == CONFIGURATION_KEY
            else replace(stored, value=b'')
            for stored in self._entries.operator_values
        )
        return Changes(values, self._revision, era=self._era)

    def apply_peer_changes(self, changes: Changes) -> None:
        """Apply changes that a peer received from the store.

        Those of another era are not applied.
        """
        if changes.era == self._era:
            self._apply_changes(changes)

    def replace_operator_values(self, values: Changes) -> None:
        """Take all keys of the operator from a peer with a later version.

        What the copy has of other keys is kept. They are taken from the
        store when that can be reached.
        """
        if (values.era, values.revision) <= (self._era, self._revision):
            return
        if values.era > self._era:
            logging.warning(
                'peer told of a restored store',
                extra={'era': values.era, 'held_era': self._era},
            )
            self._entries.on_other_era(values.revision)
        self._entries.forget_operator_values()
        self._era = values.era
        self._revision = 0
        self._must_list = True
        self._apply_changes(values)
        self._entries.list_evacuations()
        self._forget_changes(self._revision)

    def apply_follower_changes(
        self, after_revision: int, changes: Changes
    ) -> bool:
        """Apply changes that a follower of the store sends.

        Parameters
        ----------
        after_revision
            Revision after which the changes are complete.

        Returns
        -------
        bool
            ``False`` if changes before them are missing here, if they are of
            another era, or if the store must be listed first.
        """
        if self._must_list or changes.era != self._era:
            return False
        if after_revision > self._revision:
            return False
        self._apply_changes(changes)
        return True

    def on_confirmed_by_follower(self) -> None:
        """Handle that a follower has just read the store.

        This node's own calls may have failed before. What then lapsed in the
        store gets the grace time after an outage.
        """
        if self._down_since_ms is not None:
            self._end_outage()

    def request_listing(self) -> None:
        """List the store now, as the copy is of an earlier era.

        A watch that waits is ended. Its connection may be silent, or the
        revision of the restored store the same as that of the copy.
        """
        self._must_list = True
        if self._watch is not None and not self._watch.expired():
            self._watch.reschedule(asyncio.get_running_loop().time())

    def retry_now(self) -> None:
        """End the pause after a failure and call the store at once.

        To be called when the store has answered a call of another component.
        """
        self._retry_requested.set()

    def _watch_time_ms(self) -> int:
        """Return how long the next watch may wait for changes.

        It is shorter while the store is unreachable, so that its recovery is
        noticed soon, and while a target with a lapsed entry must be dropped
        or the caution after a restore ends at a certain time.
        """
        if not self.is_reachable:
            return min(self._settings.watch_ms, self._settings.retry_ms)
        longest_ms = self._settings.watch_ms
        table = self._cluster_view.table
        if table is not None and table.has_caps:
            longest_ms = min(longest_ms, CAPS_WATCH_MS)
        deadline_ms = self._entries.next_deadline_ms
        if deadline_ms is None:
            return longest_ms
        left_ms = deadline_ms - self._clock()
        return min(longest_ms, max(1, int(left_ms) + 1))

    def _on_store_answer(self, transfer_ms: float) -> None:
        """Handle an answer, which is as old as its transfer took."""
        answered_ms = self._clock() - transfer_ms
        self._cluster_view.store_answered_ms = answered_ms
        self._cluster_view.is_store_reachable = True
        if self._down_since_ms is not None:
            self._end_outage()

    def _end_outage(self) -> None:
        assert self._down_since_ms is not None
        now_ms = self._clock()
        self._cluster_view.is_store_reachable = True
        logging.info(
            'store answers again',
            extra={
                'down_ms': round(now_ms - self._down_since_ms),
                'revision': self._revision,
            },
        )
        self._down_since_ms = None
        self._entries.on_recovered()

    async def _on_failure(self, error: StoreUnavailable) -> None:
        is_passive = self._observer is not None and self._observer.is_passive
        # A copy that others confirm stays current without this call.
        if self._down_since_ms is None and not is_passive:
            self._down_since_ms = self._clock()
            self._cluster_view.is_store_reachable = False
            logging.warning(
                'store lost',
                extra={'cause': error.cause, 'revision': self._revision},
            )
        self._entries.end_caution()
        # A call that took long has been the pause itself.
        took_ms = self._clock() - self._called_ms
        pause_s = max(0.0, self._settings.retry_ms - took_ms) / _MS_PER_S
        self._retry_requested.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._retry_requested.wait()

    def _apply_listing(self, listing: Listing) -> None:
        first = not self._has_listed
        self._has_listed = True
        self._entries.replace_all(listing, first=first)
        self._era = self._listed_era = listing.era
        self._revision = listing.revision
        self._listed_ms = self._clock()
        self._must_list = False
        self._forget_changes(listing.revision)
        self._entries.drop_expired_targets()

    def _forget_changes(self, revision: int) -> None:
        """Hold no changes up to a revision any more."""
        self._recent_changes.clear()
        self._recent_after_revision = revision

    def _apply_changes(self, changes: Changes) -> None:
        held_revision = self._revision
        for event in changes.events:
            if event.mod_revision <= held_revision:
                # The change has already been received from a peer.
                continue
            self._record_change(event)
            self._entries.apply(event)
        self._revision = max(self._revision, changes.revision)
        self._entries.drop_expired_targets()

    def _record_change(self, event: StoredValue | Removal) -> None:
        if len(self._recent_changes) == MAX_RECENT_CHANGES:
            self._recent_after_revision = self._recent_changes[0].mod_revision
        self._recent_changes.append(event)


def _is_other_history(
    answer: Changes | Listing, held_era: int, held_revision: int
) -> bool:
    """Return whether the store was restored since the copy was read.

    Parameters
    ----------
    held_era, held_revision
        Those of the copy when the store was asked. Without an era, a lower
        revision in the answer is what tells of a restore.
    """
    return answer.era != held_era or answer.revision < held_revision
