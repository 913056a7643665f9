"""Stand-in for targets on the users' platform, with their faults."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import Any

QUEUE_PER_SLOT = 3
HEALTH_PATH = '/health'
# Chunks of an answer without end that are sent at once, and the pause then.
ENDLESS_BATCH = 500
ENDLESS_PAUSE_S = 0.005
_MS_PER_S = 1_000


@dataclass
class TargetFaults:
    """Faults of one target, each off by default.

    Parameters
    ----------
    slow_factor
        Times by which work takes longer.
    lose_next
        Requests that run, but whose connection then breaks.
    refuse_next
        Requests that are rejected as not run.
    limit_per_s
        Limit that answers name on the requests of all nodes; 0 for none.
    slowdown
        Slowdown in the load reports, in percent, as it is written.
    endless_next
        Requests that run, but whose answers go on until the caller closes.
    fail_next
        Requests that run and are answered ``failure_status``, which does not
        say that they did not.
    says_leaving
        Whether each answer says that the target leaves.
    """

    slow_factor: float = 1.0
    lose_next: int = 0
    refuse_next: int = 0
    limit_per_s: float = 0.0
    slowdown: str = '100'
    endless_next: int = 0
    fail_next: int = 0
    failure_status: int = 503
    says_leaving: bool = False


@dataclass(frozen=True, slots=True)
class TargetEvent:
    """A request that reached a target, or an answer that told of its state.

    Parameters
    ----------
    born
        Which start of the target it belongs to.
    """

    time_s: float
    target_id: str
    request_id: str
    born: int = 1


@dataclass(frozen=True, slots=True)
class LimitPeriod:
    """Time in which the answers of a target named a limit."""

    target_id: str
    limit_per_s: float
    begin_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class ColdPeriod:
    """Time in which a target was cold after it had started again."""

    target_id: str
    allowed_per_s: float
    begin_s: float
    end_s: float


@dataclass
class Journal:
    """What all targets have run.

    Parameters
    ----------
    runs
        How often each request ran, by its id.
    running
        Requests that run now, by the target's id.
    late
        Requests that came after their target was to get none.
    arrivals, limits_named
        Requests that reached targets, and answers that named limits.
    leaving_said
        Answers to callers' requests that said that their target leaves.
    limit_periods
        Times in which limits were named.
    cold_periods
        Times in which targets were cold.
    """

    runs: Counter[str] = field(default_factory=Counter)
    running: Counter[str] = field(default_factory=Counter)
    late: list[str] = field(default_factory=list)
    arrivals: list[TargetEvent] = field(default_factory=list)
    limits_named: list[TargetEvent] = field(default_factory=list)
    leaving_said: list[TargetEvent] = field(default_factory=list)
    limit_periods: list[LimitPeriod] = field(default_factory=list)
    cold_periods: list[ColdPeriod] = field(default_factory=list)


@dataclass
class UsersTarget:
    """An ASGI application that behaves like a target.

    Parameters
    ----------
    closed_s
        Time of the loop after which no request may come; 0 for never.
    cold_until_s
        Time of the loop until which the target is cold.
    born
        Which start of the target it is.
    """

    target_id: str
    service: str
    slots: int
    work_ms: float
    journal: Journal
    faults: TargetFaults = field(default_factory=TargetFaults)
    closed_s: float = 0.0
    cold_until_s: float = 0.0
    born: int = 1
    _waiting: int = 0
    _running: int = 0
    _free: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        headers = {k.decode(): v.decode() for k, v in scope['headers']}
        body = await _read(receive)
        if body is None:
            return
        if scope['path'] == HEALTH_PATH:
            left_s = self.cold_until_s - asyncio.get_running_loop().time()
            status = {
                'instance-id': self.target_id,
                'cold-ms': str(max(0, round(left_s * _MS_PER_S))),
            }
            healthy = not self.faults.says_leaving
            await self._answer(send, 200 if healthy else 503, status)
            return
        request_id = headers.get('request-id', '')
        if headers.get('expect-instance') != self.target_id:
            await self._reject(send, 421, request_id)
            return
        arrival = self._event(request_id)
        self.journal.arrivals.append(arrival)
        if self.closed_s and arrival.time_s > self.closed_s:
            self.journal.late.append(request_id)
        full = self._waiting >= self.slots * QUEUE_PER_SLOT
        if self.faults.refuse_next or full:
            self.faults.refuse_next = max(0, self.faults.refuse_next - 1)
            await self._reject(send, 503, request_id)
            return
        left_s = float(headers.get('deadline-ms', 1e9)) / _MS_PER_S
        await self._serve(receive, send, request_id, body, left_s)

    async def _serve(
        self,
        receive: Any,
        send: Any,
        request_id: str,
        body: bytes,
        left_s: float,
    ) -> None:
        gone = asyncio.create_task(_wait_gone(receive))
        work = asyncio.create_task(self._work(request_id, left_s))
        try:
            await asyncio.wait(
                (gone, work), return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                return
            if not work.result():
                await self._reject(send, 503, request_id)
                return
            if self.faults.endless_next:
                self.faults.endless_next -= 1
                await self._answer_without_end(send, request_id, gone)
                return
            cut = self.faults.lose_next > 0
            self.faults.lose_next -= cut
            stamp = f'{self.target_id}.{request_id}'
            if self.faults.fail_next:
                self.faults.fail_next -= 1
                head = {'request-id': request_id, 'server-stamp': stamp}
                await self._answer(send, self.faults.failure_status, head)
                return
            await self._answer(
                send,
                200,
                {'request-id': request_id, 'server-stamp': stamp},
                stamp.encode() + b'/' + body,
                cut=cut,
            )
        finally:
            gone.cancel()
            work.cancel()
            await asyncio.gather(gone, work, return_exceptions=True)

    async def _work(self, request_id: str, left_s: float) -> bool:
        """Wait for a slot and run; tell whether the request ran."""
        self._waiting += 1
        try:
            async with asyncio.timeout(left_s), self._free:
                await self._free.wait_for(lambda: self._running < self.slots)
                self._running += 1
        except TimeoutError:
            return False
        finally:
            self._waiting -= 1
        self.journal.runs[request_id] += 1
        target_id = self.target_id
        self.journal.running[target_id] += 1
        try:
            work_ms = self.work_ms * self.faults.slow_factor
            await asyncio.sleep(work_ms / _MS_PER_S)
        finally:
            self.journal.running[target_id] -= 1
            self._running -= 1
            async with self._free:
                self._free.notify()
        return True

    async def _answer_without_end(
        self, send: Any, request_id: str, gone: asyncio.Task[None]
    ) -> None:
        """Send chunks of one byte until the caller closes."""
        stamp = f'{self.target_id}.{request_id}'
        headers = {'request-id': request_id, 'server-stamp': stamp}
        headers |= self._leaving_header(request_id)
        head = [(k.encode(), v.encode()) for k, v in headers.items()]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': head}
        )
        while not gone.done():
            for _ in range(ENDLESS_BATCH):
                await send(
                    {
                        'type': 'http.response.body',
                        'body': b'x',
                        'more_body': True,
                    }
                )
            await asyncio.sleep(ENDLESS_PAUSE_S)

    async def _reject(self, send: Any, status: int, request_id: str) -> None:
        headers = {'request-id': request_id, 'not-executed': '1'}
        await self._answer(send, status, headers)

    async def _answer(
        self,
        send: Any,
        status: int,
        headers: dict[str, str],
        body: bytes = b'',
        *,
        cut: bool = False,
    ) -> None:
        load = f'{self._running},{self._waiting},{self.slots},'
        load += self.faults.slowdown
        pairs = headers | {
            'server-load': load,
            'content-length': str(len(body)),
        }
        request_id = headers.get('request-id', '')
        if self.faults.limit_per_s:
            pairs['server-limit'] = f'{self.faults.limit_per_s:g}'
            self.journal.limits_named.append(self._event(request_id))
        pairs |= self._leaving_header(request_id)
        head = [(k.encode(), v.encode()) for k, v in pairs.items()]
        await send(
            {'type': 'http.response.start', 'status': status, 'headers': head}
        )
        if cut:
            raise ConnectionError('the answer is cut')
        await send({'type': 'http.response.body', 'body': body})

    def _leaving_header(self, request_id: str) -> dict[str, str]:
        """Return the header that says so if the target leaves."""
        if not self.faults.says_leaving:
            return {}
        if request_id:
            self.journal.leaving_said.append(self._event(request_id))
        return {'server-leaving': '1'}

    def _event(self, request_id: str) -> TargetEvent:
        now_s = asyncio.get_running_loop().time()
        return TargetEvent(now_s, self.target_id, request_id, self.born)


async def _read(receive: Any) -> bytes | None:
    data: bytes = b''
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return None
        data += message.get('body', b'')
        if not message.get('more_body', False):
            return data


async def _wait_gone(receive: Any) -> None:
    while (await receive())['type'] != 'http.disconnect':
        continue
