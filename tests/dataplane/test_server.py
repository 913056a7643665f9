"""Tests of the HTTP server over real sockets on loopback."""

from __future__ import annotations

import asyncio
import socket
from typing import Any
from typing import TYPE_CHECKING

import pytest
import uvicorn

from gentianbank.dataplane import server as server_module
from gentianbank.dataplane.exchange import Exchange
from gentianbank.dataplane.server import CallerProtocol
from gentianbank.dataplane.server import HttpServer

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

TEST_TIMEOUT_S = 20.0
STALL_TIMEOUT_MS = 1_000
SLOW_READS = 15
READ_PERIOD_S = 0.2
PART = b'x' * 32_768


class EndlessApp:
    """Answers without end until the caller is gone."""

    def __init__(self) -> None:
        self.gone = asyncio.Event()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        exchange = Exchange(scope, receive, send)
        writer = asyncio.create_task(self._write(exchange))
        await exchange.wait_disconnect()
        writer.cancel()
        self.gone.set()

    async def _write(self, exchange: Exchange) -> None:
        await exchange.start(200, [])
        while True:
            await exchange.write(PART)
            await asyncio.sleep(0)


@pytest.fixture
def play(monkeypatch: pytest.MonkeyPatch) -> Callable[[Any], None]:
    """Run a test with a caller's connection to an endless answer."""
    monkeypatch.setattr(server_module, 'STALL_TIMEOUT_MS', STALL_TIMEOUT_MS)

    async def run(
        test: Callable[[EndlessApp, socket.socket], Awaitable[None]],
    ) -> None:
        app = EndlessApp()
        listener = socket.create_server(('127.0.0.1', 0))
        config = uvicorn.Config(
            app, http=CallerProtocol, lifespan='off', log_config=None
        )
        server = HttpServer(config)
        serving = asyncio.create_task(server.serve([listener]))
        caller = socket.create_connection(listener.getsockname())
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(caller, b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await test(app, caller)
        finally:
            caller.close()
            server.should_exit = server.force_exit = True
            await serving

    return lambda test: asyncio.run(run(test))


def test_connection_ends_when_its_caller_stops_reading(play: Any) -> None:
    async def test(app: EndlessApp, _: socket.socket) -> None:
        await app.gone.wait()

    play(test)


def test_connection_of_a_caller_that_reads_slowly_stays(play: Any) -> None:
    async def test(app: EndlessApp, caller: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(SLOW_READS):
            await asyncio.sleep(READ_PERIOD_S)
            assert await loop.sock_recv(caller, 200_000)
        assert not app.gone.is_set()

    play(test)
