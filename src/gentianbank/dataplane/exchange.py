"""HTTP request and answer of one caller, over ASGI."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gentianbank.policy.buffer_budget import Budget
    from gentianbank.targets.transport import RawHeaders

ASGIMessage = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[ASGIMessage]]
SendMessage = Callable[[ASGIMessage], Awaitable[None]]
# Name of the ASGI extension by which the server passes a request's turn.
TURN_EXTENSION = 'gentianbank.turn'


class CallerDisconnectedError(Exception):
    """The caller closed the connection before the exchange ended."""


class Turn(Protocol):
    """Place of a request among those of its connection."""

    def try_begin(self, *, runs_once: bool) -> bool:
        """Return whether the request may be passed on now."""

    async def wait_begin(self) -> bool:
        """Wait until the request may be passed on; false if it is dropped."""

    def try_answer(self) -> bool:
        """Return whether its answer may be sent now."""

    async def wait_answer(self) -> bool:
        """Wait until its answer is next; false if it is dropped."""

    def answer_budget(self, budget: Budget) -> Budget:
        """Return the budget for the part of its answer that is held."""


class Exchange:
    """Reads one request from a caller and writes the answer to it.

    Parameters
    ----------
    scope, receive, send
        Arguments that the ASGI server calls the application with.
    """

    def __init__(
        self, scope: ASGIMessage, receive: Receive, send: SendMessage
    ) -> None:
        self.method: str = scope['method']
        self.raw_headers: RawHeaders = scope['headers']
        self.client = (scope.get('client') or ('',))[0]
        query = scope.get('query_string', b'')
        path: bytes = scope.get('raw_path') or scope['path'].encode()
        self.path = path.partition(b'?')[0] + (b'?' + query if query else b'')
        self.answer_started = False
        self._receive = receive
        self._send = send
        self._body_read = False
        self._turn: Turn | None = (scope.get('extensions') or {}).get(
            TURN_EXTENSION
        )

    def header(self, name: bytes) -> str | None:
        """Return the value of a header, by its lower-case name."""
        for key, value in self.raw_headers:
            if key == name:
                return value.decode('latin-1')
        return None

    @property
    def has_body(self) -> bool:
        """Return whether the head of the request announces a body."""
        if self.header(b'transfer-encoding'):
            return True
        return (self.header(b'content-length') or '0') != '0'

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body of the request in chunks.

        Raises
        ------
        CallerDisconnectedError
            If the caller disconnects before the body ends.
        """
        while not self._body_read:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                raise CallerDisconnectedError
            self._body_read = not message.get('more_body', False)
            chunk: bytes = message.get('body', b'')
            if chunk:
                yield chunk

    async def wait_disconnect(self) -> None:
        """Wait until the caller closes the connection."""
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                return

    def try_begin(self, *, runs_once: bool) -> bool:
        """Return whether the request may be passed on to a target now.

        Parameters
        ----------
        runs_once
            Whether the request may run only once. If so, it waits until no
            earlier answer is owed on its connection.
        """
        return self._turn is None or self._turn.try_begin(runs_once=runs_once)

    async def wait_begin(self) -> None:
        """Wait until the request may be passed on to a target.

        Raises
        ------
        CallerDisconnectedError
            If the connection ends or closes first.
        """
        if self._turn is None:
            return
        if not await self._turn.wait_begin():
            raise CallerDisconnectedError

    async def wait_answer(self) -> None:
        """Wait until all earlier answers on the connection are sent.

        Raises
        ------
        CallerDisconnectedError
            If the connection ends or closes first.
        """
        if self._turn is None or self._turn.try_answer():
            return
        if not await self._turn.wait_answer():
            raise CallerDisconnectedError

    def answer_budget(self, budget: Budget) -> Budget:
        """Return the budget for the part of the answer that is held.

        It is smaller than the given one while an earlier answer is owed.
        """
        return (
            budget if self._turn is None else self._turn.answer_budget(budget)
        )

    async def start(self, status: int, headers: RawHeaders) -> None:
        """Send the head of the answer."""
        self.answer_started = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body; waits while the caller reads slowly."""
        await self._send(
            {'type': 'http.response.body', 'body': chunk, 'more_body': True}
        )

    async def finish(self, chunk: bytes = b'') -> None:
        """Send the last chunk of the body, which ends the answer."""
        await self._send({'type': 'http.response.body', 'body': chunk})

    async def answer(
        self, status: int, headers: RawHeaders, body: bytes
    ) -> None:
        """Send a whole answer."""
        length = (b'content-length', str(len(body)).encode())
        await self.start(status, [*headers, length])
        await self.finish(body)


async def run_until_disconnect(
    exchange: Exchange,
    work: Awaitable[None],
    wait_body_read: Callable[[], Awaitable[None]] | None = None,
) -> bool:
    """Run work, and cancel it if the caller disconnects first.

    Parameters
    ----------
    wait_body_read
        Waits until the body of the request has been read; ``None`` if there
        is none. What the caller sends after that is discarded.

    Returns
    -------
    bool
        Whether the work finished.
    """
    worker = asyncio.ensure_future(work)

    async def watch() -> None:
        if wait_body_read is not None:
            await wait_body_read()
        await exchange.wait_disconnect()

    watcher = asyncio.ensure_future(watch())
    try:
        await asyncio.wait(
            (worker, watcher), return_when=asyncio.FIRST_COMPLETED
        )
        if not worker.done():
            return False
        worker.result()
        return True
    finally:
        for task in (worker, watcher):
            task.cancel()
        await asyncio.gather(worker, watcher, return_exceptions=True)
