"""Store adapter for the JSON gateway of the etcd v3 API."""

from __future__ import annotations

import base64
import json
from typing import Any
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result
import httpx

from gentianbank.domain.errors import StoreUnavailable
from gentianbank.storage.store import Expected
from gentianbank.storage.store import Put
from gentianbank.storage.store import Store
from gentianbank.storage.store import StoredValue

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_MS_PER_S = 1_000
# A watch that brings nothing for this long ends, so that a connection that
# broke silently is noticed; the caller then reads and watches anew.
_WATCH_IDLE_TIMEOUT_S = 30.0


class EtcdStore(Store):
    """Calls the gateway over HTTP.

    Parameters
    ----------
    url
        Base URL of the gateway.
    timeout_ms
        Timeout of each phase of a call: connect, read, write.
    """

    def __init__(self, url: str, timeout_ms: int) -> None:
        self._client = httpx.AsyncClient(
            base_url=url, timeout=timeout_ms / _MS_PER_S, trust_env=False
        )

    async def close(self) -> None:
        """Close the HTTP client."""
        await self._client.aclose()

    async def get(
        self, key: str
    ) -> Result[StoredValue | None, StoreUnavailable]:
        answer = await self._call('/v3/kv/range', {'key': _encode_key(key)})
        return answer.map(lambda raw: next(iter(_decode_values(raw)), None))

    async def get_range(
        self, first: str, end: str, limit: int, *, descending: bool = False
    ) -> Result[list[StoredValue], StoreUnavailable]:
        body = {
            'key': _encode_key(first),
            'range_end': _encode_key(end),
            'limit': str(limit),
            'sort_order': 'DESCEND' if descending else 'ASCEND',
            'sort_target': 'KEY',
        }
        answer = await self._call('/v3/kv/range', body)
        return answer.map(_decode_values)

    async def commit(
        self, expected: Expected | None, puts: list[Put]
    ) -> Result[bool, StoreUnavailable]:
        compare = []
        if expected is not None:
            compare.append(
                {
                    'key': _encode_key(expected.key),
                    'target': 'MOD',
                    'mod_revision': str(expected.mod_revision),
                    'result': 'EQUAL',
                }
            )
        success = [{'request_put': _encode_put(put)} for put in puts]
        body = {'compare': compare, 'success': success}
        answer = await self._call('/v3/kv/txn', body)
        return answer.map(lambda raw: bool(raw.get('succeeded', False)))

    async def grant_lease(self, ttl_s: int) -> Result[int, StoreUnavailable]:
        answer = await self._call('/v3/lease/grant', {'TTL': str(ttl_s)})
        return answer.map(lambda raw: int(raw['ID']))

    async def keep_alive(self, lease: int) -> Result[bool, StoreUnavailable]:
        answer = await self._call('/v3/lease/keepalive', {'ID': str(lease)})
        return answer.map(
            lambda raw: int(raw.get('result', {}).get('TTL', 0)) > 0
        )

    async def revoke(self, lease: int) -> Result[bool, StoreUnavailable]:
        answer = await self._call('/v3/lease/revoke', {'ID': str(lease)})
        return answer.map(lambda raw: 'error' not in raw)

    async def watch(
        self, key: str, after_mod_revision: int
    ) -> AsyncIterator[StoredValue]:
        create = {
            'key': _encode_key(key),
            'start_revision': str(after_mod_revision + 1),
        }
        body = {'create_request': create}
        timeout = httpx.Timeout(5.0, read=_WATCH_IDLE_TIMEOUT_S)
        try:
            async with self._client.stream(
                'POST', '/v3/watch', json=body, timeout=timeout
            ) as answer:
                async for line in answer.aiter_lines():
                    for value in _decode_puts(line):
                        yield value
        except (httpx.HTTPError, ValueError, KeyError):
            return

    async def _call(
        self, path: str, body: dict[str, Any]
    ) -> Result[dict[str, Any], StoreUnavailable]:
        try:
            answer = await self._client.post(path, json=body)
        except httpx.HTTPError as error:
            cause = f'{type(error).__name__} {error}'.strip()
            return Error(StoreUnavailable(cause))
        if answer.status_code != httpx.codes.OK:
            cause = f'HTTP {answer.status_code} {answer.text[:200]}'
            return Error(StoreUnavailable(cause))
        try:
            raw = answer.json()
        except ValueError:
            return Error(StoreUnavailable('the answer is not JSON'))
        if not isinstance(raw, dict):
            return Error(StoreUnavailable('the answer is not an object'))
        return Ok(raw)


def _encode_key(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _encode_put(put: Put) -> dict[str, str]:
    return {
        'key': _encode_key(put.key),
        'value': base64.b64encode(put.value).decode(),
        'lease': str(put.lease),
    }


def _decode_values(raw: dict[str, Any]) -> list[StoredValue]:
    return [_decode_value(item) for item in raw.get('kvs', ())]


def _decode_value(raw: dict[str, Any]) -> StoredValue:
    return StoredValue(
        base64.b64decode(raw['key']).decode(),
        base64.b64decode(raw.get('value', '')),
        int(raw['mod_revision']),
    )


def _decode_puts(line: str) -> list[StoredValue]:
    if not line.strip():
        return []
    raw = json.loads(line)
    return [
        _decode_value(event['kv'])
        for event in raw.get('result', {}).get('events', ())
        if event.get('type', 'PUT') == 'PUT'
    ]
