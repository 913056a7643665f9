"""Stand-in for upstreams, which run requests in slots."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from http1 import Answer
from http1 import Request

QUEUE_PER_SLOT = 3


class Upstream:
    """One upstream.

    Parameters
    ----------
    respond
        Builds the successful answer of a request.
    record
        Takes one line about what was run.
    """

    def __init__(
        self,
        name: str,
        *,
        slots: int,
        work_s: float,
        respond: Callable[[Upstream, Request], Answer],
        record: Callable[[str], None],
    ) -> None:
        self.name = name
        self.slots = slots
        self.runs: Counter[str] = Counter()
        self.answered = 0
        self._work_s = work_s
        self._respond = respond
        self._record = record
        self._running = 0
        self._waiting = 0
        self._slots = asyncio.Semaphore(slots)

    @property
    def load(self) -> str:
        """Return the value of the Server-Load header."""
        return f'{self._running},{self._waiting},{self.slots},100'

    async def handle(self, request: Request) -> Answer | None:
        """Serve one request."""
        if request.path == '/health':
            return Answer(
                200, {'Instance-Id': self.name, 'Server-Load': self.load}
            )
        request_id = request.headers.get('request-id', '')
        base = {'Request-Id': request_id, 'Server-Load': self.load}
        if request.headers.get('expect-instance') != self.name:
            return Answer(421, base | {'Instance-Id': self.name})
        if self._waiting >= self.slots * QUEUE_PER_SLOT:
            return Answer(503, base | {'Not-Executed': '1'})
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            self.runs[request_id] += 1
            self._record(f'run {request_id} at {self.name}')
            await asyncio.sleep(self._work_s)
        finally:
            self._running -= 1
            self._slots.release()
        self.answered += 1
        return self._respond(self, request)

    def headers_for(self, request: Request) -> dict[str, str]:
        """Return the headers of a success."""
        request_id = request.headers.get('request-id', '')
        return {
            'Request-Id': request_id,
            'Server-Stamp': f'{self.name}.{request_id}',
            'Server-Load': self.load,
        }
