"""Store adapter for the platform's metadata store."""

from __future__ import annotations

import base64
import binascii
import json
from typing import Any
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result
import httpx

from gentianbank.domain.errors import StoreUnavailable
from gentianbank.storage.replicated import Changes
from gentianbank.storage.replicated import HistoryGone
from gentianbank.storage.replicated import LeaseGone
from gentianbank.storage.replicated import Listing
from gentianbank.storage.replicated import PrefixStore
from gentianbank.storage.replicated import Removal
from gentianbank.storage.store import StoredValue

if TYPE_CHECKING:
    from gentianbank.storage.store import Put

MAX_PAGES = 10_000
CONNECT_TIMEOUT_S = 0.5
# A watch is answered at its end of waiting, plus the time of a slow answer.
WATCH_SLACK_MS = 700
_MS_PER_S = 1_000


class KvStore(PrefixStore):
    """Calls the store over HTTP.

    Parameters
    ----------
    address
        Address of the store, as ``IP:port``.
    timeout_ms
        Time that a call may take beyond what it waits for.
    """

    def __init__(self, address: str, timeout_ms: int) -> None:
        self._timeout_s = timeout_ms / _MS_PER_S
        self._client = httpx.AsyncClient(
            base_url=f'http://{address}',
            timeout=self._timeout_s,
            trust_env=False,
            verify=False,
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def list_prefix(
        self, prefix: str
    ) -> Result[Listing, StoreUnavailable]:
        values: list[StoredValue] = []
        revision = 0
        after = ''
        for _ in range(MAX_PAGES):
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            match await self._call('GET', '/kv-range', query=query):
                case Result(tag='ok', ok=raw):
                    pass
                case Result(error=error):
                    return Error(_unavailable(error))
            try:
                page = [_value(item) for item in raw['items']]
                more = bool(raw.get('hasMore', False))
                revision = revision or int(raw['currentRev'])
            except (KeyError, TypeError, ValueError) as error:
                return Error(StoreUnavailable(f'malformed page: {error!r}'))
            values += page
            if not more or not page:
                return Ok(Listing(tuple(values), revision))
            after = page[-1].key
        return Error(StoreUnavailable(f'more than {MAX_PAGES} pages'))

    async def wait_for_changes(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> Result[Changes, StoreUnavailable | HistoryGone]:
        query = {
            'prefix': prefix,
            'after': str(after_revision),
            'waitMs': str(wait_ms),
        }
        timeout_s = (wait_ms + WATCH_SLACK_MS) / _MS_PER_S
        answer = await self._call(
            'GET', '/kv-watch', query=query, timeout_s=timeout_s
        )
        match answer:
            case Result(tag='ok', ok=raw):
                pass
            case Result(error=httpx.codes.GONE):
                return Error(HistoryGone())
            case Result(error=error):
                return Error(_unavailable(error))
        try:
            events = tuple(_event(item) for item in raw['events'])
            return Ok(Changes(events, int(raw['currentRev'])))
        except (KeyError, TypeError, ValueError) as error:
            return Error(StoreUnavailable(f'malformed changes: {error!r}'))

    async def put(self, put: Put) -> Result[int, StoreUnavailable | LeaseGone]:
        write = {
            'key': put.key,
            'value': base64.b64encode(put.value).decode(),
            'lease': put.lease,
        }
        body = {'expectedRev': [], 'writes': [write], 'deletes': []}
        match await self._call('POST', '/kv-txn', body=body):
            case Result(tag='ok', ok=raw):
                return Ok(int(raw.get('revision', 0)))
            case Result(error=httpx.codes.NOT_FOUND):
                return Error(LeaseGone())
            case Result(error=error):
                return Error(_unavailable(error))

    async def grant_lease_ms(
        self, ttl_ms: int
    ) -> Result[int, StoreUnavailable]:
        answer = await self._call('POST', '/kv-lease', body={'ttlMs': ttl_ms})
        match answer:
            case Result(tag='ok', ok={'lease': int() as lease}):
                return Ok(lease)
            case Result(tag='ok'):
                return Error(StoreUnavailable('the answer has no lease'))
            case Result(error=error):
                return Error(_unavailable(error))

    async def renew_lease(
        self, lease: int
    ) -> Result[None, StoreUnavailable | LeaseGone]:
        match await self._call('POST', f'/kv-keep/{lease}'):
            case Result(tag='ok'):
                return Ok(None)
            case Result(error=httpx.codes.NOT_FOUND):
                return Error(LeaseGone())
            case Result(error=error):
                return Error(_unavailable(error))

    async def end_lease(self, lease: int) -> Result[None, StoreUnavailable]:
        match await self._call('DELETE', f'/kv-lease-end/{lease}'):
            case Result(tag='ok') | Result(error=httpx.codes.NOT_FOUND):
                return Ok(None)
            case Result(error=error):
                return Error(_unavailable(error))

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: dict[str, Any] | None = None,
        timeout_s: float | None = None,
    ) -> Result[dict[str, Any], int | StoreUnavailable]:
        """Return the document of a 200, another status, or a failure."""
        try:
            answer = await self._client.request(
                method,
                path,
                params=query,
                json=body,
                timeout=httpx.Timeout(
                    self._timeout_s,
                    connect=min(self._timeout_s, CONNECT_TIMEOUT_S),
                    read=timeout_s or self._timeout_s,
                ),
            )
        except httpx.HTTPError as error:
            cause = f'{type(error).__name__} {error}'.strip()
            return Error(StoreUnavailable(cause))
        if answer.status_code != httpx.codes.OK:
            return Error(answer.status_code)
        if not answer.content:
            return Ok({})
        try:
            raw = json.loads(answer.content)
        except ValueError:
            return Error(StoreUnavailable('the answer is not JSON'))
        if not isinstance(raw, dict):
            return Error(StoreUnavailable('the answer is not an object'))
        return Ok(raw)


def _unavailable(error: int | StoreUnavailable) -> StoreUnavailable:
    if isinstance(error, StoreUnavailable):
        return error
    return StoreUnavailable(f'HTTP {error}')


def _value(raw: dict[str, Any]) -> StoredValue:
    try:
        value = base64.b64decode(raw.get('value') or '', validate=True)
    except binascii.Error:
        # Another writer's bytes; whoever decodes the value refuses it.
        value = b''
    return StoredValue(str(raw['key']), value, int(raw['revision']))


def _event(raw: dict[str, Any]) -> StoredValue | Removal:
    if raw.get('removed'):
        return Removal(str(raw['key']), int(raw['revision']))
    return _value(raw)
