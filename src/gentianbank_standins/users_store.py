"""Stand-in for the store of the users' platform, with its faults.

It speaks the published protocol: items by key, ranges in pages, watches from
a revision, transactions and leases, each answer with one revision counter.
"""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass
from dataclasses import field
import itertools
import json
import time
from typing import Any
from urllib.parse import parse_qs

PAGE_ITEMS = 50
HISTORY_EVENTS = 10_000
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


@dataclass
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


@dataclass
class _Lease:
    ttl_ms: int
    ends_s: float


@dataclass
class UsersStore:
    """The items, in memory."""

    revision: int = 1
    faults: StoreFaults = field(default_factory=StoreFaults)
    _items: dict[str, _Item] = field(default_factory=dict)
    _leases: dict[int, _Lease] = field(default_factory=dict)
    _events: list[dict[str, Any]] = field(default_factory=list)
    _first_held: int = 1
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _lease_ids: itertools.count[int] = field(
        default_factory=lambda: itertools.count(100)
    )

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

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one call."""
        body = await _read(receive)
        host = (scope.get('client') or ('',))[0]
        faults = self.faults
        await asyncio.sleep(faults.delay_ms / _MS_PER_S)
        if faults.answers == 'silent':
            await asyncio.Event().wait()
        if faults.answers == 'busy' or host in faults.refused_hosts:
            await _answer(send, _UNAVAILABLE, {})
            return
        query = {
            name: values[0]
            for name, values in parse_qs(
                scope['query_string'].decode(), keep_blank_values=True
            ).items()
        }
        status, document = await self._call(scope['path'], query, body)
        await _answer(send, status, document)

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
        end_s = time.monotonic() + int(query['waitMs']) / _MS_PER_S
        while True:
            self._expire()
            if after + 1 < self._first_held:
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
        lease = next(self._lease_ids)
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


async def _answer(send: Any, status: int, document: dict[str, Any]) -> None:
    body = json.dumps(document).encode()
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    ]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': body})
