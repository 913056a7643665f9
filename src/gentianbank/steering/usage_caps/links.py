"""Connections of a node to the owners of usage caps."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gentianbank.control.peers import Connected
from gentianbank.control.peers import Disconnected

if TYPE_CHECKING:
    from gentianbank.control.messages import Message
    from gentianbank.control.peers import PeerConnections
    from gentianbank.control.peers import PeerEvent
    from gentianbank.steering.cluster_view import ClusterView

DIAL_PERIOD_MS = 500.0


@dataclass(slots=True)
class OwnerLinks:
    """Sends messages to other nodes and opens missing connections.

    A node serves before its mesh starts; until then nobody is connected.
    """

    cluster_view: ClusterView
    peers: PeerConnections | None = None
    connected: set[str] = field(default_factory=set)
    _dialled_ms: dict[str, float] = field(default_factory=dict)

    def on_event(self, event: PeerEvent) -> None:
        """Note which peers are connected."""
        match event:
            case Connected(vm):
                self.connected.add(vm)
                self._dialled_ms.pop(vm, None)
            case Disconnected(vm):
                self.connected.discard(vm)

    def send(self, vm: str, message: Message, now_ms: float) -> None:
        """Send a message; without a connection, open one instead."""
        if self.peers is None:
            return
        if vm in self.connected:
            self.peers.send(vm, message)
            return
        node = self.cluster_view.nodes.get(vm)
        last_ms = self._dialled_ms.get(vm, float('-inf'))
        if node is None or now_ms - last_ms < DIAL_PERIOD_MS:
            return
        for name in self._dialled_ms.keys() - self.cluster_view.nodes.keys():
            del self._dialled_ms[name]
        self._dialled_ms[vm] = now_ms
        self.peers.dial(vm, node.peers)
