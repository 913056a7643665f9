"""Stand-in for the platform's metadata store, in memory."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import time
from typing import Any
from urllib.parse import parse_qs

from http1 import Answer
from http1 import Request

PAGE_ITEMS = 500


class Store:
    """Items, leases and watches with one revision counter.

    While it is down, calls get no answer and do nothing.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.is_down = False
        self._items: dict[str, dict[str, Any]] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._lease_ids = itertools.count(100)

    def put(self, key: str, document: Any, lease: int = 0) -> None:
        """Write a document, as the operator and the upstreams do."""
        self._write(key, json.dumps(document).encode(), lease)

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._notify(
                {'key': key, 'revision': self.revision, 'removed': True}
            )

    def keys(self, prefix: str) -> list[str]:
        """Return the keys under a prefix."""
        self._expire()
        return sorted(k for k in self._items if k.startswith(prefix))

    async def handle(self, request: Request) -> Answer | None:
        """Serve one call."""
        if self.is_down:
            return await self._keep_silent()
        self._expire()
        query = {
            name: values[0]
            for name, values in parse_qs(
                request.query, keep_blank_values=True
            ).items()
        }
        body = json.loads(request.body or b'{}')
        name, _, argument = request.path.strip('/').partition('/')
        status, document = await self._call(name, argument, query, body)
        if self.is_down:
            return await self._keep_silent()
        return Answer(
            status,
            {'Content-Type': 'application/json'},
            json.dumps(document).encode(),
        )

    async def _keep_silent(self) -> None:
        while self.is_down:
            await asyncio.sleep(0.05)

    async def _call(
        self,
        name: str,
        argument: str,
        query: dict[str, str],
        body: dict[str, Any],
    ) -> tuple[int, dict[str, Any]]:
        match name:
            case 'kv-range':
                after = query.get('after', '')
                keys = [k for k in self.keys(query['prefix']) if k > after]
                return 200, {
                    'items': [self._items[k] for k in keys[:PAGE_ITEMS]],
                    'hasMore': len(keys) > PAGE_ITEMS,
                    'currentRev': self.revision,
                }
            case 'kv-watch':
                return await self._watch(query)
            case 'kv-txn':
                return self._commit(body)
            case 'kv-lease':
                lease = next(self._lease_ids)
                ttl_s = body['ttlMs'] / 1_000
                self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {'lease': lease, 'ttlMs': body['ttlMs']}
            case 'kv-keep':
                lease = int(argument)
                if lease not in self._leases:
                    return 404, {}
                ttl_s, _ = self._leases[lease]
                self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {'ttlMs': int(ttl_s * 1_000)}
            case 'kv-lease-end':
                found = self._end_lease(int(argument))
                return (200 if found else 404), {}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query['after'])
        end_s = time.monotonic() + int(query['waitMs']) / 1_000
        while True:
            self._expire()
            events = [
                event
                for event in self._events
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'currentRev': self.revision}
            try:
                async with asyncio.timeout(min(left_s, 0.2)):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _commit(self, body: dict[str, Any]) -> tuple[int, Any]:
        for row in body.get('expectedRev', ()):
            held = self._items.get(row['key'], {'revision': 0})
            if held['revision'] != row['revision']:
                return 412, {'items': []}
        for write in body.get('writes', ()):
            if write.get('lease', 0) not in (0, *self._leases):
                return 404, {}
        for write in body.get('writes', ()):
            value = base64.b64decode(write['value'])
            self._write(write['key'], value, write.get('lease', 0))
        for key in body.get('deletes', ()):
            self.remove(key)
        return 200, {'revision': self.revision}

    def _write(self, key: str, value: bytes, lease: int) -> None:
        self.revision += 1
        created = self._items.get(key, {}).get('created', self.revision)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self._items[key] = item
        self._notify(item)

    def _notify(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, lease: int) -> bool:
        if self._leases.pop(lease, None) is None:
            return False
        for key, item in list(self._items.items()):
            if item['lease'] == lease:
                self.remove(key)
        return True

    def _expire(self) -> None:
        now_s = time.monotonic()
        for lease, (_, end_s) in list(self._leases.items()):
            if end_s <= now_s:
                self._end_lease(lease)
