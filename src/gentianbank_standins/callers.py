"""Stand-in for callers: they cache look-ups and check every answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
import enum
import json
import random
import secrets
import ssl
import time
from typing import Any

import httpx

MAX_TRIES = 3
TIMEOUT_S = 20.0
LOOKUP_TIMEOUT_S = 2.0
_MS_PER_S = 1_000
_SSL = ssl.create_default_context()


class Verdict(enum.Enum):
    """How a call ended, as its caller sees it."""

    ANSWERED = 'answered'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'
    CUT = 'cut'
    CROSSED = 'crossed'


@dataclass
class Call:
    """One call and its end.

    Parameters
    ----------
    token
        Unique text that the answer must bear.
    entries
        Entry VMs that were tried.
    """

    service: str
    token: str
    verdict: Verdict
    duration_ms: float
    entries: list[str] = field(default_factory=list)
    detail: str = ''


@dataclass
class Entry:
    """An entry VM of a look-up's answer."""

    vm: str
    address: str
    incarnation: str
    epoch: int
    weight_percent: int


@dataclass
class _Cached:
    entries: list[Entry]
    until_s: float


class Caller:
    """A caller with a cache of look-ups.

    Parameters
    ----------
    client
        Address that the caller asks for.
    seeds
        HTTP addresses of nodes that are asked first.
    delay_ms
        One-way delay to the nodes.
    """

    def __init__(
        self, client: str, seeds: list[str], delay_ms: float, seed: int
    ) -> None:
        self._client = client
        self._seeds = seeds
        self._delay_s = delay_ms / _MS_PER_S
        self._random = random.Random(seed)
        self._cached = _Cached([], 0.0)
        self._http = httpx.AsyncClient(
            verify=_SSL,
            timeout=httpx.Timeout(TIMEOUT_S, connect=1.0),
            limits=httpx.Limits(max_connections=None),
            trust_env=False,
        )
        self.calls: list[Call] = []

    async def close(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def read(
        self, service: str, path: str, size: int = 0, read_rate: float = 0.0
    ) -> Call:
        """Make an idempotent call.

        Parameters
        ----------
        size
            Bytes that the answer must have; 0 for a small document.
        read_rate
            Bytes per second at which the answer is read; 0 for no limit.
        """
        token = secrets.token_hex(8)
        started_s = time.monotonic()
        call = Call(service, token, Verdict.UNKNOWN, 0.0)
        for _ in range(MAX_TRIES):
            entry = await self._choose(call)
            if entry is None:
                continue
            url = f'http://{entry.address}/services/{service}{path}'
            await self._try_read(call, f'{url}?token={token}', size, read_rate)
            if call.verdict is not Verdict.UNKNOWN:
                break
            self._cached.until_s = 0.0
        return self._end(call, started_s)

    async def order(self, service: str, path: str) -> Call:
        """Make a call that must run at most once, with a scoped key."""
        token = secrets.token_hex(8)
        started_s = time.monotonic()
        call = Call(service, token, Verdict.UNKNOWN, 0.0)
        key = ''
        for _ in range(MAX_TRIES):
            entry = await self._choose(call)
            if entry is None:
                continue
            key = key or f'{entry.incarnation}.{entry.epoch}.{token}'
            url = f'http://{entry.address}/services/{service}{path}'
            await self._try_order(call, url, key)
            if call.verdict in (Verdict.ANSWERED, Verdict.NOT_RUN):
                break
            self._cached.until_s = 0.0
        return self._end(call, started_s)

    def _end(self, call: Call, started_s: float) -> Call:
        call.duration_ms = (time.monotonic() - started_s) * _MS_PER_S
        self.calls.append(call)
        return call

    async def _choose(self, call: Call) -> Entry | None:
        if time.monotonic() >= self._cached.until_s:
            await self._look_up()
        untried = [
            entry
            for entry in self._cached.entries
            if entry.vm not in call.entries
        ]
        if not untried:
            return None
        weights = [entry.weight_percent + 1e-6 for entry in untried]
        entry = self._random.choices(untried, weights)[0]
        call.entries.append(entry.vm)
        return entry

    async def _look_up(self) -> None:
        nodes = [entry.address for entry in self._cached.entries]
        for address in (*nodes, *self._random.sample(self._seeds, 3)):
            url = f'http://{address}/lookup'
            try:
                await asyncio.sleep(2 * self._delay_s)
                answer = await self._http.get(
                    url,
                    params={'client': self._client},
                    timeout=LOOKUP_TIMEOUT_S,
                )
                answer.raise_for_status()
            except httpx.HTTPError:
                continue
            document = answer.json()
            entries = [_entry(item) for item in document['entries']]
            until_s = time.monotonic() + document['cache_ms'] / _MS_PER_S
            self._cached = _Cached(entries, until_s)
            return

    async def _try_read(
        self, call: Call, url: str, size: int, read_rate: float
    ) -> None:
        begun = False
        try:
            await asyncio.sleep(2 * self._delay_s)
            async with self._http.stream('GET', url) as answer:
                if answer.status_code != httpx.codes.OK:
                    _take_refusal(call, await answer.aread())
                    return
                begun = True
                await _check_body(call, answer, size, read_rate)
        except httpx.HTTPError as error:
            call.detail = type(error).__name__
            call.verdict = Verdict.CUT if begun else Verdict.UNKNOWN

    async def _try_order(self, call: Call, url: str, key: str) -> None:
        try:
            await asyncio.sleep(2 * self._delay_s)
            answer = await self._http.post(
                f'{url}?token={call.token}',
                content=call.token.encode(),
                headers={'idempotency-key': key},
            )
        except httpx.HTTPError as error:
            call.detail = type(error).__name__
            call.verdict = Verdict.UNKNOWN
            return
        if answer.status_code != httpx.codes.OK:
            _take_refusal(call, answer.content)
            return
        crossed = answer.json()['token'] != call.token
        call.verdict = Verdict.CROSSED if crossed else Verdict.ANSWERED


async def _check_body(
    call: Call, answer: httpx.Response, size: int, read_rate: float
) -> None:
    started_s = time.monotonic()
    received = 0
    first = b''
    async for chunk in answer.aiter_raw():
        received += len(chunk)
        first = first or chunk
        if read_rate:
            due_s = started_s + received / read_rate
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
    token = call.token.encode()
    if size:
        whole = received == size and first.startswith(token)
    else:
        whole = json.loads(first)['token'] == call.token
    call.verdict = Verdict.ANSWERED if whole else Verdict.CROSSED


def _take_refusal(call: Call, body: bytes) -> None:
    try:
        document: dict[str, Any] = json.loads(body)
    except ValueError:
        document = {}
    call.detail = str(document.get('detail', body[:100]))
    not_run = document.get('outcome') == 'not-run'
    call.verdict = Verdict.NOT_RUN if not_run else Verdict.UNKNOWN


def _entry(item: dict[str, Any]) -> Entry:
    return Entry(
        item['vm'],
        item['address'],
        item['incarnation'],
        item['epoch'],
        item['weight_percent'],
    )
