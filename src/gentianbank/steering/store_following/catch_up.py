"""Passes changes of the store on to nodes that cannot reach it."""

from __future__ import annotations

from dataclasses import dataclass
import itertools
from typing import TYPE_CHECKING

from absl import logging

from gentianbank.control.messages import Message
from gentianbank.control.messages import register_message
from gentianbank.domain import schema
from gentianbank.platform import keyspace
from gentianbank.storage.prefix_store import Changes
from gentianbank.storage.prefix_store import Removal
from gentianbank.storage.store import StoredValue

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from gentianbank.control.peers import PeerConnections
    from gentianbank.steering.store_following.store_sync import StoreSync

REQUEST_PERIOD_MS = 300.0
# Longer lists of changes are split over several answers.
MAX_CHANGES_PER_ANSWER = 200
MAX_ANSWER_BYTES = 2 * 1024 * 1024
LARGE_VALUE_BYTES = 16 * 1024
# Size up to which the store takes values.
MAX_VALUE_BYTES = 1024 * 1024
_MAX_REVISION = 2**53
# Of a message of a release that knows no eras.
NO_ERA = -1


@register_message('news-request')
@dataclass(frozen=True, slots=True, kw_only=True)
class StoreChangesRequest(Message):
    """Asks a peer for the changes of the store after a revision.

    Parameters
    ----------
    era
        Era of the store that the revision is of.
    """

    after_revision: int = schema.integer(0, _MAX_REVISION)
    era: int = schema.integer(NO_ERA, _MAX_REVISION, default=NO_ERA)


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreChange:
    """A key that was written or removed."""

    key: str = schema.text(r'(?s).{1,200}')
    revision: int = schema.integer(0, _MAX_REVISION)
    removed: bool = schema.flag()
    value: bytes = schema.binary(MAX_VALUE_BYTES)


@register_message('news')
@dataclass(frozen=True, slots=True, kw_only=True)
class StoreChanges(Message):
    """Changes of the store in order, up to a revision of an era.

    Parameters
    ----------
    operator_only
        Whether these are all keys of the operator, and no others. They are
        the answer to a request of an earlier era, or to one after which not
        all changes are held any more.
    asked_era
        Era in the request that is answered.
    """

    revision: int = schema.integer(0, _MAX_REVISION)
    era: int = schema.integer(0, _MAX_REVISION, default=0)
    operator_only: bool = schema.flag(default=False)
    asked_era: int = schema.integer(NO_ERA, _MAX_REVISION, default=NO_ERA)
    changes: tuple[StoreChange, ...] = schema.sequence(StoreChange)


