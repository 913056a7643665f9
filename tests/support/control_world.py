"""The control part of many real nodes over fakes, on a virtual clock."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import itertools
from typing import Any
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.control.agent import ControlAgent
from gentianbank.control.loans import Borrower
from gentianbank.control.loans import RegionBudgetLender
from gentianbank.control.messages import encode_message
from gentianbank.control.messages import Goodbye
from gentianbank.control.messages import LoanReply
from gentianbank.control.messages import LoanRequest
from gentianbank.control.messages import Message
from gentianbank.control.messages import RequestOrReply
from gentianbank.control.peers import Connected
from gentianbank.control.peers import Disconnected
from gentianbank.control.peers import PeerConnections
from gentianbank.control.peers import PeerUnreachable
from gentianbank.control.peers import Received
from gentianbank.control.peers import Unreachable
from gentianbank.control.state import ControlState
from gentianbank.dataplane.budgets import BudgetBook
from gentianbank.domain import revision as revisions
from gentianbank.domain import schema
from gentianbank.domain.configuration import Configuration
from gentianbank.domain.configuration import read_configuration
from gentianbank.domain.errors import StoreUnavailable
from gentianbank.domain.member import Member
from gentianbank.domain.member import READY
from gentianbank.storage.revisions import Change
from gentianbank.storage.revisions import RevisionStore
from gentianbank.storage.vm_list import ListedVM
from gentianbank.storage.vm_list import VMList
from tests.support.fakes import FakeStore
from tests.support.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from gentianbank.domain.revision import Snapshot

LINK_S = 0.012
DIAL_TIMEOUT_S = 2.0


@dataclass
class FakeVMList(VMList):
    """A list that lags by a while."""

    lag_s: float = 0.0
    outage: bool = False
    history: list[tuple[float, tuple[ListedVM, ...]]] = field(
        default_factory=list
    )

    async def read(self) -> Result[tuple[ListedVM, ...], StoreUnavailable]:
        if self.outage:
            await asyncio.sleep(1)
            return Error(StoreUnavailable('outage'))
        horizon = asyncio.get_running_loop().time() - self.lag_s
        known = self.history[0][1]
        for set_at, vms in self.history:
            known = vms if set_at <= horizon else known
        return Ok(known)


@dataclass(eq=False)
class ControlNode:
    """One node's control part."""

    state: ControlState
    agent: ControlAgent
    keeper: RegionBudgetLender
    borrower: Borrower
    budgets: BudgetBook
    peers: HubPeers
    store: FakeStore
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    applied: list[tuple[float, int]] = field(default_factory=list)
    dead: bool = False
    frozen: bool = False
    outbox: list[Callable[[], None]] = field(default_factory=list)


