"""Event loop of a node's membership and configuration gossip.

One task owns the control state: it applies the events of an inbox to the
state and carries out the effects. Other tasks read the store and the list of
VMs and put the results into the inbox.

A few nodes of each region are its relays. Only they watch the store, and the
other nodes get new revisions from their peers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import random
import time
from typing import Any
from typing import TYPE_CHECKING

from absl import logging
from expression import Result

from gentianbank.control.effects import Effect
from gentianbank.control.effects import FetchBodies
from gentianbank.control.effects import Install
from gentianbank.control.effects import Send
from gentianbank.control.peers import Connected
from gentianbank.control.peers import Disconnected
from gentianbank.control.peers import PeerEvent
from gentianbank.control.peers import Received
from gentianbank.control.peers import Unreachable
from gentianbank.domain import revision as revisions

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from gentianbank.control.peers import PeerConnections
    from gentianbank.control.state import ControlState
    from gentianbank.domain.revision import Head
    from gentianbank.domain.revision import Snapshot
    from gentianbank.storage.revisions import RevisionStore
    from gentianbank.storage.vm_list import ListedVM
    from gentianbank.storage.vm_list import VMList

TICK_INTERVAL_S = 0.25
RELAY_VM_LIST_INTERVAL_S = 2.0
VM_LIST_INTERVAL_S = 30.0
STORE_RETRY_MIN_S = 0.2
STORE_RETRY_MAX_S = 3.0
INITIAL_READ_DELAY_S = 1.0
_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class _StoreHead:
    head: Head


@dataclass(frozen=True, slots=True)
class _StoreBodies:
    bodies: dict[str, bytes]


@dataclass(frozen=True, slots=True)
class _SnapshotInstalled:
    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class _RevisionRejected:
    revision: int


@dataclass(frozen=True, slots=True)
class _VMListRead:
    vms: tuple[ListedVM, ...]


@dataclass(frozen=True, slots=True)
class _Tick:
    pass


@dataclass(frozen=True, slots=True)
class _Leave:
    heir: str


@dataclass(frozen=True, slots=True)
class _Stop:
    pass


_Event = (
    PeerEvent
    | _StoreHead
    | _StoreBodies
    | _SnapshotInstalled
    | _RevisionRejected
    | _VMListRead
    | _Tick
    | _Leave
    | _Stop
)
SnapshotSink = Callable[['Snapshot'], None]


def now_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * _MS_PER_S


class ControlAgent:
    """Runs the membership and configuration gossip of a node.

    Parameters
    ----------
    state
        Control state; only this agent may change it.
    seeds
        Peer addresses that are dialled while no peer is connected.
    on_snapshot
        Called with each snapshot that is put in force.
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        state: ControlState,
        store: RevisionStore,
        vm_list: VMList,
        seeds: tuple[str, ...],
        on_snapshot: SnapshotSink,
        clock: Callable[[], float],
    ) -> None:
        self.state = state
        self._store = store
        self._vm_list = vm_list
        self._seeds = seeds
        self._on_snapshot = on_snapshot
        self._clock = clock
        self._inbox: asyncio.Queue[_Event] = asyncio.Queue()
        self._is_relay = False
        self._relay_changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._peers: PeerConnections

    def set_peers(self, peers: PeerConnections) -> None:
        """Set the connections to peers; must be called before ``run``."""
        self._peers = peers

    def on_peer_event(self, event: PeerEvent) -> None:
        """Queue an event of the connections to peers."""
        self._inbox.put_nowait(event)

    def offer_head(self, head: Head) -> None:
        """Queue the head of a revision that this node wrote to the store.

        The node then need not wait for the store or a peer to report it.
        """
        self._inbox.put_nowait(_StoreHead(head))

    def declare_leaving(self, heir: str) -> None:
        """Declare that this node shuts down gracefully.

        Parameters
        ----------
        heir
            VM that took over the outcomes of this node's requests; empty if
            none has yet.
        """
        self._inbox.put_nowait(_Leave(heir))

    def declare_down(self) -> None:
        """Declare this node down."""
        self._inbox.put_nowait(_Stop())

    async def run(self) -> None:
        """Run until cancelled."""
        for coroutine in (
            self._tick(),
            self._read_vm_list(),
            self._watch_store(),
            self._read_initial_revision(),
        ):
            self._spawn(coroutine)
        try:
            while True:
                self._dispatch_safely(await self._inbox.get())
        finally:
            for task in self._tasks:
                task.cancel()

    def _dispatch_safely(self, event: _Event) -> None:
        """Handle an event; one that cannot be handled costs only itself.

        Raises
        ------
        AssertionError
            If an invariant is broken.
        """
        try:
            self._dispatch(event)
        except AssertionError:
            raise
        except Exception:
            logging.exception('event of kind %s not handled', type(event))

    def _dispatch(self, event: _Event) -> None:
        effects = self._handle(event)
        for effect in effects:
            self._carry_out(effect)

    def _handle(self, event: _Event) -> list[Effect]:
        time_ms = self._clock()
        match event:
            case Received(vm, message):
                return self.state.on_message(vm, message, time_ms)
            case Connected(vm):
                return self.state.on_connected(vm, time_ms)
            case Disconnected(vm):
                return self.state.on_disconnected(vm, time_ms, planned=False)
            case Unreachable(vm):
                return self.state.on_unreachable(vm, time_ms)
            case _StoreHead(head):
                return self.state.on_store_head(head)
            case _StoreBodies(bodies):
                return self.state.on_store_bodies(bodies)
            case _SnapshotInstalled(snapshot):
                return self._put_in_force(snapshot)
            case _RevisionRejected(revision):
                return self.state.on_revision_rejected(revision)
            case _VMListRead(vms):
                self.state.on_vm_list(vms)
            case _Leave(heir):
                return self.state.declare_leaving(heir)
            case _Stop():
                return self.state.declare_down()
            case _Tick():
                self._adjust_connections(time_ms)
                for vm in self._peers.receiving_from():
                    self.state.on_message_part(vm, time_ms)
                return self.state.on_tick(time_ms)
        return []

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Send(vm, message):
                self._peers.send(vm, message)
            case FetchBodies(digests):
                self._spawn(self._fetch_bodies(digests))
            case Install(revision, bodies):
                self._spawn(self._install(revision, bodies))

    def _put_in_force(self, snapshot: Snapshot) -> list[Effect]:
        before = self.state.revision
        effects = self.state.on_snapshot_installed(snapshot)
        if self.state.revision > before:
            logging.info('revision %d in force', snapshot.revision)
            self._on_snapshot(snapshot)
        return effects

    def _adjust_connections(self, time_ms: float) -> None:
        plan = self.state.link_plan(time_ms)
        if plan.is_relay != self._is_relay:
            self._is_relay = plan.is_relay
            self._relay_changed.set()
        for vm in (*plan.dial, *self.state.nodes_to_probe(time_ms)):
            address = self.state.address_of(vm)
            if address is not None:
                self._peers.dial(vm, address)
        if not self.state.connected:
            for address in self._seeds:
                if address != self.state.me.peer:
                    self._peers.dial(f'seed {address}', address)

    async def _tick(self) -> None:
        while True:
            self._inbox.put_nowait(_Tick())
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _read_vm_list(self) -> None:
        """Read the VM list periodically: relays often, others rarely.

        After a failure every node reads again at the interval of relays.
        """
        while True:
            match await self._vm_list.read():
                case Result(tag='ok', ok=vms):
                    self._inbox.put_nowait(_VMListRead(vms))
                    relay_interval_s, other_interval_s = (
                        RELAY_VM_LIST_INTERVAL_S,
                        VM_LIST_INTERVAL_S,
                    )
                case _:
                    relay_interval_s, other_interval_s = (
                        RELAY_VM_LIST_INTERVAL_S,
                        RELAY_VM_LIST_INTERVAL_S,
                    )
            await asyncio.sleep(
                relay_interval_s if self._is_relay else other_interval_s
            )

    async def _read_initial_revision(self) -> None:
        """Read the head from the store until a first revision is in force.

        A node that is no relay gets revisions from its peers. It reads the
        store only while no connected peer holds a revision.
        """
        while True:
            await asyncio.sleep(
                INITIAL_READ_DELAY_S * random.uniform(0.5, 1.5)
            )
            if self.state.revision:
                return
            if self.state.peers_hold_revision():
                continue
            match await self._store.read_head():
                case Result(tag='ok', ok=stored) if stored.head.revision:
                    self._inbox.put_nowait(_StoreHead(stored.head))

    async def _watch_store(self) -> None:
        """Read and watch the head in the store while this is a relay."""
        delay_s = STORE_RETRY_MIN_S
        while True:
            if not self._is_relay:
                self._relay_changed.clear()
                await self._relay_changed.wait()
                continue
            match await self._store.read_head():
                case Result(tag='ok', ok=stored):
                    delay_s = STORE_RETRY_MIN_S
                    if stored.head.revision:
                        self._inbox.put_nowait(_StoreHead(stored.head))
                    await self._watch_head(stored.mod_revision)
                case _:
                    delay_s = min(delay_s * 2, STORE_RETRY_MAX_S)
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))

    async def _watch_head(self, mod_revision: int) -> None:
        """Queue the heads that the store reports until the watch fails.

        If this node is no longer a relay, returns after the next head.
        """
        async for head in self._store.watch(mod_revision):
            self._inbox.put_nowait(_StoreHead(head))
            if not self._is_relay:
                return

    async def _fetch_bodies(self, digests: tuple[str, ...]) -> None:
        for digest in digests:
            match await self._store.read_body(digest):
                case Result(tag='ok', ok=body):
                    self._inbox.put_nowait(_StoreBodies({digest: body}))
                case Result(error=error):
                    logging.warning(
                        'cannot read a configuration body: %s', error
                    )

    async def _install(self, revision: int, bodies: dict[str, bytes]) -> None:
        held = self.state.snapshot
        result = await asyncio.to_thread(
            revisions.decode_snapshot, revision, bodies, held
        )
        match result:
            case Result(tag='ok', ok=snapshot):
                self._inbox.put_nowait(_SnapshotInstalled(snapshot))
            case Result(error=error):
                logging.error('%s', error)
                self._inbox.put_nowait(_RevisionRejected(revision))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
