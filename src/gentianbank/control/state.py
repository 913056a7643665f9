"""Membership and configuration state of one node, without I/O.

Each method takes an event and the current time, changes the state and returns
the effects (messages, store reads, installations) that the agent carries out.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from gentianbank.control.assembly import ChangeLog
from gentianbank.control.assembly import RevisionAssembly
from gentianbank.control.effects import Effect
from gentianbank.control.effects import FetchBodies
from gentianbank.control.effects import Install
from gentianbank.control.effects import Send
from gentianbank.control.messages import Bodies
from gentianbank.control.messages import BodyRequest
from gentianbank.control.messages import ChangeSet
from gentianbank.control.messages import Goodbye
from gentianbank.control.messages import Heartbeat
from gentianbank.control.messages import MemberRecords
from gentianbank.control.messages import Message
from gentianbank.control.messages import RegionDigest
from gentianbank.control.messages import RegionDigests
from gentianbank.control.messages import RevisionRequest
from gentianbank.control.record_queue import RecordQueue
from gentianbank.domain.member import DOWN
from gentianbank.domain.member import LEAVING
from gentianbank.domain.member import Member
from gentianbank.domain.member import MemberTable
from gentianbank.policy import topology

if TYPE_CHECKING:
    from gentianbank.domain.revision import Head
    from gentianbank.domain.revision import Snapshot
    from gentianbank.storage.vm_list import ListedVM

HEARTBEAT_INTERVAL_MS = 1_000
SUSPECT_TIMEOUT_MS = 3_000
REVISION_REQUEST_INTERVAL_MS = 1_000
UNREACHABLE_BACKOFF_MS = 3_000
PROBE_INTERVAL_MS = 5_000


@dataclass(slots=True)
class _PeerState:
    """What is known of a connected peer.

    Parameters
    ----------
    last_heard_ms
        Time of the last message from the peer.
    revision
        Latest revision that the peer is known to hold.
    revision_requested_ms
        Time of the last revision request to the peer.
    digest_mismatches
        Heartbeats in a row whose digest of the members differed.
    """

    last_heard_ms: float
    revision: int = 0
    revision_requested_ms: float = float('-inf')
    digest_mismatches: int = 0


@dataclass(slots=True)
class ControlState:
    """Members and configuration as one node knows them.

    Parameters
    ----------
    me
        Member record of this node.
    snapshot
        Configuration in force; ``None`` before the first one.
    """

    me: Member
    members: MemberTable = field(default_factory=MemberTable)
    snapshot: Snapshot | None = None
    _peers: dict[str, _PeerState] = field(default_factory=dict)
    # By VM, for peers that were lost and are not yet declared down.
    _lost_peers_last_heard_ms: dict[str, float] = field(default_factory=dict)
    _unreachable_until_ms: dict[str, float] = field(default_factory=dict)
    _listed_vms: dict[str, ListedVM] = field(default_factory=dict)
    _change_log: ChangeLog = field(default_factory=ChangeLog)
    _assembly: RevisionAssembly | None = None
    _rejected_revision: int = 0
    _record_queue: RecordQueue = field(default_factory=RecordQueue)
    _link_plan: topology.LinkPlan | None = None
    _link_plan_digest: int = 0
    _next_heartbeat_ms: float = 0
    _next_probe_ms: float = 0

    def __post_init__(self) -> None:
        self.members.merge([self.me])

    @property
    def revision(self) -> int:
        """Return the revision in force, 0 for none."""
        return self.snapshot.revision if self.snapshot else 0

    @property
    def connected(self) -> list[str]:
        """Return the VMs that this node is connected to."""
        return list(self._peers)

    def link_plan(self, now_ms: float) -> topology.LinkPlan:
        """Return the planned connections of this node.

        The plan is kept until the members, the VM list or the set of
        unreachable peers changes.
        """
        for vm, until_ms in list(self._unreachable_until_ms.items()):
            if now_ms >= until_ms or vm in self._peers:
                del self._unreachable_until_ms[vm]
                self._link_plan = None
        if (
            self._link_plan is None
            or self._link_plan_digest != self.members.digest
        ):
            self._link_plan_digest = self.members.digest
            self._link_plan = self._build_link_plan()
        return self._link_plan

    def _build_link_plan(self) -> topology.LinkPlan:
        candidates: dict[str, topology.Peer] = {}
        for listed in self._listed_vms.values():
            if not listed.leaving:
                candidates[listed.vm] = topology.Peer(
                    listed.vm, listed.region, listed.failure_domain
                )
        for member in self.members.all():
            candidates.pop(member.vm, None)
            if member.state != DOWN:
                candidates[member.vm] = _to_topology_peer(member)
        for vm in self._unreachable_until_ms:
            candidates.pop(vm, None)
        return topology.plan_links(
            _to_topology_peer(self.me), candidates.values()
        )

    def address_of(self, vm: str) -> str | None:
        """Return the peer address of a VM, or ``None`` if it is unknown."""
        member = self.members.get(vm)
        if member is not None:
            return member.peer
        listed = self._listed_vms.get(vm)
        return listed.peer if listed else None

    def region_tree_order(self, region: str) -> list[str]:
        """Return the running nodes of a region in the order of its tree.

        The tree determines which nodes connect to each other; the first
        nodes are the relays of the region.
        """
        peers = [
            _to_topology_peer(m)
            for m in self.members.running()
            if m.region == region
        ]
        return topology.order_region(peers, region)

    def nodes_to_probe(self, now_ms: float) -> list[str]:
        """Return the nodes to probe: believed down, but on the VM list.

        Such a node may have been suspected wrongly. The result is empty
        unless the probe interval has passed.
        """
        if now_ms < self._next_probe_ms:
            return []
        self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
        return [
            member.vm
            for member in self.members.all()
            if member.state == DOWN
            and member.vm != self.me.vm
            and member.vm not in self._peers
            and member.vm in self._listed_vms
        ]

    def on_vm_list(self, listed: tuple[ListedVM, ...]) -> None:
        """Use the platform's list of VMs as a hint for connections.

        The list lags, so it adds candidates that are not members yet and
        never overrides a member record.
        """
        held = {item.vm: item for item in listed}
        if held != self._listed_vms:
            self._listed_vms = held
            self._link_plan = None

    def on_connected(self, vm: str, now_ms: float) -> list[Effect]:
        """Register a newly connected peer and start to synchronise with it."""
        self._peers[vm] = _PeerState(now_ms)
        self._lost_peers_last_heard_ms.pop(vm, None)
        self._unreachable_until_ms.pop(vm, None)
        return [Send(vm, self._heartbeat()), Send(vm, self._region_digests())]

    def on_disconnected(
        self, vm: str, now_ms: float, *, planned: bool
    ) -> list[Effect]:
        """Handle the end of the last connection to a peer.

        Unless the end was planned, the peer is declared down when it has
        not been heard for the suspect timeout and has not reconnected.
        """
        peer = self._peers.pop(vm, None)
        if peer is not None and not planned:
            self._lost_peers_last_heard_ms[vm] = peer.last_heard_ms
        return []

    def on_unreachable(self, vm: str, now_ms: float) -> list[Effect]:
        """Leave a peer out of the plan for a while after a failed dial."""
        self._unreachable_until_ms[vm] = now_ms + UNREACHABLE_BACKOFF_MS
        self._link_plan = None
        return []

    def on_tick(self, now_ms: float) -> list[Effect]:
        """Send due heartbeats and queued records; suspect silent peers."""
        effects: list[Effect] = []
        for vm, peer in list(self._peers.items()):
            if now_ms - peer.last_heard_ms > SUSPECT_TIMEOUT_MS:
                del self._peers[vm]
                self._lost_peers_last_heard_ms[vm] = peer.last_heard_ms
        for vm, heard_ms in list(self._lost_peers_last_heard_ms.items()):
            if now_ms - heard_ms > SUSPECT_TIMEOUT_MS:
                del self._lost_peers_last_heard_ms[vm]
                self._record_queue.add(self.members.mark_down(vm), None)
        effects += self._send_records()
        if now_ms >= self._next_heartbeat_ms:
            self._next_heartbeat_ms = now_ms + HEARTBEAT_INTERVAL_MS
            heartbeat = self._heartbeat()
            effects += [Send(vm, heartbeat) for vm in self._peers]
        return effects

    def on_message_part(self, vm: str, now_ms: float) -> None:
        """Handle that a long message of a connected peer is arriving."""
        if vm in self._peers:
            self._peers[vm].last_heard_ms = now_ms

    def on_message(
        self, vm: str, message: Message, now_ms: float
    ) -> list[Effect]:
        """Handle a message of a connected peer.

        A peer that was dropped for its silence counts as connected again.
        """
        peer = self._peers.get(vm)
        if peer is None:
            peer = self._peers[vm] = _PeerState(now_ms)
        peer.last_heard_ms = now_ms
        match message:
            case Heartbeat():
                return self._on_heartbeat(vm, peer, message, now_ms)
            case MemberRecords():
                return self._on_records(vm, message)
            case RegionDigests():
                return self._on_region_digests(vm, message)
            case RevisionRequest():
                return self._on_revision_request(vm, message)
            case ChangeSet():
                return self._on_change_set(vm, peer, message)
            case BodyRequest():
                return self._on_body_request(vm, message)
            case Bodies():
                return self._on_bodies(message.bodies)
            case Goodbye():
                return self.on_disconnected(vm, now_ms, planned=True)
        return []

    def on_store_head(self, head: Head) -> list[Effect]:
        """Start to assemble a revision whose head was read from the store."""
        if not self._needs_revision(head.revision):
            return []
        self._assembly = RevisionAssembly.from_head(head, self.snapshot)
        if self._assembly.missing:
            return [FetchBodies(tuple(self._assembly.missing))]
        return self._install_if_complete()

    def on_store_bodies(self, bodies: dict[str, bytes]) -> list[Effect]:
        """Add bodies that were read from the store to the assembly."""
        return self._on_bodies(bodies)

    def on_snapshot_installed(self, snapshot: Snapshot) -> list[Effect]:
        """Put a validated snapshot in force and gossip the change.

        A snapshot that is not newer than the one in force is ignored.
        """
        if snapshot.revision <= self.revision:
            return []
        change = self._change_log.append(self.snapshot, snapshot)
        base_revision = self.revision
        self.snapshot = snapshot
        if self._assembly and self._assembly.revision <= snapshot.revision:
            self._assembly = None
        effects: list[Effect] = []
        for vm, peer in self._peers.items():
            # Relays of other regions watch the store and mostly have the
            # revision already, so they get only a heartbeat with its number.
            may_send_change_set = (
                self._in_own_region(vm) and peer.revision == base_revision
            )
            if may_send_change_set and change is not None:
                effects.append(Send(vm, change))
            elif peer.revision < snapshot.revision:
                effects.append(Send(vm, self._heartbeat()))
        return effects

    def peers_hold_revision(self) -> bool:
        """Return whether a connected peer holds a revision."""
        return any(peer.revision for peer in self._peers.values())

    def on_revision_rejected(self, revision: int) -> list[Effect]:
        """Discard a revision that failed validation.

        It is not requested again, and neither is an earlier one.
        """
        self._rejected_revision = max(self._rejected_revision, revision)
        self._assembly = None
        return []

    def declare_leaving(self, heir: str) -> list[Effect]:
        """Declare that this node shuts down gracefully.

        Parameters
        ----------
        heir
            VM that took over the outcomes of this node's requests; empty if
            none has yet.
        """
        return self._publish_own_record(
            replace(self.me, state=LEAVING, heir=heir)
        )

    def declare_down(self) -> list[Effect]:
        """Declare this node down."""
        return self._publish_own_record(replace(self.me, state=DOWN))

    def _in_own_region(self, vm: str) -> bool:
        member = self.members.get(vm)
        return member is None or member.region == self.me.region

    def _publish_own_record(self, record: Member) -> list[Effect]:
        self.me = replace(record, version=self.me.version + 1)
        self._record_queue.add(self.members.merge([self.me]), None)
        return self._send_records()

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            revision=self.revision, members_digest=self.members.digest
        )

    def _region_digests(self) -> RegionDigests:
        return RegionDigests(
            digests=tuple(
                RegionDigest(region=region, digest=digest)
                for region, digest in self.members.region_digests().items()
            )
        )

    def _send_records(self) -> list[Effect]:
        return [
            Send(vm, MemberRecords(members=records))
            for vm, records in self._record_queue.take_for(self._peers).items()
        ]

    def _on_heartbeat(
        self, vm: str, peer: _PeerState, message: Heartbeat, now_ms: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        peer.revision = message.revision
        if (
            self._needs_revision(message.revision)
            and now_ms - peer.revision_requested_ms
            >= REVISION_REQUEST_INTERVAL_MS
        ):
            peer.revision_requested_ms = now_ms
            request = RevisionRequest(held_revision=self.revision)
            effects.append(Send(vm, request))
        if message.members_digest == self.members.digest:
            peer.digest_mismatches = 0
            return effects
        peer.digest_mismatches += 1
        if peer.digest_mismatches > 1:
            peer.digest_mismatches = 0
            effects.append(Send(vm, self._region_digests()))
        return effects

    def _on_records(self, vm: str, message: MemberRecords) -> list[Effect]:
        self._record_queue.add(self.members.merge(message.members), vm)
        held = self.members.get(self.me.vm)
        if held is not None and held.order > self.me.order:
            return self._refute(held)
        return []

    def _refute(self, held: Member) -> list[Effect]:
        """Override a record of this node that this node did not issue.

        Either a peer has declared the node down, or the record is of
        another incarnation of the VM, which a higher generation replaces.
        """
        self.me = replace(
            self.me,
            generation=max(self.me.generation, held.generation),
            version=held.version,
        )
        if held.incarnation != self.me.incarnation:
            generation = max(self.me.generation, held.generation + 1)
            self.me = replace(self.me, generation=generation)
        return self._publish_own_record(self.me)

    def _on_region_digests(
        self, vm: str, message: RegionDigests
    ) -> list[Effect]:
        theirs = {item.region: item.digest for item in message.digests}
        differing = {
            region
            for region, digest in self.members.region_digests().items()
            if theirs.get(region) != digest
        }
        records = tuple(m for m in self.members.all() if m.region in differing)
        return [Send(vm, MemberRecords(members=records))] if records else []

    def _on_revision_request(
        self, vm: str, message: RevisionRequest
    ) -> list[Effect]:
        if self.snapshot is None:
            return []
        if message.held_revision >= self.revision:
            return []
        change = self._change_log.since(message.held_revision, self.snapshot)
        return [Send(vm, change)]

    def _on_change_set(
        self, vm: str, peer: _PeerState, message: ChangeSet
    ) -> list[Effect]:
        peer.revision = max(peer.revision, message.revision)
        if not self._needs_revision(message.revision):
            return []
        assembly = RevisionAssembly.from_change_set(
            message, self.snapshot, self._assembly
        )
        if assembly is None:
            request = RevisionRequest(held_revision=self.revision)
            return [Send(vm, request)]
        self._assembly = assembly
        if assembly.missing:
            return [Send(vm, BodyRequest(digests=tuple(assembly.missing)))]
        return self._install_if_complete()

    def _on_body_request(self, vm: str, message: BodyRequest) -> list[Effect]:
        if self.snapshot is None:
            return []
        wanted = set(message.digests)
        return [
            Send(vm, Bodies(bodies={digest: self.snapshot.bodies[name]}))
            for name, digest in self.snapshot.head.digests.items()
            if digest in wanted
        ]

    def _on_bodies(self, bodies: dict[str, bytes]) -> list[Effect]:
        if self._assembly is None:
            return []
        self._assembly.add(bodies)
        return self._install_if_complete()

    def _install_if_complete(self) -> list[Effect]:
        assembly = self._assembly
        if assembly is None or assembly.missing or assembly.install_requested:
            return []
        assembly.install_requested = True
        return [Install(assembly.revision, assembly.bodies())]

    def _needs_revision(self, revision: int) -> bool:
        if revision <= max(self.revision, self._rejected_revision):
            return False
        assembly = self._assembly
        return (
            assembly is None
            or revision > assembly.revision
            or (
                revision == assembly.revision
                and not assembly.install_requested
            )
        )


def _to_topology_peer(member: Member) -> topology.Peer:
    return topology.Peer(member.vm, member.region, member.failure_domain)