class ControlWorld:
    """Nodes by region, with the faults between them.

    Parameters
    ----------
    sizes
        Number of nodes of each region.
    link_s
        One-way delay of every message.
    """

    def __init__(self, sizes: dict[str, int], link_s: float = LINK_S) -> None:
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.link_s = link_s
        self.store = FakeStore()
        self._outages: set[str] = set()
        self._slow_s = 0.0
        self.vm_list = FakeVMList()
        self.revisions = RevisionStore(self.store, 'test')
        self.nodes: dict[str, ControlNode] = {}
        self.cut: Callable[[ControlNode, ControlNode], bool] = _never
        self.fired: Counter[str] = Counter()
        self.sent_messages: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.bytes_by_node: Counter[str] = Counter()
        self.count_bytes = False
        self._generations = itertools.count(1)
        self._sizes = sizes
        self.vm_list.history = [(0.0, self._listed())]

    def close(self) -> None:
        """End the loop."""
        self.loop.end()

    def advance(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def now_s(self) -> float:
        """Return the virtual time in seconds."""
        return self.loop.time()

    def start_all(self) -> None:
        """Start every node of the list."""
        for listed in self._listed():
            self.start(listed)

    def start(self, listed: ListedVM) -> ControlNode:
        """Start a node, with a new incarnation."""
        generation = next(self._generations)
        member = Member(
            vm=listed.vm,
            region=listed.region,
            failure_domain=listed.failure_domain,
            http='10.0.0.1:1',
            peer='10.0.0.1:2',
            incarnation=f'{generation:016x}',
            generation=generation,
            version=0,
            state=READY,
        )
        node = self._build(member)
        self.nodes[listed.vm] = node
        for part in (node.agent, node.keeper, node.borrower):
            node.tasks.append(self.loop.create_task(part.run()))
        return node

    def restart(self, vm: str) -> ControlNode:
        """Start a node that was killed anew."""
        return self.start(next(v for v in self._listed() if v.vm == vm))

    def kill(self, vm: str) -> None:
        """Kill a node; its connections break."""
        node = self.nodes[vm]
        node.dead = True
        for task in (*node.tasks, *node.agent._tasks):
            task.cancel()
        for peer in list(node.peers.connected):
            node.peers.drop(peer)
        self.fired['kill'] += 1

    def cut_region(self, region: str) -> None:
        """Part a region from the others; none for an empty name."""

        def is_cut(one: ControlNode, other: ControlNode) -> bool:
            regions = (one.state.me.region, other.state.me.region)
            return region in regions and regions[0] != regions[1]

        self.cut = is_cut
        self.fired['region cut'] += bool(region)

    def suspect(self, vm: str) -> None:
        """Have the others declare a node down at once."""
        for node in self.nodes.values():
            if node.state.me.vm != vm:
                node.state.members.mark_down(vm)

    def freeze(self, vm: str, seconds: float) -> None:
        """Let what a node sends and receives wait for a while.

        Its timers go on and find it still frozen; the effect on others is
        that of a stopped process, and on itself that of late input.
        """
        self.nodes[vm].frozen = True
        self.fired['freeze'] += 1
        self.loop.call_later(seconds, self._thaw, vm)

    def set_store(self, outages: set[str], slow_s: float) -> None:
        """Set the regions without the store, and its slowness."""
        self._outages, self._slow_s = outages, slow_s
        for node in self.nodes.values():
            node.store.outage = node.state.me.region in outages
            node.store.slow_s = slow_s

    def store_calls(self) -> Counter[str]:
        """Return the calls of the nodes to the store."""
        calls: Counter[str] = Counter()
        for node in self.nodes.values():
            calls += node.store.calls
        return calls

    def all_fired(self) -> Counter[str]:
        """Return the faults that have occurred."""
        fired = self.fired + self.store.fired
        for node in self.nodes.values():
            fired += node.store.fired
        return fired

    def accept(self, configuration: Configuration) -> asyncio.Task[Any]:
        """Have the store accept a configuration, as an operator does."""
        return self.loop.create_task(self._accept(configuration))

    def revisions_in_force(self) -> dict[str, int]:
        """Return the revision of each running node."""
        return {
            vm: node.state.revision
            for vm, node in self.nodes.items()
            if not node.dead
        }

    def deliver(
        self, sender: ControlNode, receiver: ControlNode, event: Any
    ) -> None:
        """Put an event into a node's inbox after the delay of the link."""

        def arrive() -> None:
            if receiver.dead or sender.dead:
                return
            if self.cut(sender, receiver):
                self.fired['cut link'] += 1
                return
            if receiver.frozen:
                receiver.outbox.append(arrive)
            else:
                receiver.agent.on_peer_event(event)

        def depart() -> None:
            self.loop.call_later(self.link_s, arrive)

        if sender.frozen:
            sender.outbox.append(depart)
        else:
            depart()

    async def _accept(self, configuration: Configuration) -> Any:
        stored = await self.revisions.read_head()
        if stored.is_error():
            return stored
        base = stored.ok.head.revision
        bodies = revisions.encode_bodies(configuration)
        change = Change(
            change_id=f'change-{next(self._generations)}',
            base_revision=base,
            author='test',
            summary='test',
            time_ms=0,
            bodies=bodies,
        )
        return await self.revisions.accept(change)

    def _thaw(self, vm: str) -> None:
        node = self.nodes[vm]
        node.frozen = False
        waiting, node.outbox = node.outbox, []
        for action in waiting:
            action()

    def _listed(self) -> tuple[ListedVM, ...]:
        return tuple(
            ListedVM(
                vm=f'{region}-{number}',
                region=region,
                failure_domain=f'{region}-{"ab"[number % 2]}',
                peer='10.0.0.1:2',
                leaving=False,
            )
            for region, size in self._sizes.items()
            for number in range(size)
        )

    def _build(self, member: Member) -> ControlNode:
        clock = self.loop.now_ms
        state = ControlState(member)
        store = self.store.seen_from_elsewhere()
        node: ControlNode

        async def wait_running() -> None:
            while node.frozen:
                await asyncio.sleep(0.05)

        store.wait_running = wait_running
        store.outage = member.region in self._outages
        store.slow_s = self._slow_s

        def on_snapshot(snapshot: Snapshot) -> None:
            node.applied.append((self.loop.time(), snapshot.revision))
            node.keeper.update(snapshot.configuration)
            node.budgets.update(snapshot.configuration)

        agent = ControlAgent(
            state,
            RevisionStore(store, 'test'),
            self.vm_list,
            (),
            on_snapshot,
            clock,
        )
        keeper = RegionBudgetLender(state, store, 'test', clock)
        budgets = BudgetBook(member.region, clock)
        borrower = Borrower(
            state,
            keeper,
            budgets.demands,
            budgets.accept_loan,
            budgets.loan_needed,
            clock,
        )
        peers = HubPeers(self, member.vm)
        agent.set_peers(peers)
        borrower.set_peers(peers)
        node = ControlNode(
            state, agent, keeper, borrower, budgets, peers, store
        )
        return node


class HubPeers(PeerConnections):
    """Connections of one node through the world."""

    def __init__(self, world: ControlWorld, vm: str) -> None:
        self._world = world
        self._vm = vm
        self.connected: set[str] = set()
        self._dialling: set[str] = set()
        self.receiving: frozenset[str] = frozenset()

    def receiving_from(self) -> frozenset[str]:
        return self.receiving

    def dial(self, vm: str, address: str) -> None:
        if vm in self.connected or vm in self._dialling:
            return
        self._dialling.add(vm)
        delay_s = 3 * self._world.link_s
        self._world.loop.call_later(delay_s, self._meet, vm)

    def disconnect(self, vm: str) -> None:
        self.send(vm, Goodbye())

    def send(self, vm: str, message: Message) -> None:
        other = self._world.nodes.get(vm)
        if vm not in self.connected or other is None:
            return
        me = self._world.nodes[self._vm]
        kind = type(message).__name__
        self._world.sent_messages[kind] += 1
        if self._world.count_bytes:
            size = len(encode_message(message))
            self._world.sent_bytes[kind] += size
            self._world.bytes_by_node[self._vm] += size
        self._world.deliver(me, other, Received(self._vm, message))

    def send_to_each(self, vms: Iterable[str], message: Message) -> None:
        for vm in vms:
            self.send(vm, message)

    def drop(self, vm: str) -> None:
        """Break the connection to a peer."""
        other = self._world.nodes[vm]
        for peers, name in ((self, vm), (other.peers, self._vm)):
            peers.connected.discard(name)
        if not other.dead:
            other.agent.on_peer_event(Disconnected(self._vm))

    async def request(
        self, vm: str, address: str, message: RequestOrReply, timeout_ms: float
    ) -> Result[RequestOrReply, PeerUnreachable]:
        me, other = self._world.nodes[self._vm], self._world.nodes[vm]
        self._world.sent_messages[type(message).__name__] += 1
        await self._wait_running(me)
        await asyncio.sleep(self._world.link_s)
        if other.dead or self._world.cut(me, other):
            await asyncio.sleep(timeout_ms / 1_000)
            return Error(PeerUnreachable(vm, 'cut'))
        await self._wait_running(other)
        assert isinstance(message, LoanRequest)
        borrower = me.state.me.incarnation
        amount = other.keeper.lend(borrower, message.budget, message.wanted)
        await asyncio.sleep(self._world.link_s)
        await self._wait_running(me)
        return Ok(LoanReply(request_id=1, amount=float(amount)))

    async def _wait_running(self, node: ControlNode) -> None:
        while node.frozen:
            await asyncio.sleep(0.05)

    def _meet(self, vm: str) -> None:
        self._dialling.discard(vm)
        me = self._world.nodes[self._vm]
        other = self._world.nodes.get(vm)
        if me.dead or me.peers is not self:
            return
        if other is None or other.dead or self._world.cut(me, other):
            me.agent.on_peer_event(Unreachable(vm))
            return
        if other.frozen:
            self._world.loop.call_later(DIAL_TIMEOUT_S, self._give_up, vm)
            return
        self.connected.add(vm)
        other.peers.connected.add(self._vm)
        me.agent.on_peer_event(Connected(vm))
        other.agent.on_peer_event(Connected(self._vm))

    def _give_up(self, vm: str) -> None:
        me = self._world.nodes[self._vm]
        if not me.dead:
            me.agent.on_peer_event(Unreachable(vm))


def build_fleet_configuration(
    sizes: dict[str, int],
    cap_mbit_per_s: int = 4000,
    max_in_flight: int = 100,
    cache_ms: int = 2000,
) -> Configuration:
    """Return a configuration of a fleet's regions and the links between."""
    regions = list(sizes)
    document = {
        'lookups': {'cache_ms': cache_ms},
        'regions': {
            region: {
                'failure_domains': [f'{region}-a', f'{region}-b'],
                'declared_nodes': size,
                'max_in_flight': max_in_flight,
            }
            for region, size in sizes.items()
        },
        'links': [
            {
                'source': source,
                'destination': destination,
                'cap_mbit_per_s': cap_mbit_per_s,
                'one_way_delay_ms': 12.0,
            }
            for source, destination in itertools.permutations(regions, 2)
        ],
    }
    return read_configuration(document, 'test').ok


def change_cache(configuration: Configuration, cache_ms: int) -> Configuration:
    """Return a configuration that differs in one value."""
    document = schema.dump(configuration)
    document['lookups'] = {'cache_ms': cache_ms}
    return read_configuration(document, 'test').ok


def _never(_one: ControlNode, _other: ControlNode) -> bool:
    return False
