"""Changes of the store, passed on to nodes that cannot reach it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from absl import logging

from gentianbank.control.messages import Message
from gentianbank.control.messages import register_message
from gentianbank.domain import schema
from gentianbank.storage.replicated import Changes
from gentianbank.storage.replicated import Removal
from gentianbank.storage.store import StoredValue

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from gentianbank.control.peers import Peers
    from gentianbank.steering.store_sync import StoreSync

ASK_PERIOD_MS = 300.0
# Longer lists of changes are split over several answers.
MAX_CHANGES = 200
_COUNT = 2**53


@register_message('news-request')
@dataclass(frozen=True, slots=True, kw_only=True)
class NewsRequest(Message):
    """Asks a peer for the changes of the store after a revision."""

    after_revision: int = schema.integer(0, _COUNT)


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeNews:
    """A key that was written or removed."""

    key: str = schema.text(r'.{1,200}')
    revision: int = schema.integer(0, _COUNT)
    removed: bool = schema.flag()
    value: bytes = schema.binary()


@register_message('news')
@dataclass(frozen=True, slots=True, kw_only=True)
class News(Message):
    """Changes of the store in order, up to a revision."""

    revision: int = schema.integer(0, _COUNT)
    changes: tuple[ChangeNews, ...] = schema.sequence(ChangeNews)


class NewsExchange:
    """Gets changes from peers while the store is unreachable.

    While the store is reachable, it answers the requests of such peers.

    Parameters
    ----------
    sync
        This node's copy of the store.
    peers
        Connections to other nodes.
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self, sync: StoreSync, peers: Peers, clock: Callable[[], float]
    ) -> None:
        self._sync = sync
        self._peers = peers
        self._clock = clock
        self._asked_ms = float('-inf')
        self._turn = 0

    def tick(self, connected: Iterable[str]) -> None:
        """Ask the next peer for changes if the store is unreachable.

        Does nothing while the store is yet to be listed, or within
        ``ASK_PERIOD_MS`` after the last request.

        Parameters
        ----------
        connected
            Peers with a connection; they are asked in turn.
        """
        now_ms = self._clock()
        if self._sync.is_reachable or not self._sync.revision:
            return
        if now_ms - self._asked_ms < ASK_PERIOD_MS:
            return
        self._asked_ms = now_ms
        names = sorted(connected)
        if not names:
            return
        self._turn += 1
        request = NewsRequest(after_revision=self._sync.revision)
        self._peers.send(names[self._turn % len(names)], request)

    def on_message(self, vm: str, message: Message) -> None:
        """Handle a request or an answer of a peer."""
        if isinstance(message, NewsRequest):
            self._answer(vm, message.after_revision)
        elif isinstance(message, News):
            self._take(vm, message)

    def _answer(self, vm: str, after_revision: int) -> None:
        if not self._sync.is_reachable:
            return
        changes = self._sync.changes_after(after_revision)
        if changes is None or not changes.events:
            return
        events = changes.events[:MAX_CHANGES]
        revision = changes.revision
        if len(events) < len(changes.events):
            revision = events[-1].mod_revision
            # Never split a revision over two answers: the next request asks
            # only for later revisions.
            events = tuple(
                e for e in changes.events if e.mod_revision <= revision
            )
        rows = tuple(_encode(event) for event in events)
        self._peers.send(vm, News(revision=revision, changes=rows))

    def _take(self, vm: str, news: News) -> None:
        if self._sync.is_reachable or news.revision <= self._sync.revision:
            return
        logging.info(
            'store changes received from a peer',
            extra={
                'peer': vm,
                'changes': len(news.changes),
                'revision': news.revision,
            },
        )
        events = tuple(_decode(change) for change in news.changes)
        self._sync.take_news(Changes(events, news.revision))


def _encode(event: StoredValue | Removal) -> ChangeNews:
    if isinstance(event, Removal):
        return ChangeNews(
            key=event.key,
            revision=event.mod_revision,
            removed=True,
            value=b'',
        )
    return ChangeNews(
        key=event.key,
        revision=event.mod_revision,
        removed=False,
        value=event.value,
    )


def _decode(change: ChangeNews) -> StoredValue | Removal:
    if change.removed:
        return Removal(change.key, change.revision)
    return StoredValue(change.key, change.value, change.revision)
