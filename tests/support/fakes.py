"""Fakes at the ports of a node, with the faults of their originals."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import itertools
import json
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.domain.errors import StoreUnavailable
from gentianbank.storage.store import Expected
from gentianbank.storage.store import Put
from gentianbank.storage.store import Store
from gentianbank.storage.store import StoredValue
from gentianbank.targets.transport import MaybeSent
from gentianbank.targets.transport import NotSent
from gentianbank.targets.transport import RawHeaders
from gentianbank.targets.transport import SendError
from gentianbank.targets.transport import TargetAnswer
from gentianbank.targets.transport import TargetRequest
from gentianbank.targets.transport import TargetTransport
from gentianbank.targets.transport import TruncatedBodyError
from gentianbank.telemetry.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

CALL_S = 0.002
TIMEOUT_S = 1.0
LATE_S = 4.0
WATCH_S = 0.1
FILLING = b'x' * 1_000
# Pause between the parts of an answer that does not end.
FILLING_S = 0.1
# Silence of a target in the middle of an answer.
SILENCE_S = 3_600.0
# Rejections of requests that ran, in which something else speaks for a run.
DOUBTFUL_REFUSALS = (
    'answer behind refusal',
    'cut refusal',
    'refusal without end',
    'slow refusal',
)
# Failures of requests that ran, none of which says that they did not.
FAILURES_AFTER_RUN = {
    '503 after run': 503,
    '429 after run': 429,
    '408 after run': 408,
    '421 after run': 421,
}


class SilentMetrics(Metrics):
    """Counts nothing."""

    def __init__(self) -> None:
        pass

    def on_request(
        self, service: str, outcome: str, duration_ms: float
    ) -> None:
        pass

    def on_retry(self, service: str) -> None:
        pass

    def on_crossed(self, service: str) -> None:
        pass

    def on_lookup(self) -> None:
        pass


@dataclass
class FakeStore(Store):
    """A store in memory.

    Parameters
    ----------
    outage
        Calls fail after their timeout.
    slow_s
        Time added to each call.
    lose_answers
        Writes to come that take effect, but whose answers are lost.
    late_writes
        Writes to come that time out and take effect afterwards.
    """

    outage: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    late_writes: int = 0
    revisions: itertools.count[int] = field(
        default_factory=lambda: itertools.count(2)
    )
    values: dict[str, StoredValue] = field(default_factory=dict)
    leases: dict[int, float] = field(default_factory=dict)
    lease_of: dict[str, int] = field(default_factory=dict)
    ttl_s: dict[int, int] = field(default_factory=dict)
    calls: Counter[str] = field(default_factory=Counter)
    fired: Counter[str] = field(default_factory=Counter)
    wait_running: Callable[[], Awaitable[None]] | None = None

    def seen_from_elsewhere(self) -> FakeStore:
        """Return the same store with faults of its own."""
        return replace(
            self,
            outage=False,
            slow_s=0.0,
            lose_answers=0,
            late_writes=0,
            calls=Counter(),
            fired=Counter(),
        )

    async def get(
        self, key: str
    ) -> Result[StoredValue | None, StoreUnavailable]:
        error = await self._enter('get')
        return Error(error) if error else Ok(self._live(key))

    async def get_range(
        self, first: str, end: str, limit: int, *, descending: bool = False
    ) -> Result[list[StoredValue], StoreUnavailable]:
        error = await self._enter('range')
        if error:
            return Error(error)
        keys = sorted(key for key in self.values if first <= key < end)
        keys = keys[::-1] if descending else keys
        return Ok([self.values[key] for key in keys[:limit]])

    async def commit(
        self, expected: Expected | None, puts: list[Put]
    ) -> Result[bool, StoreUnavailable]:
        error = await self._enter('commit')
        if error:
            return Error(error)
        if self.late_writes:
            self.late_writes -= 1
            self.fired['late write'] += 1
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_S, self.write, expected, puts)
            await asyncio.sleep(TIMEOUT_S)
            return Error(StoreUnavailable('timeout'))
        done = self.write(expected, puts)
        if self.lose_answers:
            self.lose_answers -= 1
            self.fired['answer lost'] += 1
            return Error(StoreUnavailable('answer lost'))
        return Ok(done)

    async def grant_lease(self, ttl_s: int) -> Result[int, StoreUnavailable]:
        error = await self._enter('lease')
        if error:
            return Error(error)
        lease = len(self.ttl_s) + 1
        self.ttl_s[lease] = ttl_s
        self.leases[lease] = self._now() + ttl_s
        return Ok(lease)

    async def keep_alive(self, lease: int) -> Result[bool, StoreUnavailable]:
        error = await self._enter('lease')
        if error:
            return Error(error)
        if self.leases.get(lease, 0.0) <= self._now():
            return Ok(False)
        self.leases[lease] = self._now() + self.ttl_s[lease]
        return Ok(True)

    async def revoke(self, lease: int) -> Result[bool, StoreUnavailable]:
        error = await self._enter('lease')
        if error:
            return Error(error)
        self.leases.pop(lease, None)
        return Ok(True)

    async def watch(
        self, key: str, after_mod_revision: int
    ) -> AsyncIterator[StoredValue]:
        self.calls['watch'] += 1
        seen = after_mod_revision
        while not self.outage:
            held = self._live(key)
            if held is not None and held.mod_revision > seen:
                seen = held.mod_revision
                yield held
            await asyncio.sleep(WATCH_S)

    def write(self, expected: Expected | None, puts: list[Put]) -> bool:
        """Take effect at once."""
        if expected is not None:
            held = self._live(expected.key)
            if (held.mod_revision if held else 0) != expected.mod_revision:
                return False
        revision = next(self.revisions)
        for put in puts:
            self.values[put.key] = StoredValue(put.key, put.value, revision)
            self.lease_of[put.key] = put.lease
        return True

    def _live(self, key: str) -> StoredValue | None:
        lease = self.lease_of.get(key, 0)
        if lease and self.leases.get(lease, 0.0) <= self._now():
            self.values.pop(key, None)
        return self.values.get(key)

    async def _enter(self, name: str) -> StoreUnavailable | None:
        self.calls[name] += 1
        if self.wait_running is not None:
            await self.wait_running()
        await asyncio.sleep(CALL_S + self.slow_s)
        if self.wait_running is not None:
            await self.wait_running()
        if self.slow_s:
            self.fired['slow store'] += 1
        if self.slow_s > TIMEOUT_S:
            return StoreUnavailable('timeout')
        if not self.outage:
            return None
        self.fired['store outage'] += 1
        await asyncio.sleep(TIMEOUT_S)
        return StoreUnavailable('outage')

    def _now(self) -> float:
        return asyncio.get_event_loop().time()


class FakeAnswer(TargetAnswer):
    """An answer in memory, cut short after a number of bytes."""

    def __init__(
        self, status: int, headers: RawHeaders, body: bytes, cut: bool
    ) -> None:
        self.status = status
        self.headers = headers
        self._body = body
        self._cut = cut
        self.chunk_s = CALL_S
        self.ends = True
        # Parts of an answer that does not end, and the pause between them.
        self.filling = FILLING
        self.filling_s = 0.0

    async def chunks(self) -> AsyncIterator[bytes]:
        half = len(self._body) // 2
        yield self._body[:half]
        await asyncio.sleep(self.chunk_s)
        while not self.ends:
            yield self.filling
            if self.filling_s:
                await asyncio.sleep(self.filling_s)
        if self._cut:
            raise TruncatedBodyError('cut')
        yield self._body[half:]

    async def close(self) -> None:
        pass


@dataclass
class FakeTargets(TargetTransport):
    """Targets in memory; what was sent runs whatever the sender does.

    Parameters
    ----------
    fault
        Fault of the requests to come.
    """

    work_s: float = 0.03
    fault: str = ''
    executed: Counter[str] = field(default_factory=Counter)
    sent: Counter[str] = field(default_factory=Counter)
    fired: Counter[str] = field(default_factory=Counter)
    running: Counter[str] = field(default_factory=Counter)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def send(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, SendError]:
        fault = self.fault
        if fault:
            self.fired[fault] += 1
        if fault == 'refused connection':
            await asyncio.sleep(CALL_S)
            return Error(NotSent('refused'))
        body = b''
        if isinstance(request.body, bytes):
            body = request.body
        elif request.body is not None:
            async for chunk in request.body:
                body += chunk
        headers = {name.lower(): value for name, value in request.headers}
        echo = headers.get(b'x-request-id', b'')
        if fault == 'shed':
            await asyncio.sleep(CALL_S)
            shed = [(b'request-not-run', b'true'), (b'x-request-id', echo)]
            return Ok(FakeAnswer(503, shed, b'', False))
        late_s = LATE_S if fault == 'late run' else 0.0
        token = body.decode() or request.path.decode()
        self.sent[request.address] += 1
        task = asyncio.create_task(
            self._run(request.address, token, self.work_s + late_s)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        limit_s = request.headers_timeout_ms / 1_000
        if fault == 'lost answer':
            await asyncio.sleep(min(limit_s, TIMEOUT_S))
            return Error(MaybeSent('connection cut'))
        if late_s + self.work_s > limit_s:
            await asyncio.sleep(limit_s)
            return Error(MaybeSent('timeout'))
        await asyncio.shield(task)
        if fault == 'repeated refusal':
            shed = [(b'request-not-run', b'true')]
            return Ok(FakeAnswer(503, shed, b'', False))
        if fault in FAILURES_AFTER_RUN:
            status = FAILURES_AFTER_RUN[fault]
            return Ok(
                FakeAnswer(status, [(b'x-request-id', echo)], b'', False)
            )
        if fault == 'refusal of two':
            ids = [(b'x-request-id', echo), (b'x-request-id', b'another-id')]
            refusal = [(b'request-not-run', b'true'), *ids]
            return Ok(FakeAnswer(503, refusal, b'', False))
        if fault in DOUBTFUL_REFUSALS:
            head = [(b'request-not-run', b'true'), (b'x-request-id', echo)]
            refusal_answer = FakeAnswer(503, head, b'', fault == 'cut refusal')
            refusal_answer.is_followed = fault == 'answer behind refusal'
            if fault == 'refusal without end':
                refusal_answer.ends = False
            if fault == 'slow refusal':
                refusal_answer.chunk_s = LATE_S
            return Ok(refusal_answer)
        if fault == 'success not run':
            head = [(b'request-not-run', b'true'), (b'x-request-id', echo)]
            return Ok(FakeAnswer(200, head, b'', False))
        if fault == 'crossed answer':
            echo, token = b'another-id', 'another-token'
        answer = json.dumps({'token': token}).encode()
        head = [
            (b'content-length', str(len(answer)).encode()),
            (b'x-request-id', echo),
        ]
        found = FakeAnswer(200, head, answer, fault == 'cut answer')
        if fault == 'silent answer':
            found.chunk_s = SILENCE_S
        if fault == 'trickled answer':
            found.ends = False
            found.filling = b'x'
            found.filling_s = FILLING_S
        if fault == 'answer without end':
            found.ends = False
            found.filling_s = FILLING_S
        return Ok(found)

    async def _run(self, address: str, token: str, work_s: float) -> None:
        self.running[address] += 1
        await asyncio.sleep(work_s)
        self.running[address] -= 1
        self.executed[token] += 1
