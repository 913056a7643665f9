"""Membership and configuration state of one node, without I/O.

Each method takes an event and the current time, changes the state and returns
the effects (messages, store reads, installations) that the agent carries out.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from gentianbank.control.assembly import Assembly
from gentianbank.control.assembly import ChangeLog
from gentianbank.control.messages import Bodies
from gentianbank.control.messages import BodyRequest
from gentianbank.control.messages import ChangeSet
from gentianbank.control.messages import Goodbye
from gentianbank.control.messages import Heartbeat
from gentianbank.control.messages import Message
from gentianbank.control.messages import Records
from gentianbank.control.messages import RegionDigest
from gentianbank.control.messages import RegionDigests
from gentianbank.control.messages import RevisionRequest
from gentianbank.domain.member import DOWN
from gentianbank.domain.member import LEAVING
from gentianbank.domain.member import Member
from gentianbank.domain.member import MemberTable
from gentianbank.policy import topology

if TYPE_CHECKING:
    from gentianbank.domain.revision import Head
    from gentianbank.domain.revision import Snapshot
    from gentianbank.storage.vm_list import ListedVM

HEARTBEAT_MS = 1_000
SUSPECT_MS = 3_000
REQUEST_MS = 1_000
UNREACHABLE_MS = 3_000
PROBE_MS = 5_000


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a connected peer."""

    vm: str
    message: Message


@dataclass(frozen=True, slots=True)
class FetchBodies:
    """Read configuration bodies from the store."""

    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Install:
    """Validate a complete revision and put it in force."""

    revision: int
    bodies: dict[str, bytes] = field(repr=False)


Effect = Send | FetchBodies | Install


@dataclass(slots=True)
class _PeerView:
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
    requested_ms: float = float('-inf')
    differs: int = 0