class StoreCatchUp:
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
        self,
        sync: StoreSync,
        peers: PeerConnections,
        clock: Callable[[], float],
    ) -> None:
        self._sync = sync
        self._peers = peers
        self._clock = clock
        self._last_request_ms = float('-inf')
        self._peer_turn = 0

    def tick(self, connected: Iterable[str]) -> None:
        """Ask the next peer for changes if the store is unreachable.

        Does nothing if this node has no listing of the store to apply
        changes to, within ``REQUEST_PERIOD_MS`` after the last request, or
        while a long message is arriving, which may be the answer.

        Parameters
        ----------
        connected
            Peers with a connection; they are asked in turn.
        """
        now_ms = self._clock()
        if self._sync.is_reachable or not self._sync.revision:
            return
        if now_ms - self._last_request_ms < REQUEST_PERIOD_MS:
            return
        if self._peers.receiving_from():
            return
        self._last_request_ms = now_ms
        names = sorted(connected)
        if not names:
            return
        self._peer_turn += 1
        request = StoreChangesRequest(
            after_revision=self._sync.revision, era=self._sync.era
        )
        self._peers.send(names[self._peer_turn % len(names)], request)

    def on_message(self, vm: str, message: Message) -> None:
        """Handle a request or an answer of a peer."""
        if isinstance(message, StoreChangesRequest):
            self._answer_request(vm, message)
        elif isinstance(message, StoreChanges):
            self._apply_answer(vm, message)

    def _answer_request(self, vm: str, request: StoreChangesRequest) -> None:
        if not self._sync.is_reachable or request.era > self._sync.era:
            return
        # A node of a release without eras takes each answer for changes.
        if NO_ERA < request.era < self._sync.era:
            self._send_operator_values(vm, request.era)
            return
        changes = self._sync.changes_after(request.after_revision)
        if changes is None:
            is_same_era = request.era == self._sync.era
            if is_same_era and not self._sync.needs_listing:
                self._send_operator_values(vm, request.era)
            return
        if not changes.events:
            return
        newest = without_replaced(changes.events)
        events = first_answer(newest)
        revision = changes.revision
        if len(events) < len(newest):
            revision = events[-1].mod_revision
        rows = encode_changes(events)
        answer = StoreChanges(revision=revision, era=changes.era, changes=rows)
        self._peers.send(vm, answer)

    def _send_operator_values(self, vm: str, asked_era: int) -> None:
        """Send what the operator has written, for want of all changes."""
        values = self._sync.operator_values()
        answer = StoreChanges(
            revision=values.revision,
            era=values.era,
            operator_only=True,
            asked_era=asked_era,
            changes=encode_changes(values.events),
        )
        self._peers.send(vm, answer)

    def _apply_answer(self, vm: str, answer: StoreChanges) -> None:
        if self._sync.is_reachable or not self._sync.revision:
            return
        if not self._is_news(answer):
            return
        logging.info(
            'store changes received from a peer',
            extra={
                'peer': vm,
                'changes': len(answer.changes),
                'revision': answer.revision,
                'era': answer.era,
            },
        )
        events = tuple(decode_change(change) for change in answer.changes)
        changes = Changes(events, answer.revision, era=answer.era)
        if answer.operator_only:
            self._sync.replace_operator_values(changes)
        else:
            self._sync.apply_peer_changes(changes)

    def _is_news(self, answer: StoreChanges) -> bool:
        """Return whether an answer has what the copy lacks.

        The operator's keys alone are no changes of an era that the copy has
        reached since it asked: those of other keys are missing between them.
        """
        if answer.era != self._sync.era:
            return answer.operator_only and answer.era > self._sync.era
        if answer.operator_only and answer.asked_era != answer.era:
            return False
        return answer.revision > self._sync.revision


def without_replaced(
    events: tuple[StoredValue | Removal, ...],
) -> tuple[StoredValue | Removal, ...]:
    """Leave out the large values that a later event replaces.

    Many versions of a large value would take longer to arrive than new ones
    take to come up.
    """
    last_revisions = {event.key: event.mod_revision for event in events}
    return tuple(
        event
        for event in events
        if event.mod_revision == last_revisions[event.key]
        or not is_large(event)
    )


def is_large(event: StoredValue | Removal) -> bool:
    """Return whether the value of an event is large for a message."""
    return _size_bytes(event) > LARGE_VALUE_BYTES


def first_answer(
    events: tuple[StoredValue | Removal, ...],
) -> tuple[StoredValue | Removal, ...]:
    """Return the first events, as many as one answer may have.

    A revision is never split over two answers, since the next request asks
    only for later revisions.
    """
    count = 0
    size_bytes = 0
    for _, group in itertools.groupby(events, lambda e: e.mod_revision):
        revision = list(group)
        size_bytes += sum(map(_size_bytes, revision))
        is_full = (
            count + len(revision) > MAX_CHANGES_PER_ANSWER
            or size_bytes > MAX_ANSWER_BYTES
        )
        if count and is_full:
            break
        count += len(revision)
    return events[:count]


def _size_bytes(event: StoredValue | Removal) -> int:
    return 0 if isinstance(event, Removal) else len(event.value)


def encode_changes(
    events: Iterable[StoredValue | Removal],
) -> tuple[StoreChange, ...]:
    """Return the changes that other nodes make use of.

    Other keys may be of any kind, also such as no message can have.
    """
    return tuple(
        encode_change(event) for event in events if keyspace.is_used(event.key)
    )


def encode_change(event: StoredValue | Removal) -> StoreChange:
    """Return a change as messages have it."""
    if isinstance(event, Removal):
        return StoreChange(
            key=event.key,
            revision=event.mod_revision,
            removed=True,
            value=b'',
        )
    return StoreChange(
        key=event.key,
        revision=event.mod_revision,
        removed=False,
        value=event.value,
    )


def decode_change(change: StoreChange) -> StoredValue | Removal:
    """Return the change of a message as the store has it."""
    if change.removed:
        return Removal(change.key, change.revision)
    return StoredValue(change.key, change.value, change.revision)
