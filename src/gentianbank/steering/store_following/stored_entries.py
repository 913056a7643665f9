"""Applies the entries of the store to the node's view of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging
from expression import Result

from gentianbank.domain.errors import InvalidDocument
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
from gentianbank.steering.store_following.restore_caution import RestoreCaution
from gentianbank.storage.prefix_store import Removal

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.storage.prefix_store import Listing
    from gentianbank.storage.store import StoredValue


class StoredEntries:
    """What the store holds, as far as it was read, applied to the view.

    Parameters
    ----------
    grace_ms
        Time after an outage for which the targets of missing entries are
        kept, since their leases could not be renewed during the outage.
    on_own_entry_gone
        Called when an entry of this node has been removed.
    clock
        Returns the monotonic time in milliseconds.

    Attributes
    ----------
    configuration_bytes
        Size of the latest configuration.
    """

    def __init__(
        self,
        *,
        vm: str,
        cluster_view: ClusterView,
        grace_ms: float,
        on_own_entry_gone: Callable[[MemberSource], None],
        clock: Callable[[], float],
    ) -> None:
        self.configuration_bytes = 0
        self._vm = vm
        self._cluster_view = cluster_view
        self._grace_ms = grace_ms
        self._on_own_entry_gone = on_own_entry_gone
        self._clock = clock
        self._caution = RestoreCaution(cluster_view, clock)
        self._recovered_ms = float('-inf')
        self._drop_deadlines_ms: dict[str, float] = {}
        self._operator_values: dict[str, StoredValue] = {}

    @property
    def operator_values(self) -> tuple[StoredValue, ...]:
        """Return the keys of the operator."""
        return tuple(self._operator_values.values())

    @property
    def next_deadline_ms(self) -> float | None:
        """Return when a target or the caution after a restore is next due."""
        deadlines_ms = [*self._drop_deadlines_ms.values()]
        if (caution_ends_ms := self._caution.ends_ms) is not None:
            deadlines_ms.append(caution_ends_ms)
        return min(deadlines_ms, default=None)

    def on_recovered(self) -> None:
        """Begin the grace time after an outage."""
        self._recovered_ms = self._clock()

    def on_other_era(self, revision: int) -> None:
        """Keep what is known, and have the own entries written anew."""
        self._caution.begin(revision)
        for source in MemberSource:
            self._on_own_entry_gone(source)

    def replace_all(self, listing: Listing, *, first: bool) -> None:
        """Apply a listing, and drop what it lacks.

        Parameters
        ----------
        first
            Whether this is the first listing of the node.
        """
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

    def forget_operator_values(self) -> None:
        """Drop the keys of the operator, all of which are applied anew."""
        self._operator_values.clear()

    def list_evacuations(self) -> None:
        """Take the evacuations among the operator's keys for all there are."""
        self._cluster_view.set_evacuated_domains(
            self._caution.on_listed(self._stored_evacuations()), self._clock()
        )

    def possible_evacuations(self) -> list[str]:
        """Return the keys under which a known failure domain is evacuated."""
        view = self._cluster_view
        domains = view.evacuated | view.regions.keys()
        return [keyspace.evacuation_key(domain) for domain in domains]

    def apply(self, event: StoredValue | Removal) -> None:
        """Apply a change."""
        if isinstance(event, Removal):
            self._apply_removal(event)
        else:
            self._apply_value(event, first=False)

    def end_caution(self) -> None:
        """Let the content of a restored store hold in due time."""
        if not self._caution.is_over:
            return
        evacuated = self._stored_evacuations()
        entries = self._caution.end(evacuated)
        self._cluster_view.set_evacuated_domains(evacuated, self._clock())
        for entry in entries:
            self._apply_target(entry, first=False)

    def drop_expired_targets(self) -> None:
        """Drop the targets whose entries have not come back in time."""
        self.end_caution()
        now_ms = self._clock()
        for target_id, deadline_ms in list(self._drop_deadlines_ms.items()):
            if now_ms >= deadline_ms:
                del self._drop_deadlines_ms[target_id]
                self._remove_target(target_id)
                logging.info('target gone', extra={'target': target_id})

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
            self.configuration_bytes = len(stored.value)
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
