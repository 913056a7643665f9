"""A key-value store with revisions, leases and watches, in memory."""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass
from dataclasses import field
import itertools
import time
from typing import Any


@dataclass
class _Value:
    value: bytes
    mod_revision: int
    lease: int


@dataclass
class _Lease:
    ttl_s: int
    expires_s: float


@dataclass
class _Watch:
    key: bytes
    queue: asyncio.Queue[dict[str, Any]]


@dataclass
class KeyValueStore:
    """Takes and returns bodies of the etcd v3 JSON gateway."""

    revision: int = 1
    _values: dict[bytes, _Value] = field(default_factory=dict)
    _leases: dict[int, _Lease] = field(default_factory=dict)
    _watches: list[_Watch] = field(default_factory=list)
    _history: list[tuple[int, bytes]] = field(default_factory=list)
    _lease_ids: itertools.count[int] = field(
        default_factory=lambda: itertools.count(1000)
    )

    def range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return the values of a key or of a range of keys."""
        self._expire()
        first = base64.b64decode(body['key'])
        if body.get('range_end'):
            end = base64.b64decode(body['range_end'])
            keys = sorted(key for key in self._values if first <= key < end)
        else:
            keys = [first] if first in self._values else []
        if body.get('sort_order') == 'DESCEND':
            keys.reverse()
        limit = int(body.get('limit', 0)) or len(keys)
        answer: dict[str, Any] = {
            'header': {'revision': str(self.revision)},
            'count': str(len(keys)),
        }
        if keys:
            answer['kvs'] = [self._show(key) for key in keys[:limit]]
        return answer

    def commit(self, body: dict[str, Any]) -> dict[str, Any]:
        """Write all puts if every comparison holds."""
        self._expire()
        for compare in body.get('compare', ()):
            held = self._values.get(base64.b64decode(compare['key']))
            mod_revision = held.mod_revision if held else 0
            if mod_revision != int(compare.get('mod_revision', 0)):
                return {'header': {'revision': str(self.revision)}}
        puts = [item['request_put'] for item in body.get('success', ())]
        if any(
            int(item.get('lease', 0)) not in (0, *self._leases)
            for item in puts
        ):
            return {'header': {'revision': str(self.revision)}}
        self.revision += 1
        for item in puts:
            key = base64.b64decode(item['key'])
            value = base64.b64decode(item.get('value', ''))
            lease = int(item.get('lease', 0))
            self._values[key] = _Value(value, self.revision, lease)
            self._history.append((self.revision, key))
            self._notify(key)
        return {
            'header': {'revision': str(self.revision)},
            'succeeded': True,
        }

    def grant(self, ttl_s: int) -> dict[str, Any]:
        """Grant a lease."""
        lease = next(self._lease_ids)
        self._leases[lease] = _Lease(ttl_s, time.monotonic() + ttl_s)
        return {'ID': str(lease), 'TTL': str(ttl_s)}

    def keep_alive(self, lease: int) -> dict[str, Any]:
        """Renew a lease, unless it has lapsed."""
        self._expire()
        held = self._leases.get(lease)
        if held is None:
            return {'result': {'ID': str(lease)}}
        held.expires_s = time.monotonic() + held.ttl_s
        return {'result': {'ID': str(lease), 'TTL': str(held.ttl_s)}}

    def revoke(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self._leases.pop(lease, None)
        for key, value in list(self._values.items()):
            if value.lease == lease and lease:
                del self._values[key]
                self.revision += 1

    def watch(self, create: dict[str, Any]) -> asyncio.Queue[dict[str, Any]]:
        """Begin a watch; what has changed since its start comes first."""
        key = base64.b64decode(create['key'])
        queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        start = int(create.get('start_revision', 0))
        changed = any(
            revision >= start > 0 and changed_key == key
            for revision, changed_key in self._history
        )
        if changed and key in self._values:
            queue.put_nowait({'type': 'PUT', 'kv': self._show(key)})
        self._watches.append(_Watch(key, queue))
        return queue

    def unwatch(self, queue: asyncio.Queue[dict[str, Any]]) -> None:
        """End a watch."""
        self._watches = [w for w in self._watches if w.queue is not queue]

    def _notify(self, key: bytes) -> None:
        for watch in self._watches:
            if watch.key == key:
                event = {'type': 'PUT', 'kv': self._show(key)}
                watch.queue.put_nowait(event)

    def _show(self, key: bytes) -> dict[str, Any]:
        held = self._values[key]
        return {
            'key': base64.b64encode(key).decode(),
            'value': base64.b64encode(held.value).decode(),
            'mod_revision': str(held.mod_revision),
            'lease': str(held.lease),
        }

    def _expire(self) -> None:
        now_s = time.monotonic()
        for lease, held in list(self._leases.items()):
            if held.expires_s <= now_s:
                self.revoke(lease)
