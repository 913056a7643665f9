"""A caller's connection with requests sent ahead, over a scripted app."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import TYPE_CHECKING

import httptools
import uvicorn
from uvicorn.server import ServerState

from gentianbank.dataplane.exchange import CallerDisconnectedError
from gentianbank.dataplane.exchange import Exchange
from gentianbank.dataplane.exchange import run_until_disconnect
from gentianbank.dataplane.pipelining import AheadNode
from gentianbank.dataplane.pipelining import PipeliningProtocol
from gentianbank.policy.answer_order import AheadCount
from gentianbank.policy.buffer_budget import BufferBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.support.virtual_loop import VirtualLoop

MAX_PER_CONNECTION = 4
HELD_BYTES = 1 << 20
# Turns of the loop after which nothing more happens by itself.
_SETTLE_TURNS = 40
_CLOSE = (b'connection', b'close')


class FakeTransport(asyncio.Transport):
    """Keeps what is written, and reports its end to the protocol."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop
        self.protocol: Any = None
        self.written = b''
        self.closing = False
        self.reading = True

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def write(self, data: Any) -> None:
        if not self.closing:
            self.written += data

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self._loop.call_soon(self.protocol.connection_lost, None)

    def write_eof(self) -> None:
        """End the stream; the caller then closes as well."""
        self.close()

    def abort(self) -> None:
        self.close()

    def get_write_buffer_size(self) -> int:
        """Return 0, as the caller gets at once what is written."""
        return 0

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True


@dataclass
class Run:
    """One request at the app.

    Parameters
    ----------
    result
        What the target does: ``'answer'`` or ``'cut'``.
    expired
        Set when the deadline passes before the request begins.
    """

    path: str
    result: asyncio.Future[str]
    expired: asyncio.Event = field(default_factory=asyncio.Event)
    begun: bool = False
    ended: bool = False
    cancelled: bool = False


class ScriptedApp:
    """Passes requests on to targets as the proxy does.

    ``/order/`` may run only once, ``/read/`` may be repeated, anything else
    is answered 404.
    """

    def __init__(self) -> None:
        self.runs: dict[str, Run] = {}
        self.stopping = False
        # Body of each success; the path of its request if empty.
        self.body = b''
        self.on_begin: Callable[[Run], None] = lambda run: None

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        exchange = Exchange(scope, receive, send)
        path = exchange.path.decode()
        run = Run(path, asyncio.get_running_loop().create_future())
        self.runs[path] = run
        try:
            async for _ in exchange.body():
                pass
            if not path.startswith(('/read/', '/order/')):
                await self._answer(exchange, 404, run)
            elif not await run_until_disconnect(
                exchange, self._serve(exchange, run)
            ):
                run.cancelled = True
        except CallerDisconnectedError:
            run.cancelled = True
        finally:
            run.ended = True

    async def _serve(self, exchange: Exchange, run: Run) -> None:
        once = run.path.startswith('/order/')
        if not exchange.try_begin(runs_once=once):
            waiting = asyncio.ensure_future(exchange.wait_begin())
            expired = asyncio.ensure_future(run.expired.wait())
            try:
                await asyncio.wait(
                    (waiting, expired), return_when=asyncio.FIRST_COMPLETED
                )
                if not waiting.done():
                    await self._answer(exchange, 503, run)
                    return
                waiting.result()
            finally:
                waiting.cancel()
                expired.cancel()
                await asyncio.gather(waiting, expired, return_exceptions=True)
        run.begun = True
        self.on_begin(run)
        if await run.result == 'answer':
            await self._answer(exchange, 200, run)
            return
        await exchange.wait_answer()
        await exchange.start(200, [(b'content-length', b'1000')])
        await exchange.write(b'part')

    async def _answer(self, exchange: Exchange, status: int, run: Run) -> None:
        await exchange.wait_answer()
        headers = [(b'x-path', run.path.encode())]
        if self.stopping:
            headers.append(_CLOSE)
        body = self.body or run.path.encode()
        await exchange.answer(status, headers, body)


@dataclass
class WireAnswer:
    """An answer as the caller reads it."""

    status: int = 0
    path: str = ''
    closes: bool = False
    complete: bool = False


class _AnswerParser:
    def __init__(self) -> None:
        self.answers: list[WireAnswer] = []
        self.parser = httptools.HttpResponseParser(self)

    def on_message_begin(self) -> None:
        self.answers.append(WireAnswer())

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b'x-path':
            self.answers[-1].path = value.decode()
        if name.lower() == b'connection':
            self.answers[-1].closes = value == b'close'

    def on_headers_complete(self) -> None:
        self.answers[-1].status = self.parser.get_status_code()

    def on_message_complete(self) -> None:
        self.answers[-1].complete = True


class Connection:
    """A connection to a node whose requests are served by an app."""

    def __init__(
        self,
        loop: VirtualLoop,
        app: Any,
        node: AheadNode | None,
    ) -> None:
        self._loop = loop
        self.transport = FakeTransport(loop)
        config = uvicorn.Config(
            app,
            loop='none',
            ws='none',
            lifespan='off',
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
        )

        class Protocol(PipeliningProtocol):
            ahead = node

        self.protocol = Protocol(config, ServerState(), {}, _loop=loop)
        self.transport.protocol = self.protocol
        self.protocol.connection_made(self.transport)
        self._parser = _AnswerParser()
        self._parsed_bytes = 0
        self._received = b''

    def receive(self, data: bytes) -> None:
        """Let bytes of the caller arrive, as far as they are read."""
        self._received += data
        self.deliver()

    def deliver(self) -> None:
        """Pass on what has arrived if the connection is read."""
        while (
            self._received
            and self.transport.reading
            and not self.transport.closing
        ):
            data, self._received = self._received, b''
            self.protocol.data_received(data)

    def settle(self) -> None:
        """Run the loop until nothing more happens by itself."""

        async def turn() -> None:
            for _ in range(_SETTLE_TURNS):
                await asyncio.sleep(0)
                self.deliver()

        self._loop.run_until_complete(turn())

    def leave(self) -> None:
        """Close the connection as the caller."""
        if not self.transport.closing:
            self.transport.closing = True
            self.protocol.connection_lost(None)

    def answers(self) -> list[WireAnswer]:
        """Return what the caller has got so far."""
        new = self.transport.written[self._parsed_bytes :]
        self._parsed_bytes = len(self.transport.written)
        if new:
            try:
                self._parser.parser.feed_data(new)
            except httptools.HttpParserError as error:
                # One answer was written within another.
                raise AssertionError('answers out of order') from error
        return self._parser.answers


def ahead_node(
    max_per_connection: int = MAX_PER_CONNECTION, max_per_node: int = 100
) -> AheadNode:
    """Return limits of a node."""
    return AheadNode(
        max_per_connection=max_per_connection,
        held_bytes_per_connection=HELD_BYTES,
        count=AheadCount(max_per_node),
        held=BufferBudget(2 * HELD_BYTES),
    )


def request(path: str, *lines: str, body: bytes = b'') -> bytes:
    """Return the bytes of a request."""
    head = [f'GET {path} HTTP/1.1', 'Host: h', *lines]
    if body:
        head.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*head, '', '')).encode() + body
