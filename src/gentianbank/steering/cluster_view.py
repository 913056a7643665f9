"""A node's view of routes, targets and other nodes.

It comes from the store, from other nodes, and from the node's own requests.
It may be stale.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from absl import logging

from gentianbank.policy.fleet_limits import ColdRateLimit
from gentianbank.policy.fleet_members import FleetMembers
from gentianbank.policy.leaving import LeavingState
from gentianbank.policy.peer_loads import PeerLoads
from gentianbank.policy.restart_suspicion import RestartSuspicion
from gentianbank.policy.target_load import TargetLoad

if TYPE_CHECKING:
    from gentianbank.domain.registration import NodeRegistration
    from gentianbank.domain.registration import TargetRegistration
    from gentianbank.domain.route_table import RouteTable

# Time for which a target counts as cold after its failure domain came back
# or after it registered, if the configuration has no policy for its service.
DEFAULT_COLD_START_MS = 3_000.0
DEFAULT_HEALTH_PATH = '/'
# The load record of a target is kept this long after its entry is gone. The
# entry may come back, and what was sent before still counts at the target.
REMOVED_MEMORY_MS = 60_000.0
# Limit on the length of one log line.
MAX_LOGGED_PROBLEMS = 10


@dataclass(frozen=True, slots=True)
class _RemovedTarget:
    """The load record of a target that was removed."""

    target: TargetLoad
    removed_ms: float


@dataclass(slots=True)
class ClusterView:
    """Routes, targets and nodes as this node last saw them.

    Parameters
    ----------
    regions
        Region of each failure domain.
    table
        Configuration in force; ``None`` before the first one.
    rejected_table
        Why a newer configuration than the one in force cannot be used;
        empty if there is none.
    targets
        Registered targets, by id.
    evacuated
        Evacuated failure domains; their targets get no requests.
    nodes
        Registered nodes, by VM.
    generation
        Incremented when the configuration, a target's entry, the evacuated
        failure domains or the targets that say that they leave change, so
        that results computed from them can be discarded.
    members
        Nodes among which limits for all nodes together are divided.
    store_answered_ms
        Time when the store last answered; ``None`` before that.
    is_store_reachable
        Whether the last call to the store succeeded.
    peer_loads
        Requests that other nodes have in flight at targets.
    changed_loads
        Ids of the targets whose load changed since the last message to
        peers.
    disconnected_peers
        Nodes whose connection to this node ended and has not been opened
        again. The lease of such a node may still keep its entry in the
        store.
    """

    regions: dict[str, str]
    table: RouteTable | None = None
    rejected_table: str = ''
    targets: dict[str, TargetLoad] = field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()
    nodes: dict[str, NodeRegistration] = field(default_factory=dict)
    generation: int = 0
    members: FleetMembers = field(default_factory=FleetMembers)
    store_answered_ms: float | None = None
    is_store_reachable: bool = True
    peer_loads: PeerLoads = field(default_factory=PeerLoads)
    changed_loads: set[str] = field(default_factory=set)
    disconnected_peers: set[str] = field(default_factory=set)
    _removed: dict[str, _RemovedTarget] = field(default_factory=dict)

    @property
    def limited_target_count(self) -> int:
        """Return the number of targets that name a limit."""
        return sum(target.limit.is_named for target in self.targets.values())

    @property
    def leaving_target_count(self) -> int:
        """Return the number of targets that say that they leave."""
        return sum(
            target.leaving.is_active for target in self.targets.values()
        )

    def remembers_leaving(self, now_ms: float) -> bool:
        """Return whether a target says that it leaves, also a removed one."""
        self._forget_removed(now_ms)
        removed = (record.target for record in self._removed.values())
        return any(
            target.leaving.is_active
            for target in (*self.targets.values(), *removed)
        )

    def age_ms(self, now_ms: float) -> int | None:
        """Return the time since the store last answered.

        Returns
        -------
        int or None
            ``None`` if the store has never answered.
        """
        if self.store_answered_ms is None:
            return None
        return round(now_ms - self.store_answered_ms)

    def put_table(self, table: RouteTable) -> bool:
        """Put a configuration in force if it is newer than the current one.

        Returns
        -------
        bool
            Whether the configuration is now in force.
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self.rejected_table = ''
        self.generation += 1
        logging.info(
            'configuration in force', extra={'version': table.version}
        )
        if table.problems:
            _log_problems(table)
        return True

    def reject_table(self, cause: str) -> None:
        """Keep the configuration in force, as the newest cannot be used."""
        self.rejected_table = cause
        logging.error(
            'configuration cannot be used; an older one stays in force',
            extra={
                'version': self.table.version if self.table else None,
                'cause': cause,
            },
        )

    def put_node(self, node: NodeRegistration) -> None:
        """Store the entry of a node.

        A changed entry means that the node has started again, so it is no
        longer listed as disconnected.
        """
        if self.nodes.get(node.vm) != node:
            self.disconnected_peers.discard(node.vm)
        self.nodes[node.vm] = node
        self.members.put(node.vm, node.region)

    def remove_node(self, vm: str, now_ms: float) -> None:
        """Remove a node whose entry is gone."""
        self.nodes.pop(vm, None)
        self.members.on_entry_gone(vm, now_ms)

    def put_target(
        self,
        entry: TargetRegistration,
        now_ms: float,
        *,
        from_first_listing: bool,
    ) -> None:
        """Store the entry of a target.

        A target that is new, or that has started again, counts as cold and
        begins with an empty load record. One whose entry was gone for a
        while counts as cold too, but keeps its record. What a target has
        said of its leaving holds until an entry of a later start.

        Parameters
        ----------
        from_first_listing
            Whether the entry comes from the first listing after the start
            of this node. Such a target may have been running for long, so
            it does not count as cold unless its entry says so.
        """
        is_listed = entry.target_id in self.targets
        known = self.targets.get(entry.target_id) or self._pop_removed(
            entry.target_id
        )
        if known is None or _has_restarted(known.registration, entry):
            is_listed = False
            sent = known.cold if known else ColdRateLimit()
            said = known.leaving if known else LeavingState()
            leaving = said.for_entry(entry.born_ms)
            if said.is_active and not leaving.is_active:
                logging.info(
                    'target that left has started again',
                    extra={
                        'target': entry.target_id,
                        'age_ms': round(now_ms - said.said_ms),
                    },
                )
            known = TargetLoad(
                entry,
                self._region(entry),
                now_ms,
                peer_loads=self.peer_loads,
                changed_loads=self.changed_loads,
                # Requests since the restart may have been sent before the
                # entry tells of it.
                cold=sent,
                leaving=leaving,
            )
        self.targets[entry.target_id] = known
        if not is_listed and not from_first_listing:
            known.cold_until_ms = now_ms + self.cold_start_ms(entry)
            # Nobody asks a target without an entry, and it counts as cold.
            known.restart = RestartSuspicion()
        known.registration = entry
        known.is_unconfirmed = False
        known.cold_until_ms = max(
            known.cold_until_ms, now_ms + entry.cold_left_ms
        )
        self.generation += 1

    def mark_target_unconfirmed(self, target_id: str) -> None:
        """Mark a target as doubtful: it is used only if no other is left.

        The entry of such a target may have lapsed only because an outage of
        the store prevented the renewal of its lease.
        """
        target = self.targets.get(target_id)
        if target is not None:
            target.is_unconfirmed = True

    def remove_target(self, target_id: str, now_ms: float) -> None:
        """Remove a target whose entry is gone."""
        self._forget_removed(now_ms)
        target = self.targets.pop(target_id, None)
        if target is not None:
            self._removed[target_id] = _RemovedTarget(target, now_ms)
            self.generation += 1

    def _pop_removed(self, target_id: str) -> TargetLoad | None:
        removed = self._removed.pop(target_id, None)
        return removed.target if removed else None

    def _forget_removed(self, now_ms: float) -> None:
        for target_id, removed in list(self._removed.items()):
            if now_ms - removed.removed_ms >= REMOVED_MEMORY_MS:
                del self._removed[target_id]

    def set_evacuated_domains(
        self, domains: frozenset[str], now_ms: float
    ) -> None:
        """Replace the set of evacuated failure domains.

        Targets of a domain that is no longer evacuated count as cold, and
        the record of their warm objects is cleared.
        """
        returned = self.evacuated - domains
        if domains == self.evacuated:
            return
        self.evacuated = domains
        self.generation += 1
        for target in self.targets.values():
            entry = target.registration
            if entry.failure_domain in returned:
                target.cold_until_ms = now_ms + self.cold_start_ms(entry)
                target.clear_warm_objects()

    def usable_targets(self, service: str) -> list[TargetLoad]:
        """Return the targets of a service that may get requests.

        Left out are targets that drain, that say that they leave, or that
        are in an evacuated domain.
        """
        return [
            target
            for target in self.targets.values()
            if target.registration.service == service
            and self.is_usable(target)
        ]

    def is_usable(self, target: TargetLoad) -> bool:
        """Return whether a target may get requests."""
        return self.is_open(target) and not target.leaving.is_active

    def is_open(self, target: TargetLoad) -> bool:
        """Return whether the store and the operator let a target be used."""
        entry = target.registration
        if entry.draining:
            return False
        return entry.failure_domain not in self.evacuated

    def health_path(self, service: str) -> str:
        """Return the path at which targets of a service tell their status."""
        policy = self.table.services.get(service) if self.table else None
        return policy.health_path if policy else DEFAULT_HEALTH_PATH

    def _region(self, entry: TargetRegistration) -> str:
        return self.regions.get(entry.failure_domain, '')

    def cold_start_ms(self, entry: TargetRegistration) -> float:
        """Return for how long a target is cold after its start."""
        if self.table is None:
            return DEFAULT_COLD_START_MS
        policy = self.table.services.get(entry.service)
        return policy.cold_start_ms if policy else DEFAULT_COLD_START_MS


def _has_restarted(
    known: TargetRegistration, entry: TargetRegistration
) -> bool:
    return known.born_ms != entry.born_ms or known.address != entry.address


def _log_problems(table: RouteTable) -> None:
    shown = table.problems[:MAX_LOGGED_PROBLEMS]
    logging.warning(
        'configuration used in part',
        extra={
            'version': table.version,
            'problems': len(table.problems),
            'cause': '; '.join(map(str, shown)),
        },
    )
