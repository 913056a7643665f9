"""Gossip between nodes: loads of targets, and which nodes are alive."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from absl import logging

from gentianbank.control.peers import Connected
from gentianbank.control.peers import Disconnected
from gentianbank.control.peers import Received
from gentianbank.domain.steering_settings import DEFAULT_MESSAGES_PER_S
from gentianbank.policy import rendezvous
from gentianbank.policy.gossip_schedule import GossipSchedule
from gentianbank.policy.gossip_schedule import HEARTBEAT_MS
from gentianbank.policy.gossip_schedule import REMOTE_REGION_TICKS
from gentianbank.policy.target_load import MAX_UNSENT_OBJECTS
from gentianbank.steering.fair_shares.demand_update import DemandUpdate
from gentianbank.steering.load_update import build_row
from gentianbank.steering.load_update import decode_rows
from gentianbank.steering.load_update import encode_rows
from gentianbank.steering.load_update import LoadUpdate
from gentianbank.steering.load_update import SLOWDOWN_STEP
from gentianbank.steering.load_update import TargetRow

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

    from gentianbank.control.peers import PeerConnections
    from gentianbank.control.peers import PeerEvent
    from gentianbank.domain.registration import NodeRegistration
    from gentianbank.policy.target_limit import LimitNews
    from gentianbank.policy.target_load import TargetLoad
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.steering.fair_shares.demand_gossip import DemandGossip
    from gentianbank.steering.store_following.catch_up import StoreCatchUp

# Connections that one node opens. In a larger fleet the loads of all nodes
# are estimated from those of the connected ones.
MAX_PEERS = 40
DIAL_PERIOD_MS = 1_000.0
_MS_PER_S = 1_000


class LoadGossip:
    """Keeps this node connected to others and exchanges loads with them.

    Parameters
    ----------
    peers
        Connections to other nodes.
    store_catch_up
        Handles all other messages.
    demand_gossip
        Sends and handles ``DemandUpdate``.
    clock
        Returns the monotonic time in milliseconds.
    required_peers
        Returns the nodes to which this node must be connected.
    on_tick
        Called with each tick.
    messages_per_s
        Limit on the messages to all peers together.
    """

    def __init__(
        self,
        *,
        vm: str,
        region: str,
        cluster_view: ClusterView,
        peers: PeerConnections,
        store_catch_up: StoreCatchUp,
        demand_gossip: DemandGossip,
        clock: Callable[[], float],
        required_peers: Callable[[], Collection[str]] = frozenset,
        on_tick: Callable[[], None] = lambda: None,
        messages_per_s: float = DEFAULT_MESSAGES_PER_S,
    ) -> None:
        self._on_tick = on_tick
        self._messages_per_s = messages_per_s
        self._vm = vm
        self._required_peers = required_peers
        self._region = region
        self._store_catch_up = store_catch_up
        self._demand_gossip = demand_gossip
        self._cluster_view = cluster_view
        self._peer_loads = cluster_view.peer_loads
        self._peers = peers
        self._clock = clock
        self._connected: set[str] = set()
        self._last_dial_ms = float('-inf')
        self._last_sent_ms = float('-inf')
        self._ticks = 0
        self._pending_remote_rows: dict[str, TargetRow] = {}

    async def run(self) -> None:
        """Exchange loads until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(self.schedule.tick_ms / _MS_PER_S)

    @property
    def schedule(self) -> GossipSchedule:
        """Return the schedule for the peers that are connected now."""
        near, far = self._peers_by_distance()
        return GossipSchedule(len(near), len(far), self._messages_per_s)

    def tick(self) -> None:
        """Open missing connections and send messages, as far as due."""
        now_ms = self._clock()
        if now_ms - self._last_dial_ms >= DIAL_PERIOD_MS:
            self._last_dial_ms = now_ms
            self._keep_connections(now_ms)
        self._send_changes(now_ms)
        self._store_catch_up.tick(self._connected)
        self._on_tick()
        self._demand_gossip.tick(self._connected)

    def on_event(self, event: PeerEvent) -> None:
        """Handle an event of a connection.

        A new peer gets the loads of all targets with requests in flight,
        every limit that a target names, and which targets have started
        again.
        """
        match event:
            case Connected(vm):
                self._connected.add(vm)
                self._cluster_view.disconnected_peers.discard(vm)
                now_ms = self._clock()
                self._peer_loads.on_heartbeat(vm, now_ms)
                rows = self._rows_for_new_peer()
                self._peers.send(vm, encode_rows(rows, now_ms))
                logging.info('peer connected', extra={'peer': vm})
            case Disconnected(vm):
                self._connected.discard(vm)
                self._cluster_view.disconnected_peers.add(vm)
                self._peer_loads.remove_node(vm)
                self._demand_gossip.on_disconnected(vm)
                logging.info('peer lost', extra={'peer': vm})
            case Received(vm, LoadUpdate() as update):
                self._apply_update(vm, update)
            case Received(vm, DemandUpdate() as update):
                self._demand_gossip.on_update(vm, update)
            case Received(vm, message):
                self._store_catch_up.on_message(vm, message)

    def _keep_connections(self, now_ms: float) -> None:
        nodes = self._cluster_view.nodes
        self._peer_loads.peers = len(nodes.keys() - {self._vm})
        self._cluster_view.disconnected_peers &= nodes.keys()
        for vm in self._silent_peers(now_ms):
            logging.warning('peer is silent', extra={'peer': vm})
            self._peer_loads.remove_node(vm)
            self._peers.disconnect(vm)
        required = self._required_peers()
        for node in choose_peers(self._vm, nodes.values(), required):
            if node.vm not in self._connected:
                self._peers.dial(node.vm, node.peers)

    def _silent_peers(self, now_ms: float) -> list[str]:
        near, far = self._peers_by_distance()
        schedule = self.schedule
        receiving = self._peers.receiving_from()
        silent = [
            *self._peer_loads.silent_nodes(
                near, now_ms, schedule.near_silence_ms
            ),
            *self._peer_loads.silent_nodes(
                far, now_ms, schedule.far_silence_ms
            ),
        ]
        return [vm for vm in silent if vm not in receiving]

    def _send_changes(self, now_ms: float) -> None:
        self._ticks += 1
        changed = self._pop_changed_rows()
        near, far = self._peers_by_distance()
        if far:
            self._queue_for_remote(changed)
        heartbeat_due = now_ms - self._last_sent_ms >= HEARTBEAT_MS
        if changed or heartbeat_due:
            self._last_sent_ms = now_ms
            self._peers.send_to_each(near, encode_rows(changed, now_ms))
        if not far or self._ticks % REMOTE_REGION_TICKS:
            return
        rows = list(self._pending_remote_rows.values())
        self._pending_remote_rows.clear()
        self._peers.send_to_each(far, encode_rows(rows, now_ms))

    def _peers_by_distance(self) -> tuple[list[str], list[str]]:
        """Return the connected peers of this region, and all others."""
        nodes = self._cluster_view.nodes
        near: list[str] = []
        far: list[str] = []
        for vm in self._connected:
            node = nodes.get(vm)
            is_near = node is not None and node.region == self._region
            (near if is_near else far).append(vm)
        return near, far

    def _queue_for_remote(self, changed: list[TargetRow]) -> None:
        """Merge changes into the next message to other regions."""
        for row in changed:
            pending = self._pending_remote_rows.get(row.target_id)
            objects = (pending.objects if pending else ()) + row.objects
            steps = row.slowdown_steps
            if pending is not None and not steps:
                steps = pending.slowdown_steps
            self._pending_remote_rows[row.target_id] = TargetRow(
                row.target_id,
                row.in_flight,
                steps,
                objects[-MAX_UNSENT_OBJECTS:],
                row.limit or (pending.limit if pending else None),
                row.cold_until_ms
                or (pending.cold_until_ms if pending else None),
                row.pace or (pending.pace if pending else None),
            )

    def _pop_changed_rows(self) -> list[TargetRow]:
        target_ids = self._cluster_view.changed_loads
        targets = self._cluster_view.targets
        # For a target that was removed this sends a load of 0, since it may
        # register again under the same id.
        rows = [
            build_row(targets.get(target_id), target_id)
            for target_id in target_ids
        ]
        target_ids.clear()
        return rows

    def _rows_for_new_peer(self) -> list[TargetRow]:
        rows = []
        now_ms = self._clock()
        for target_id, target in self._cluster_view.targets.items():
            is_cold = now_ms < target.restart_cold_until_ms
            if not (target.in_flight or target.limit.is_named or is_cold):
                continue
            row = build_row(target, target_id)
            if target.limit.is_named:
                row = replace(row, limit=target.limit.news)
            if is_cold:
                row = replace(row, cold_until_ms=target.restart_cold_until_ms)
            rows.append(row)
        return rows

    def _apply_update(self, vm: str, update: LoadUpdate) -> None:
        now_ms = self._clock()
        self._peer_loads.on_heartbeat(vm, now_ms)
        for row in decode_rows(update, now_ms):
            self._peer_loads.set_in_flight(vm, row.target_id, row.in_flight)
            target = self._cluster_view.targets.get(row.target_id)
            if target is None:
                continue
            if row.slowdown_steps:
                target.on_slowdown(row.slowdown_steps * SLOWDOWN_STEP, now_ms)
            for object_hash in row.objects:
                target.on_object_sent(object_hash)
            if row.limit is not None:
                self._apply_limit(target, row.limit)
            if row.cold_until_ms is not None:
                target.on_restart(row.cold_until_ms, now_ms)
            if row.pace is not None:
                target.ensure_pace().on_peer_news(row.pace, now_ms)

    def _apply_limit(self, target: TargetLoad, news: LimitNews) -> None:
        changed = target.limit.on_peer_news(news)
        target_id = target.registration.target_id
        if target.limit.has_news:
            self._cluster_view.changed_loads.add(target_id)
        if not changed:
            return
        logging.info(
            'limit of a target told by a peer',
            extra={'target': target_id, 'limit_per_s': news.requests_per_s},
        )


def choose_peers(
    vm: str,
    nodes: Iterable[NodeRegistration],
    required: Collection[str] = (),
) -> list[NodeRegistration]:
    """Return the nodes to which a node opens connections.

    With up to ``MAX_PEERS`` other nodes, the node with the lower name of
    each pair opens the connection. With more, each node opens connections
    to ``MAX_PEERS`` others, chosen by rendezvous hashing, and to those that
    are required.
    """
    others = {node.vm: node for node in nodes if node.vm != vm and node.peers}
    if len(others) <= MAX_PEERS:
        return [node for name, node in others.items() if vm < name]
    chosen = rendezvous.rank_names(others, vm)[:MAX_PEERS]
    added = [name for name in required if name not in chosen]
    return [others[name] for name in chosen + added if name in others]
