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

from gentianbank.domain.errors import InvalidDocument
from gentianbank.domain.errors import StoreUnavailable
from gentianbank.domain.registration import MemberRegistration
from gentianbank.domain.registration import NodeRegistration
from gentianbank.domain.registration import TargetRegistration
from gentianbank.domain.route_table import RouteTable
from gentianbank.platform import keyspace
from gentianbank.platform.documents import CONFIGURATION_KEY
from gentianbank.platform.documents import OPERATOR_PREFIX
from gentianbank.platform.keyspace import ConfigurationKey
from gentianbank.platform.keyspace import EvacuationKey
from gentianbank.platform.keyspace import MemberKey
from gentianbank.platform.keyspace import NodeKey
from gentianbank.platform.keyspace import TargetKey
from gentianbank.policy.fleet_members import MemberSource
from gentianbank.steering.store_following import newest_values
from gentianbank.steering.store_following.restore_caution import RestoreCaution
from gentianbank.storage.prefix_store import Changes
from gentianbank.storage.prefix_store import ChangesTooLarge
from gentianbank.storage.prefix_store import HistoryCompacted
from gentianbank.storage.prefix_store import Removal

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.domain.steering_settings import SteeringStore
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.steering.store_following.reads import ReadObserver
    from gentianbank.storage.prefix_store import Listing
    from gentianbank.storage.prefix_store import PrefixStore
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
        self._vm = vm
        self._store = store
        self._settings = settings
        self._cluster_view = cluster_view
        self._grace_ms = grace_ms
        self._on_own_entry_gone = on_own_entry_gone
        self._clock = clock
        self._caution = RestoreCaution(cluster_view, clock)
        self._revision = 0
        self._era = 0
        # Era of the last listing; a peer may have told of a later one.
        self._listed_era = 0
        self._listed_ms = float('-inf')
        self._must_list = True
        self._down_since_ms: float | None = None
        self._recovered_ms = float('-inf')
        self._has_listed = False
        self._drop_deadlines_ms: dict[str, float] = {}
        self._retry_requested = asyncio.Event()
        self._called_ms = 0.0
        self._recent_changes: deque[StoredValue | Removal] = deque(
            maxlen=MAX_RECENT_CHANGES
        )
        self._configuration_bytes = 0
        self._operator_values: dict[str, StoredValue] = {}
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
            self._end_caution()
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
                    newest_values.max_changes_bytes(self._configuration_bytes),
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
        self._recovered_ms = self._clock()
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
            self._on_other_era(listing.revision)

    def _on_other_era(self, revision: int) -> None:
        """Keep what is known, and have the own entries written anew."""
        self._caution.begin(revision)
        for source in MemberSource:
            self._on_own_entry_gone(source)

    async def _read_newest(self) -> Result[Changes, WatchError]:
        """Read the changes without the versions that were replaced."""
        if self._observer:
            self._observer.on_read_sent()
        began_ms = self._clock()
        answer = await newest_values.read_newest(
            self._store, self._revision, self._possible_evacuations
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

    def _possible_evacuations(self) -> list[str]:
        """Return the keys under which a known failure domain is evacuated."""
        view = self._cluster_view
        domains = view.evacuated | view.regions.keys()
        return [keyspace.evacuation_key(domain) for domain in domains]

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
            for stored in self._operator_values.values()
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
            self._on_other_era(values.revision)
        self._operator_values.clear()
        self._era = values.era
        self._revision = 0
        self._must_list = True
        self._apply_changes(values)
        self._cluster_view.set_evacuated_domains(
            self._caution.on_listed(self._stored_evacuations()), self._clock()
        )
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
        deadlines_ms = [*self._drop_deadlines_ms.values()]
        if (caution_ends_ms := self._caution.ends_ms) is not None:
            deadlines_ms.append(caution_ends_ms)
        if not deadlines_ms:
            return longest_ms
        left_ms = min(deadlines_ms) - self._clock()
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
        self._recovered_ms = now_ms

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
        self._end_caution()
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
        self._operator_values.clear()
        self._caution.on_listing()
        keys = set()
        evacuated = set()
        for stored in listing.values:
            keys.add(stored.key)
            subject = keyspace.kind_of_key(stored.key)
            if isinstance(subject, EvacuationKey):
                evacuated.add(subject.name)
            self._apply_value(stored, first=first)
        self._cluster_view.set_evacuated_domains(
            self._caution.on_listed(frozenset(evacuated)), self._clock()
        )
        for target_id in list(self._cluster_view.targets):
            if keyspace.target_key(target_id) not in keys:
                self._on_target_removed(target_id)
        for vm in list(self._cluster_view.nodes):
            if keyspace.node_key(vm) not in keys:
                self._on_node_removed(vm)
        members = self._cluster_view.members
        for vm in members.named_by(MemberSource.LASTING):
            if keyspace.member_key(vm) not in keys:
                self._on_member_removed(vm)
        self._era = self._listed_era = listing.era
        self._revision = listing.revision
        self._listed_ms = self._clock()
        self._must_list = False
        self._forget_changes(listing.revision)
        self._drop_expired_targets()

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
            if isinstance(event, Removal):
                self._apply_removal(event)
            else:
                self._apply_value(event, first=False)
        self._revision = max(self._revision, changes.revision)
        self._drop_expired_targets()

    def _record_change(self, event: StoredValue | Removal) -> None:
        if len(self._recent_changes) == MAX_RECENT_CHANGES:
            self._recent_after_revision = self._recent_changes[0].mod_revision
        self._recent_changes.append(event)

    def _apply_value(self, stored: StoredValue, *, first: bool) -> None:
        """Apply a value; one that cannot be applied costs only itself."""
        if stored.key.startswith(OPERATOR_PREFIX):
            self._operator_values[stored.key] = stored
        try:
            self._apply_decoded(stored, first=first)
        except Exception:
            # Else the same entry would fail the next listing too.
            logging.exception('entry not applied', extra={'key': stored.key})
            self._drop_target_of(stored.key)

    def _apply_decoded(self, stored: StoredValue, *, first: bool) -> None:
        if stored.key == CONFIGURATION_KEY:
            self._configuration_bytes = len(stored.value)
        match keyspace.decode(stored):
            case Result(tag='ok', ok=RouteTable() as table):
                self._cluster_view.put_table(table)
            case Result(tag='ok', ok=TargetRegistration() as entry):
                usable = self._caution.check_target(entry, stored.mod_revision)
                if usable:
                    self._apply_target(usable, first=first)
            case Result(tag='ok', ok=NodeRegistration() as node):
                self._cluster_view.put_node(node)
            case Result(tag='ok', ok=MemberRegistration(vm=vm, region=region)):
                self._cluster_view.members.put(
                    vm, region, MemberSource.LASTING
                )
            case Result(tag='ok', ok=EvacuationKey(name)):
                self._caution.on_evacuated(name, stored.mod_revision)
                domains = self._cluster_view.evacuated | {name}
                self._cluster_view.set_evacuated_domains(
                    domains, self._clock()
                )
                logging.info(
                    'failure domain evacuated', extra={'failure_domain': name}
                )
            case Result(error=InvalidDocument() as error):
                self._reject_value(stored, error)

    def _apply_target(self, entry: TargetRegistration, *, first: bool) -> None:
        self._drop_deadlines_ms.pop(entry.target_id, None)
        self._cluster_view.put_target(
            entry, self._clock(), from_first_listing=first
        )
        logging.info(
            'target registered',
            extra={
                'target': entry.target_id,
                'draining': entry.draining,
                'cold_left_ms': entry.cold_left_ms,
                'failure_domain': entry.failure_domain,
            },
        )

    def _reject_value(
        self, stored: StoredValue, error: InvalidDocument
    ) -> None:
        subject = keyspace.kind_of_key(stored.key)
        if isinstance(subject, ConfigurationKey):
            self._cluster_view.reject_table(str(error))
            return
        logging.warning('invalid entry ignored', extra={'cause': str(error)})
        self._drop_target_of(stored.key)

    def _drop_target_of(self, key: str) -> None:
        """Drop the target whose entry cannot be used any more, if any."""
        subject = keyspace.kind_of_key(key)
        if isinstance(subject, TargetKey):
            self._remove_target(subject.target_id)

    def _apply_removal(self, removal: Removal) -> None:
        was_stored = self._operator_values.pop(removal.key, None) is not None
        match keyspace.kind_of_key(removal.key):
            case TargetKey(target_id):
                self._on_target_removed(target_id)
            case NodeKey(vm):
                self._on_node_removed(vm)
            case MemberKey(vm):
                self._on_member_removed(vm)
            case EvacuationKey(name) if name in self._cluster_view.evacuated:
                if self._caution.keeps_evacuation(name, was_stored=was_stored):
                    return
                domains = self._cluster_view.evacuated - {name}
                self._cluster_view.set_evacuated_domains(
                    domains, self._clock()
                )
                logging.info(
                    'failure domain is back', extra={'failure_domain': name}
                )

    def _on_target_removed(self, target_id: str) -> None:
        """Drop a target whose entry is missing.

        During the grace time after an outage the target is only marked as
        doubtful, and dropped later if its entry has not come back.
        """
        now_ms = self._clock()
        self._caution.on_target_entry_gone(target_id)
        if now_ms - self._recovered_ms < self._grace_ms:
            self._drop_deadlines_ms.setdefault(
                target_id, self._recovered_ms + self._grace_ms
            )
            self._cluster_view.mark_target_unconfirmed(target_id)
            return
        self._remove_target(target_id)
        logging.info('target gone', extra={'target': target_id})

    def _remove_target(self, target_id: str) -> None:
        self._caution.on_target_gone(target_id)
        self._cluster_view.remove_target(target_id, self._clock())

    def _on_node_removed(self, vm: str) -> None:
        if vm == self._vm:
            self._cluster_view.members.on_entry_gone(vm, self._clock())
            self._on_own_entry_gone(MemberSource.NODE)
            return
        self._cluster_view.remove_node(vm, self._clock())
        logging.info('node gone', extra={'vm': vm})

    def _on_member_removed(self, vm: str) -> None:
        self._cluster_view.members.on_entry_gone(
            vm, self._clock(), MemberSource.LASTING
        )
        if vm == self._vm:
            self._on_own_entry_gone(MemberSource.LASTING)

    def _stored_evacuations(self) -> frozenset[str]:
        """Return the failure domains that the operator's keys evacuate."""
        subjects = map(keyspace.kind_of_key, self._operator_values)
        return frozenset(
            subject.name
            for subject in subjects
            if isinstance(subject, EvacuationKey)
        )

    def _end_caution(self) -> None:
        """Let the content of a restored store hold in due time."""
        if not self._caution.is_over:
            return
        evacuated = self._stored_evacuations()
        entries = self._caution.end(evacuated)
        self._cluster_view.set_evacuated_domains(evacuated, self._clock())
        for entry in entries:
            self._apply_target(entry, first=False)

    def _drop_expired_targets(self) -> None:
        self._end_caution()
        now_ms = self._clock()
        for target_id, deadline_ms in list(self._drop_deadlines_ms.items()):
            if now_ms >= deadline_ms:
                del self._drop_deadlines_ms[target_id]
                self._remove_target(target_id)
                logging.info('target gone', extra={'target': target_id})


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
