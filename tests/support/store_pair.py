"""Two nodes over one store, of which one can be turned away."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Result

from gentianbank.control.messages import decode_message
from gentianbank.control.messages import encode_message
from gentianbank.control.messages import MAX_MESSAGE_BYTES
from gentianbank.control.messages import Message
from gentianbank.control.messages import RequestOrReply
from gentianbank.control.peers import PeerConnections
from gentianbank.control.peers import PeerUnreachable
from gentianbank.steering.store_following.catch_up import StoreCatchUp
from tests.support.store_copy import Backup
from tests.support.store_copy import Copy
from tests.support.store_copy import FakeStore

if TYPE_CHECKING:
    from collections.abc import Iterable


class PairPeers(PeerConnections):
    """The connection of one node of a pair to the other."""

    def __init__(self, pair: Pair, to: str) -> None:
        self._pair = pair
        self._to = to

    def dial(self, vm: str, address: str) -> None:
        raise NotImplementedError

    def disconnect(self, vm: str) -> None:
        raise NotImplementedError

    def send(self, vm: str, message: Message) -> None:
        data = encode_message(message)
        if len(data) > MAX_MESSAGE_BYTES:
            # The receiver ends the connection.
            return
        if not self._pair.bytes_per_s:
            self._deliver(data)
            return
        # Messages to one node share the speed of its link.
        loop = self._pair.refused.loop
        start_s = max(loop.time(), self._pair.free_s.get(self._to, 0.0))
        arrival_s = start_s + len(data) / self._pair.bytes_per_s
        self._pair.free_s[self._to] = arrival_s
        loop.call_at(arrival_s, self._deliver, data)

    def receiving_from(self) -> frozenset[str]:
        own = 'refused' if self._to == 'served' else 'served'
        now_s = self._pair.refused.loop.time()
        is_receiving = self._pair.free_s.get(own, 0.0) > now_s
        return frozenset(('other',)) if is_receiving else frozenset()

    def _deliver(self, data: bytes) -> None:
        match decode_message(data):
            case Result(tag='ok', ok=decoded):
                self._pair.sent.append(decoded)
                self._pair.news[self._to].on_message('other', decoded)

    def send_to_each(self, vms: Iterable[str], message: Message) -> None:
        raise NotImplementedError

    async def request(
        self, vm: str, address: str, message: RequestOrReply, timeout_ms: float
    ) -> Result[RequestOrReply, PeerUnreachable]:
        raise NotImplementedError


class Pair:
    """Two nodes, each with a copy of a store of the same content.

    Parameters
    ----------
    era
        What the store states; 0 for nothing.

    Attributes
    ----------
    bytes_per_s
        Speed of the link to each node; 0 for no limit.
    free_s
        Time at which the link to a node has transferred all messages.
    """

    def __init__(self, era: int = 0) -> None:
        self.bytes_per_s = 0.0
        self.free_s: dict[str, float] = {}
        self.sent: list[Message] = []
        self.copies = {'served': Copy(store=_fake_store(era))}
        loop = self.copies['served'].loop
        self.copies['refused'] = Copy(loop, _fake_store(era))
        self._backups: dict[str, Backup] = {}
        self.news = {
            name: StoreCatchUp(
                copy.sync,
                PairPeers(self, 'served' if name == 'refused' else 'refused'),
                loop.now_ms,
            )
            for name, copy in self.copies.items()
        }

    @property
    def served(self) -> Copy:
        """Return the node whose calls the store answers."""
        return self.copies['served']

    @property
    def refused(self) -> Copy:
        """Return the node whose calls the store refuses."""
        return self.copies['refused']

    def refuse_store_calls(self) -> None:
        """Make the store refuse the calls of one node."""
        self.refused.store.set_fault('refuse')
        self.wait(1.0)
        assert not self.refused.sync.is_reachable

    def write(self, key: str, document: object) -> None:
        """Write to both fakes, which represent one store."""
        for copy in self.copies.values():
            copy.store.write(key, document)

    def remove(self, key: str) -> None:
        """Remove a key from both fakes."""
        for copy in self.copies.values():
            copy.store.remove(key)

    def take_backup(self) -> None:
        """Take the copy of the store that ``restore`` brings back."""
        for name, copy in self.copies.items():
            self._backups[name] = Backup(copy.store)

    def restore(self, era: int) -> None:
        """Restore both fakes."""
        for name, copy in self.copies.items():
            backup = self._backups[name]
            copy.store.restore(backup.values, backup.revision, era=era)

    def wait(self, seconds: float) -> None:
        """Advance virtual time, with ticks of both exchanges."""
        for _ in range(round(seconds * 10)):
            self.refused.wait(0.1)
            for exchange in self.news.values():
                exchange.tick(['other'])


def _fake_store(era: int) -> FakeStore:
    store = FakeStore()
    store.era = era
    return store
