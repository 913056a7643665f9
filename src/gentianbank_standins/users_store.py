"""Stand-in for the store of the users' platform, with its faults.

It speaks the published protocol: items by key, ranges in pages, watches from
a revision, transactions and leases, each answer with one revision counter. It
can be restored from a backup, after which its answers state the next era.
"""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass
from dataclasses import field
import json
import time
from typing import Any
from urllib.parse import parse_qs

PAGE_ITEMS = 50
HISTORY_EVENTS = 10_000
FIRST_LEASE = 100
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_UNAVAILABLE = 503
_MS_PER_S = 1_000


@dataclass
class StoreFaults:
    """Faults of the store, each off by default.

    Parameters
    ----------
    answers
        What it answers: ``busy`` for 503, ``silent`` for nothing, else as
        it should.
    refused_hosts
        Hosts that are answered 503 while others are served.
    delay_ms
        Time that each answer takes longer.
    """

    answers: str = ''
    refused_hosts: frozenset[str] = frozenset()
    delay_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


@dataclass
class _Lease:
    ttl_ms: int
    ends_s: float


@dataclass(frozen=True, slots=True)
class StoreBackup:
    """A copy of the store, from which it can be restored.

    Parameters
    ----------
    leases_left
        What each lease was granted and what was left of it, in milliseconds.
    next_lease
        Number of the lease that is granted next.
    """

    revision: int
    items: dict[str, _Item]
    leases_left: dict[int, tuple[int, float]]
    next_lease: int


class _AnswerLost(Exception):
    """The call gets no answer."""


