"""What a node believes of routes, targets and nodes, from the store."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from absl import logging

from gentianbank.policy.peer_loads import PeerLoads
from gentianbank.policy.target_load import TargetLoad

if TYPE_CHECKING:
    from gentianbank.domain.registration import NodeRegistration
    from gentianbank.domain.registration import TargetRegistration
    from gentianbank.domain.route_table import RouteTable

# A target whose failure domain was just given back, or that has only now
# registered, is taken as cold for so long when its service says nothing.
DEFAULT_COLD_MS = 3_000.0


@dataclass(slots=True)
class Beliefs:
    """Routes, targets and nodes as this node knows them.

    Parameters
    ----------
    regions
        Region of each failure domain.
    table
        Configuration in force; nothing before the first one.
    targets
        Registered targets, by id.
    evacuated
        Failure domains that get nothing.
    generation
        Grows whenever the set of usable targets may have changed.
    confirmed_ms
        Time when the store last answered.
    peer_loads
        Requests in flight of other nodes.
    changed_loads
        Ids of the targets whose load changed since peers were told.
    lost_peers
        Nodes whose connections to this one have ended, though their
        entries may still be there.
    """

    regions: dict[str, str]
    table: RouteTable | None = None
    targets: dict[str, TargetLoad] = field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()
    nodes: dict[str, NodeRegistration] = field(default_factory=dict)
    generation: int = 0
    confirmed_ms: float | None = None
    peer_loads: PeerLoads = field(default_factory=PeerLoads)
    changed_loads: set[str] = field(default_factory=set)
    lost_peers: set[str] = field(default_factory=set)

    def age_ms(self, now_ms: float) -> int | None:
        """Return the time since the store last answered, if it ever did."""
        if self.confirmed_ms is None:
            return None
        return round(now_ms - self.confirmed_ms)

    def put_table(self, table: RouteTable) -> bool:
        """Put a configuration in force unless a newer one is."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self.generation += 1
        logging.info(
            'configuration in force', extra={'version': table.version}
        )
        return True

    def put_node(self, node: NodeRegistration) -> None:
        """Take the entry of a node; a new one means that it runs again."""
        if self.nodes.get(node.vm) != node:
            self.lost_peers.discard(node.vm)
        self.nodes[node.vm] = node

    def put_target(
        self, entry: TargetRegistration, now_ms: float, *, first: bool
    ) -> None:
        """Take the entry of a target.

        Parameters
        ----------
        first
            Whether the entry is of the first listing, so that the target
            need not have started just now.
        """
        held = self.targets.get(entry.target_id)
        if held is None or _is_other_start(held.registration, entry):
            held = TargetLoad(
                entry,
                self._region(entry),
                now_ms,
                peer_loads=self.peer_loads,
                changed_loads=self.changed_loads,
            )
            self.targets[entry.target_id] = held
            if not first:
                held.cold_until_ms = now_ms + self._cold_ms(entry)
        held.registration = entry
        held.is_doubtful = False
        held.cold_until_ms = max(
            held.cold_until_ms, now_ms + entry.cold_left_ms
        )
        self.generation += 1

    def doubt_target(self, target_id: str) -> None:
        """Avoid a target whose entry may have lapsed by an outage only."""
        target = self.targets.get(target_id)
        if target is not None:
            target.is_doubtful = True

    def drop_target(self, target_id: str) -> None:
        """Forget a target whose entry is gone."""
        if self.targets.pop(target_id, None) is not None:
            self.generation += 1

    def evacuate(self, domains: frozenset[str], now_ms: float) -> None:
        """Take the failure domains that get nothing from now on."""
        returned = self.evacuated - domains
        if domains == self.evacuated:
            return
        self.evacuated = domains
        self.generation += 1
        for target in self.targets.values():
            entry = target.registration
            if entry.failure_domain in returned:
                target.cold_until_ms = now_ms + self._cold_ms(entry)
                target.forget_objects()

    def usable(self, service: str) -> list[TargetLoad]:
        """Return the targets of a service that may get requests."""
        return [
            target
            for target in self.targets.values()
            if target.registration.service == service
            and not target.registration.draining
            and target.registration.failure_domain not in self.evacuated
        ]

    def _region(self, entry: TargetRegistration) -> str:
        return self.regions.get(entry.failure_domain, '')

    def _cold_ms(self, entry: TargetRegistration) -> float:
        if self.table is None:
            return DEFAULT_COLD_MS
        policy = self.table.services.get(entry.service)
        return policy.cold_start_ms if policy else DEFAULT_COLD_MS


def _is_other_start(
    held: TargetRegistration, entry: TargetRegistration
) -> bool:
    return held.born_ms != entry.born_ms or held.address != entry.address
