"""HTTP client of the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass
import json
from typing import Any
from typing import TYPE_CHECKING
from urllib.parse import urlencode

from absl import logging
from expression import Error
from expression import Ok
from expression import Result

from gentianbank.domain.errors import StoreUnavailable
from gentianbank.platform.headers import decode_store_era
from gentianbank.platform.store_items import decode_event
from gentianbank.platform.store_items import decode_value
from gentianbank.policy.store_era import EraChange
from gentianbank.policy.store_era import StoreEra
from gentianbank.storage.prefix_store import Changes
from gentianbank.storage.prefix_store import ChangesTooLarge
from gentianbank.storage.prefix_store import HistoryCompacted
from gentianbank.storage.prefix_store import LeaseExpired
from gentianbank.storage.prefix_store import Listing
from gentianbank.storage.prefix_store import MAX_CHANGES_BYTES
from gentianbank.storage.prefix_store import PrefixStore
from gentianbank.targets.transport import ConnectionLost
from gentianbank.targets.transport import MaybeSent
from gentianbank.targets.transport import TargetRequest
from gentianbank.targets.whole_body import BodyLimits
from gentianbank.targets.whole_body import BodyLost
from gentianbank.targets.whole_body import BodyTooLarge
from gentianbank.targets.whole_body import read_body

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.storage.prefix_store import WatchError
    from gentianbank.storage.store import Put
    from gentianbank.storage.store import StoredValue
    from gentianbank.targets.transport import SendError
    from gentianbank.targets.transport import TargetAnswer
    from gentianbank.targets.transport import TargetTransport

MAX_PAGES = 10_000
# Calls for a page of a listing that is not the first.
LATER_PAGE_ATTEMPTS = 3
PAGE_RETRY_MS = 200.0
MAX_CONNECTIONS = 8
CONNECT_TIMEOUT_MS = 500.0
# Several times a page of a listing.
MAX_ANSWER_BYTES = 32 * 1024 * 1024
# A hundredth of the slowest links that nodes have, which callers share.
MIN_BYTES_PER_S = 6 * 1024
_HTTP_OK = 200
_HTTP_NOT_FOUND = 404
_HTTP_GONE = 410
_MS_PER_S = 1_000
# Raised by the conversion of a malformed answer.
_MALFORMED = (
    AttributeError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)


@dataclass(frozen=True, slots=True)
class _Document:
    """The document of an answer, its transfer time and the store's era."""

    raw: dict[str, Any]
    transfer_ms: float
    era: int


# A number is the status of an answer.
_CallError = int | StoreUnavailable | BodyTooLarge