@dataclass
class UsersStore:
    """The items, in memory.

    Parameters
    ----------
    states_era
        Whether answers state how often the store was restored.
    """

    revision: int = 1
    faults: StoreFaults = field(default_factory=StoreFaults)
    states_era: bool = True
    era: int = 1
    is_away: bool = False
    _loses_silently: bool = False
    _items: dict[str, _Item] = field(default_factory=dict)
    _leases: dict[int, _Lease] = field(default_factory=dict)
    _events: list[dict[str, Any]] = field(default_factory=list)
    _first_held: int = 1
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _next_lease: int = FIRST_LEASE

    def put(self, key: str, document: Any, lease: int = 0) -> None:
        """Write a document, as the operator and the targets do."""
        self.write(key, json.dumps(document).encode(), lease)

    def write(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write bytes."""
        self.revision += 1
        held = self._items.get(key)
        created = held.created if held else self.revision
        self._items[key] = _Item(value, self.revision, created, lease)
        self._add_event(self._show(key))

    def remove(self, key: str) -> None:
        """Remove an item if it exists."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            event = {'key': key, 'revision': self.revision, 'removed': True}
            self._add_event(event)

    def keys(self, prefix: str) -> list[str]:
        """Return the keys under a prefix."""
        self._expire()
        return [key for key in self._items if key.startswith(prefix)]

    def forget_history(self) -> None:
        """Drop the events, so that watches must list again."""
        self._events.clear()
        self._first_held = self.revision + 1

    def take_backup(self) -> StoreBackup:
        """Return a copy of the items, the leases and the counters."""
        self._expire()
        now_s = time.monotonic()
        leases_left = {
            lease: (held.ttl_ms, (held.ends_s - now_s) * _MS_PER_S)
            for lease, held in self._leases.items()
        }
        return StoreBackup(
            self.revision, dict(self._items), leases_left, self._next_lease
        )

    def go_away(self, *, is_silent: bool = False) -> None:
        """Cut the watches that wait, and refuse calls until it is back.

        Parameters
        ----------
        is_silent
            Whether such watches and calls get no answer at all instead.
        """
        self.is_away = True
        self._loses_silently = is_silent
        self._wake_watches()

    def restore(self, backup: StoreBackup) -> None:
        """Begin the next era with the content of a backup.

        What was written since is lost; revisions and leases since are given
        out again. The history begins with the backup.
        """
        now_s = time.monotonic()
        self.era += 1
        self.revision = backup.revision
        self._items = dict(backup.items)
        self._leases = {
            lease: _Lease(ttl_ms, now_s + left_ms / _MS_PER_S)
            for lease, (ttl_ms, left_ms) in backup.leases_left.items()
        }
        self._next_lease = backup.next_lease
        self.forget_history()
        self._wake_watches()

    def come_back(self) -> None:
        """Answer again."""
        self.is_away = False

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one call."""
        body = await _read(receive)
        host = (scope.get('client') or ('',))[0]
        faults = self.faults
        await asyncio.sleep(faults.delay_ms / _MS_PER_S)
        is_lost = self.is_away and self._loses_silently
        if faults.answers == 'silent' or is_lost:
            await asyncio.Event().wait()
        is_refused = faults.answers == 'busy' or host in faults.refused_hosts
        if self.is_away or is_refused:
            await self._answer(send, _UNAVAILABLE, {})
            return
        query = {
            name: values[0]
            for name, values in parse_qs(
                scope['query_string'].decode(), keep_blank_values=True
            ).items()
        }
        try:
            status, document = await self._call(scope['path'], query, body)
        except _AnswerLost:
            if self._loses_silently:
                await asyncio.Event().wait()
            await _break_off(send)
            return
        await self._answer(send, status, document)

    async def _answer(
        self, send: Any, status: int, document: dict[str, Any]
    ) -> None:
        body = json.dumps(document).encode()
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', str(len(body)).encode()),
        ]
        if self.states_era:
            headers.append((b'store-era', str(self.era).encode()))
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )
        await send({'type': 'http.response.body', 'body': body})

    async def _call(
        self, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        self._expire()
        name, _, argument = path.strip('/').partition('/')
        match name:
            case 'kv-range':
                return self._range(query)
            case 'kv-watch':
                return await self._watch(query)
            case 'kv-txn':
                return self._commit(body)
            case 'kv-lease':
                return self._grant(int(body['ttlMs']))
            case 'kv-keep':
                return self._keep(int(argument))
            case 'kv-lease-end':
                return self._end(int(argument))
        return _NOT_FOUND, {}

    def _range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = query.get('after', '')
        keys = sorted(k for k in self.keys(query['prefix']) if k > after)
        document = {
            'items': [self._show(key) for key in keys[:PAGE_ITEMS]],
            'hasMore': len(keys) > PAGE_ITEMS,
            'currentRev': self.revision,
        }
        return _OK, document

    async def _watch(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        after = int(query['after'])
        era = self.era
        end_s = time.monotonic() + int(query['waitMs']) / _MS_PER_S
        while True:
            if self.is_away or self.era != era:
                raise _AnswerLost
            self._expire()
            if after + 1 < self._first_held or after > self.revision:
                return _GONE, {}
            events = [
                event
                for event in self._events
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                document = {'events': events, 'currentRev': self.revision}
                return _OK, document
            # Leases end without a call, so the wait is cut into pieces.
            try:
                async with asyncio.timeout(min(left_s, 0.2)):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body.get('expectedRev', ()):
            held = self._items.get(row['key'])
            if (held.revision if held else 0) != row['revision']:
                return 412, {'items': []}
        for write in body.get('writes', ()):
            if write.get('lease', 0) not in (0, *self._leases):
                return _NOT_FOUND, {}
        for write in body.get('writes', ()):
            value = base64.b64decode(write['value'])
            self.write(write['key'], value, write.get('lease', 0))
        for key in body.get('deletes', ()):
            self.remove(key)
        return _OK, {'revision': self.revision}

    def _grant(self, ttl_ms: int) -> tuple[int, dict[str, Any]]:
        lease = self._next_lease
        self._next_lease += 1
        end_s = time.monotonic() + ttl_ms / _MS_PER_S
        self._leases[lease] = _Lease(ttl_ms, end_s)
        return _OK, {'lease': lease, 'ttlMs': ttl_ms}

    def _keep(self, lease: int) -> tuple[int, dict[str, Any]]:
        held = self._leases.get(lease)
        if held is None:
            return _NOT_FOUND, {}
        held.ends_s = time.monotonic() + held.ttl_ms / _MS_PER_S
        return _OK, {}

    def _end(self, lease: int) -> tuple[int, dict[str, Any]]:
        if self._leases.pop(lease, None) is None:
            return _NOT_FOUND, {}
        for key, item in list(self._items.items()):
            if item.lease == lease:
                self.remove(key)
        return _OK, {}

    def _expire(self) -> None:
        now_s = time.monotonic()
        for lease, held in list(self._leases.items()):
            if held.ends_s <= now_s:
                self._end(lease)

    def _show(self, key: str) -> dict[str, Any]:
        item = self._items[key]
        return {
            'key': key,
            'value': base64.b64encode(item.value).decode(),
            'revision': item.revision,
            'created': item.created,
            'lease': item.lease,
        }

    def _add_event(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        if len(self._events) > HISTORY_EVENTS:
            self._first_held = self._events.pop(0)['revision'] + 1
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


async def _read(receive: Any) -> dict[str, Any]:
    data = b''
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return {}
        data += message.get('body', b'')
        if not message.get('more_body', False):
            break
    document: dict[str, Any] = json.loads(data or b'{}')
    return document


async def _break_off(send: Any) -> None:
    """Begin an answer and let the server close its connection."""
    headers = [(b'content-length', b'1')]
    await send(
        {
            'type': 'http.response.start',
            'status': _UNAVAILABLE,
            'headers': headers,
        }
    )