@dataclass(frozen=True, slots=True)
class _Unsent:
    """A member record to gossip, and the peer that it came from.

    The source is ``None`` if the record was made on this node.
    """

    record: Member
    source: str | None


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
    _peers: dict[str, _PeerView] = field(default_factory=dict)
    _lost_ms: dict[str, float] = field(default_factory=dict)
    _unreachable_ms: dict[str, float] = field(default_factory=dict)
    _listed: dict[str, ListedVM] = field(default_factory=dict)
    _log: ChangeLog = field(default_factory=ChangeLog)
    _assembly: Assembly | None = None
    _rejected_revision: int = 0
    _unsent: dict[str, _Unsent] = field(default_factory=dict)
    _plan: topology.LinkPlan | None = None
    _plan_digest: int = 0
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

    def plan(self, now_ms: float) -> topology.LinkPlan:
        """Return the planned connections of this node.

        The plan is kept until the members, the VM list or the set of
        unreachable peers changes.
        """
        for vm, until_ms in list(self._unreachable_ms.items()):
            if now_ms >= until_ms or vm in self._peers:
                del self._unreachable_ms[vm]
                self._plan = None
        if self._plan is None or self._plan_digest != self.members.digest:
            self._plan_digest = self.members.digest
            self._plan = self._make_plan()
        return self._plan

    def _make_plan(self) -> topology.LinkPlan:
        candidates: dict[str, topology.Peer] = {}
        for listed in self._listed.values():
            if not listed.leaving:
                candidates[listed.vm] = topology.Peer(
                    listed.vm, listed.region, listed.failure_domain
                )
        for member in self.members.all():
            candidates.pop(member.vm, None)
            if member.state != DOWN:
                candidates[member.vm] = _peer_of(member)
        for vm in self._unreachable_ms:
            candidates.pop(vm, None)
        return topology.plan_links(_peer_of(self.me), candidates.values())

    def address_of(self, vm: str) -> str | None:
        """Return the peer address of a VM, or ``None`` if it is unknown."""
        member = self.members.get(vm)
        if member is not None:
            return member.peer
        listed = self._listed.get(vm)
        return listed.peer if listed else None

    def region_relays(self, region: str) -> list[str]:
        """Return the running nodes of a region in tree order.

        The first ones are the relays of the region.
        """
        peers = [
            _peer_of(m) for m in self.members.running() if m.region == region
        ]
        return topology.order_region(peers, region)

    def probe(self, now_ms: float) -> list[str]:
        """Return the nodes to probe: believed down, but on the VM list.

        Such a node may have been suspected wrongly. The result is empty
        unless the probe interval has passed.
        """
        if now_ms < self._next_probe_ms:
            return []
        self._next_probe_ms = now_ms + PROBE_MS
        return [
            member.vm
            for member in self.members.all()
            if member.state == DOWN
            and member.vm != self.me.vm
            and member.vm not in self._peers
            and member.vm in self._listed
        ]

    def on_vm_list(self, listed: tuple[ListedVM, ...]) -> None:
        """Use the platform's list of VMs as a hint for connections.

        The list lags, so it adds candidates that are not members yet and
        never overrides a member record.
        """
        held = {item.vm: item for item in listed}
        if held != self._listed:
            self._listed = held
            self._plan = None

    def on_connected(self, vm: str, now_ms: float) -> list[Effect]:
        """Register a newly connected peer and start to synchronise with it."""
        self._peers[vm] = _PeerView(now_ms)
        self._lost_ms.pop(vm, None)
        self._unreachable_ms.pop(vm, None)
        return [Send(vm, self._heartbeat()), Send(vm, self._digests())]

    def on_disconnected(
        self, vm: str, now_ms: float, *, planned: bool
    ) -> list[Effect]:
        """Handle the end of the last connection to a peer.

        Unless the end was planned, the peer is declared down when it has
        not been heard for the suspect timeout and has not reconnected.
        """
        view = self._peers.pop(vm, None)
        if view is not None and not planned:
            self._lost_ms[vm] = view.last_heard_ms
        return []

    def on_unreachable(self, vm: str, now_ms: float) -> list[Effect]:
        """Leave a peer out of the plan for a while after a failed dial."""
        self._unreachable_ms[vm] = now_ms + UNREACHABLE_MS
        self._plan = None
        return []

    def on_tick(self, now_ms: float) -> list[Effect]:
        """Send due heartbeats and queued records; suspect silent peers."""
        effects: list[Effect] = []
        for vm, view in list(self._peers.items()):
            if now_ms - view.last_heard_ms > SUSPECT_MS:
                del self._peers[vm]
                self._lost_ms[vm] = view.last_heard_ms
        for vm, heard_ms in list(self._lost_ms.items()):
            if now_ms - heard_ms > SUSPECT_MS:
                del self._lost_ms[vm]
                self._spread(self.members.suspect(vm), None)
        effects += self._send_records()
        if now_ms >= self._next_heartbeat_ms:
            self._next_heartbeat_ms = now_ms + HEARTBEAT_MS
            heartbeat = self._heartbeat()
            effects += [Send(vm, heartbeat) for vm in self._peers]
        return effects

    def on_message(
        self, vm: str, message: Message, now_ms: float
    ) -> list[Effect]:
        """Handle a message of a connected peer.

        A peer that was dropped for its silence counts as connected again.
        """
        view = self._peers.get(vm)
        if view is None:
            view = self._peers[vm] = _PeerView(now_ms)
        view.last_heard_ms = now_ms
        match message:
            case Heartbeat():
                return self._on_heartbeat(vm, view, message, now_ms)
            case Records():
                return self._on_records(vm, message)
            case RegionDigests():
                return self._on_digests(vm, message)
            case RevisionRequest():
                return self._on_revision_request(vm, message)
            case ChangeSet():
                return self._on_change_set(vm, view, message)
            case BodyRequest():
                return self._on_body_request(vm, message)
            case Bodies():
                return self._on_bodies(message.bodies)
            case Goodbye():
                return self.on_disconnected(vm, now_ms, planned=True)
        return []

    def on_store_head(self, head: Head) -> list[Effect]:
        """Start to assemble a revision whose head was read from the store."""
        if not self._is_wanted(head.revision):
            return []
        self._assembly = Assembly.begin(head, self.snapshot)
        if self._assembly.missing:
            return [FetchBodies(tuple(self._assembly.missing))]
        return self._finish_assembly()

    def on_store_bodies(self, bodies: dict[str, bytes]) -> list[Effect]:
        """Add bodies that were read from the store to the assembly."""
        return self._on_bodies(bodies)

    def on_installed(self, snapshot: Snapshot) -> list[Effect]:
        """Put a validated snapshot in force and gossip the change.

        A snapshot that is not newer than the one in force is ignored.
        """
        if snapshot.revision <= self.revision:
            return []
        change = self._log.append(self.snapshot, snapshot)
        base_revision = self.revision
        self.snapshot = snapshot
        if self._assembly and self._assembly.revision <= snapshot.revision:
            self._assembly = None
        effects: list[Effect] = []
        for vm, view in self._peers.items():
            # Relays of other regions watch the store and mostly have the
            # revision already, so they are only told its number.
            near = self._is_near(vm) and view.revision == base_revision
            if near and change is not None:
                effects.append(Send(vm, change))
            elif view.revision < snapshot.revision:
                effects.append(Send(vm, self._heartbeat()))
        return effects

    def peers_hold_revision(self) -> bool:
        """Return whether a connected peer holds a revision."""
        return any(view.revision for view in self._peers.values())

    def on_rejected(self, revision: int) -> list[Effect]:
        """Discard a revision that failed validation.

        It is not requested again, and neither is an earlier one.
        """
        self._rejected_revision = max(self._rejected_revision, revision)
        self._assembly = None
        return []

    def leave(self, heir: str) -> list[Effect]:
        """Declare that this node shuts down gracefully.

        Parameters
        ----------
        heir
            VM that took over the outcomes; empty if none has yet.
        """
        return self._update_me(replace(self.me, state=LEAVING, heir=heir))

    def stop(self) -> list[Effect]:
        """Declare this node down."""
        return self._update_me(replace(self.me, state=DOWN))

    def _is_near(self, vm: str) -> bool:
        member = self.members.get(vm)
        return member is None or member.region == self.me.region

    def _update_me(self, record: Member) -> list[Effect]:
        self.me = replace(record, version=self.me.version + 1)
        self._spread(self.members.merge([self.me]), None)
        return self._send_records()

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            revision=self.revision, members_digest=self.members.digest
        )

    def _digests(self) -> RegionDigests:
        return RegionDigests(
            digests=tuple(
                RegionDigest(region=region, digest=digest)
                for region, digest in self.members.region_digests().items()
            )
        )

    def _spread(self, records: list[Member], source: str | None) -> None:
        """Queue records for gossip at the next tick."""
        for record in records:
            self._unsent[record.vm] = _Unsent(record, source)

    def _send_records(self) -> list[Effect]:
        """Send the queued records to all peers but their sources."""
        unsent, self._unsent = list(self._unsent.values()), {}
        effects: list[Effect] = []
        for vm in self._peers if unsent else ():
            records = tuple(u.record for u in unsent if u.source != vm)
            if records:
                effects.append(Send(vm, Records(members=records)))
        return effects

    def _on_heartbeat(
        self, vm: str, view: _PeerView, message: Heartbeat, now_ms: float
    ) -> list[Effect]:
        effects: list[Effect] = []
        view.revision = message.revision
        if (
            self._is_wanted(message.revision)
            and now_ms - view.requested_ms >= REQUEST_MS
        ):
            view.requested_ms = now_ms
            request = RevisionRequest(held_revision=self.revision)
            effects.append(Send(vm, request))
        if message.members_digest == self.members.digest:
            view.differs = 0
            return effects
        view.differs += 1
        if view.differs > 1:
            view.differs = 0
            effects.append(Send(vm, self._digests()))
        return effects

    def _on_records(self, vm: str, message: Records) -> list[Effect]:
        self._spread(self.members.merge(message.members), vm)
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
        return self._update_me(self.me)

    def _on_digests(self, vm: str, message: RegionDigests) -> list[Effect]:
        theirs = {item.region: item.digest for item in message.digests}
        differing = {
            region
            for region, digest in self.members.region_digests().items()
            if theirs.get(region) != digest
        }
        records = tuple(m for m in self.members.all() if m.region in differing)
        return [Send(vm, Records(members=records))] if records else []

    def _on_revision_request(
        self, vm: str, message: RevisionRequest
    ) -> list[Effect]:
        if self.snapshot is None:
            return []
        if message.held_revision >= self.revision:
            return []
        return [
            Send(vm, change)
            for change in self._log.since(message.held_revision, self.snapshot)
        ]

    def _on_change_set(
        self, vm: str, view: _PeerView, message: ChangeSet
    ) -> list[Effect]:
        view.revision = max(view.revision, message.revision)
        if not self._is_wanted(message.revision):
            return []
        assembly = Assembly.continue_from(
            message, self.snapshot, self._assembly
        )
        if assembly is None:
            request = RevisionRequest(held_revision=self.revision)
            return [Send(vm, request)]
        self._assembly = assembly
        if assembly.missing:
            return [Send(vm, BodyRequest(digests=tuple(assembly.missing)))]
        return self._finish_assembly()

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
        return self._finish_assembly()

    def _finish_assembly(self) -> list[Effect]:
        assembly = self._assembly
        if assembly is None or assembly.missing or assembly.handed_out:
            return []
        assembly.handed_out = True
        return [Install(assembly.revision, assembly.bodies())]

    def _is_wanted(self, revision: int) -> bool:
        if revision <= max(self.revision, self._rejected_revision):
            return False
        assembly = self._assembly
        return (
            assembly is None
            or revision > assembly.revision
            or (revision == assembly.revision and not assembly.handed_out)
        )


def _peer_of(member: Member) -> topology.Peer:
    return topology.Peer(member.vm, member.region, member.failure_domain)