class PlatformStore(PrefixStore):
    """Client of the platform's store.

    Parameters
    ----------
    address
        Address of the store, as ``IP:port``.
    timeout_ms
        Time until the head of an answer, beyond the wait that a watch asks
        for, and longest silence within its body.
    transport
        HTTP client that holds the connections to the store.
    on_call
        Called with the name and the outcome of each call; the outcome is
        the HTTP status or ``no answer``.
    """

    def __init__(
        self,
        address: str,
        timeout_ms: int,
        transport: TargetTransport,
        on_call: Callable[[str, str], None],
    ) -> None:
        self._address = address
        self._timeout_ms = float(timeout_ms)
        self._transport = transport
        self._on_call = on_call
        self._era = StoreEra()
        self._has_unreadable_era = False
        # Those that wait. They end when the store was restored, or when
        # another call gets no answer: the connections of all may be dead.
        self._watches: set[asyncio.Timeout] = set()

    async def list_prefix(
        self, prefix: str
    ) -> Result[Listing, StoreUnavailable]:
        values: list[StoredValue] = []
        revision = 0
        after = ''
        loop = asyncio.get_running_loop()
        first_answer_s: float | None = None
        first_era = 0
        for _ in range(MAX_PAGES):
            match await self._read_page(prefix, after):
                case Result(tag='ok', ok=_Document(raw, transfer_ms, era)):
                    pass
                case Result(error=error):
                    return Error(error)
            if first_answer_s is None:
                first_answer_s = loop.time() - transfer_ms / _MS_PER_S
                first_era = era
            if era != first_era:
                cause = 'the store was restored between pages'
                return Error(StoreUnavailable(cause))
            try:
                page = [decode_value(item) for item in raw['items']]
                has_more = bool(raw.get('hasMore', False))
                revision = revision or int(raw['currentRev'])
            except _MALFORMED as error:
                return Error(StoreUnavailable(f'malformed page: {error!r}'))
            values += page
            if not has_more or not page:
                listing_ms = (loop.time() - first_answer_s) * _MS_PER_S
                return Ok(Listing(tuple(values), revision, listing_ms, era))
            after = page[-1].key
        return Error(StoreUnavailable(f'more than {MAX_PAGES} pages'))

    async def _read_page(
        self, prefix: str, after: str
    ) -> Result[_Document, StoreUnavailable]:
        """Read a page; a later one is asked for again, as others are held."""
        query = {'prefix': prefix}
        if after:
            query['after'] = after
        attempts = LATER_PAGE_ATTEMPTS if after else 1
        for attempt in range(attempts):
            if attempt:
                await asyncio.sleep(PAGE_RETRY_MS / _MS_PER_S)
            match await self._call('GET', '/kv-range', query=query):
                case Result(tag='ok', ok=document):
                    return Ok(document)
                case Result(error=error):
                    pass
        return Error(_to_unavailable(error))

    async def wait_for_changes(
        self,
        prefix: str,
        after_revision: int,
        wait_ms: int,
        max_bytes: int = MAX_CHANGES_BYTES,
    ) -> Result[Changes, WatchError]:
        query = {
            'prefix': prefix,
            'after': str(after_revision),
            'waitMs': str(wait_ms),
        }
        era = self._era.current
        try:
            async with asyncio.timeout(None) as watch:
                self._watches.add(watch)
                answer = await self._call(
                    'GET',
                    '/kv-watch',
                    query=query,
                    wait_ms=wait_ms,
                    max_bytes=max_bytes,
                )
        except TimeoutError:
            if era == self._era.current:
                self._on_call('kv-watch', 'no answer')
                return Error(StoreUnavailable('another call got no answer'))
            self._on_call('kv-watch', 'restored')
            return Error(HistoryCompacted())
        finally:
            self._watches.discard(watch)
        match answer:
            case Result(tag='ok', ok=_Document(raw, transfer_ms, era)):
                pass
            case Result(error=error) if error == _HTTP_GONE:
                return Error(HistoryCompacted())
            case Result(error=BodyTooLarge()):
                return Error(ChangesTooLarge())
            case Result(error=error):
                return Error(_to_unavailable(error))
        try:
            events = tuple(decode_event(item) for item in raw['events'])
            revision = int(raw['currentRev'])
            return Ok(Changes(events, revision, transfer_ms, era))
        except _MALFORMED as error:
            return Error(StoreUnavailable(f'malformed changes: {error!r}'))

    async def put(
        self, put: Put
    ) -> Result[int, StoreUnavailable | LeaseExpired]:
        write = {
            'key': put.key,
            'value': base64.b64encode(put.value).decode(),
            'lease': put.lease,
        }
        body = {'expectedRev': [], 'writes': [write], 'deletes': []}
        match await self._call('POST', '/kv-txn', body=body):
            case Result(
                tag='ok', ok=_Document({'revision': int() as revision})
            ):
                return Ok(revision)
            case Result(tag='ok'):
                # The write was accepted, whatever the answer says of it.
                return Ok(0)
            case Result(error=error) if error == _HTTP_NOT_FOUND:
                return Error(LeaseExpired())
            case Result(error=error):
                return Error(_to_unavailable(error))

    async def grant_lease_ms(
        self, ttl_ms: int
    ) -> Result[int, StoreUnavailable]:
        answer = await self._call('POST', '/kv-lease', body={'ttlMs': ttl_ms})
        match answer:
            case Result(tag='ok', ok=_Document({'lease': int() as lease})):
                return Ok(lease)
            case Result(tag='ok'):
                return Error(StoreUnavailable('the answer has no lease'))
            case Result(error=error):
                return Error(_to_unavailable(error))

    async def renew_lease(
        self, lease: int
    ) -> Result[None, StoreUnavailable | LeaseExpired]:
        match await self._call('POST', f'/kv-keep/{lease}'):
            case Result(tag='ok'):
                return Ok(None)
            case Result(error=error) if error == _HTTP_NOT_FOUND:
                return Error(LeaseExpired())
            case Result(error=error):
                return Error(_to_unavailable(error))

    async def end_lease(self, lease: int) -> Result[None, StoreUnavailable]:
        match await self._call('DELETE', f'/kv-lease-end/{lease}'):
            case Result(tag='ok'):
                return Ok(None)
            case Result(error=error) if error == _HTTP_NOT_FOUND:
                return Ok(None)
            case Result(error=error):
                return Error(_to_unavailable(error))

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: dict[str, Any] | None = None,
        wait_ms: float = 0,
        max_bytes: int | None = None,
    ) -> Result[_Document, _CallError]:
        """Return the document of a 200 answer, another status or an error."""
        request = self._build_request(method, path, query, body, wait_ms)
        call = self._era.begin_call()
        match await self._transport.send(request):
            case Result(tag='ok', ok=answer):
                result = await self._read_answer(
                    call, answer, max_bytes or MAX_ANSWER_BYTES
                )
                outcome = str(answer.status)
            case Result(error=failure):
                if _is_silence(failure):
                    self._end_watches()
                result = Error(StoreUnavailable(failure.cause))
                outcome = 'no answer'
        self._on_call(path.split('/')[1], outcome)
        return result

    def _check_era(self, call: int, answer: TargetAnswer) -> EraChange:
        """Note the era that an answer states; a change ends all watches."""
        was = self._era.current
        stated = decode_store_era(answer.headers)
        change = self._era.on_answer(call, stated)
        if change is EraChange.OUTDATED:
            logging.info(
                'answer of an earlier era of the store not used',
                extra={'era': stated, 'current': was},
            )
        elif change is not EraChange.NONE:
            logging.warning(
                'era of the store changed', extra={'era': stated, 'was': was}
            )
            self._end_watches()
        elif stated is None and was and not self._has_unreadable_era:
            self._has_unreadable_era = True
            logging.warning(
                'answer of the store without its era', extra={'era': was}
            )
        return change

    def _end_watches(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for watch in self._watches:
            if not watch.expired():
                watch.reschedule(now_s)

    def _build_request(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None,
        body: dict[str, Any] | None,
        wait_ms: float,
    ) -> TargetRequest:
        target = f'{path}?{urlencode(query)}' if query else path
        headers = [(b'host', self._address.encode())]
        data = None
        if method == 'POST':
            data = json.dumps(body).encode() if body is not None else b''
            headers.append((b'content-type', b'application/json'))
            headers.append((b'content-length', str(len(data)).encode()))
        return TargetRequest(
            address=self._address,
            method=method,
            path=target.encode(),
            headers=headers,
            body=data,
            max_connections=MAX_CONNECTIONS,
            connect_timeout_ms=min(self._timeout_ms, CONNECT_TIMEOUT_MS),
            headers_timeout_ms=self._timeout_ms + wait_ms,
        )

    async def _read_answer(
        self, call: int, answer: TargetAnswer, max_bytes: int
    ) -> Result[_Document, _CallError]:
        if self._check_era(call, answer) is EraChange.OUTDATED:
            await answer.close()
            return Error(StoreUnavailable('the answer is of an earlier era'))
        era = self._era.current
        limits = BodyLimits(
            silence_ms=self._timeout_ms,
            min_bytes_per_s=MIN_BYTES_PER_S,
            max_bytes=max_bytes,
        )
        read = await read_body(answer, limits)
        if answer.status != _HTTP_OK:
            # Its body is not needed, however much of it has come.
            return Error(answer.status)
        match read:
            case Result(tag='ok', ok=body):
                pass
            case Result(error=BodyLost(cause)):
                return Error(StoreUnavailable(cause))
            case Result(error=BodyTooLarge() as too_large):
                return Error(too_large)
        try:
            raw = json.loads(body.data or b'{}')
        except (ValueError, RecursionError):
            return Error(StoreUnavailable('the answer is not JSON'))
        if not isinstance(raw, dict):
            return Error(StoreUnavailable('the answer is not an object'))
        return Ok(_Document(raw, body.transfer_ms, era))


def _is_silence(failure: SendError) -> bool:
    """Return whether nothing came on a connection that did not end."""
    return isinstance(failure, MaybeSent) and not isinstance(
        failure, ConnectionLost
    )


def _to_unavailable(error: _CallError) -> StoreUnavailable:
    if isinstance(error, StoreUnavailable):
        return error
    if isinstance(error, BodyTooLarge):
        cause = f'the answer is over {MAX_ANSWER_BYTES} bytes'
        return StoreUnavailable(cause)
    return StoreUnavailable(f'HTTP {error}')
