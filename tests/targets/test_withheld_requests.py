"""Tests of requests that are withheld, and of heads that are reported."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from gentianbank.targets.transport import NotAllowed
from tests.targets.test_pool import answer
from tests.targets.test_pool import build_request
from tests.targets.test_pool import CLOSE
from tests.targets.test_pool import read_body
from tests.targets.test_pool import RESET
from tests.targets.test_pool import run_with_server
from tests.targets.test_pool import Server

if TYPE_CHECKING:
    from gentianbank.targets.pool import ConnectionPool

INTERIM = b'HTTP/1.1 103 Early Hints\r\nServer-Leaving: 1\r\n\r\n'
WORD = 'Server-Leaving: 1\r\n'


def test_request_withheld_while_its_connection_opens_is_not_written() -> None:
    asked: list[bool] = []

    def may_send() -> bool:
        asked.append(True)
        return len(asked) < 2

    async def test(pool: ConnectionPool, server: Server) -> None:
        request = build_request(server.address, may_send=may_send)
        sent = await pool.send(request)
        assert isinstance(sent.error, NotAllowed)
        await server.ended.wait()

    server = run_with_server([[answer('r-1')]], test)
    assert len(asked) == 2
    assert (server.connections, server.heads) == (1, [])


def test_request_withheld_on_a_kept_connection_leaves_that_usable() -> None:
    async def test(pool: ConnectionPool, server: Server) -> None:
        await read_body(await pool.send(build_request(server.address)))
        sent = await pool.send(
            build_request(server.address, 'r-2', may_send=lambda: False)
        )
        assert isinstance(sent.error, NotAllowed)
        sent = await pool.send(build_request(server.address, 'r-3'))
        assert await read_body(sent) == b'whole'

    server = run_with_server([[answer('r-1'), answer('r-3')]], test)
    assert (server.connections, len(server.heads)) == (1, 2)


def test_withheld_request_takes_no_connection_from_the_limit() -> None:
    asked: list[bool] = []

    def may_send() -> bool:
        asked.append(True)
        return len(asked) != 2

    async def test(pool: ConnectionPool, server: Server) -> None:
        options = {'max_connections': 1, 'may_send': may_send}
        await pool.send(build_request(server.address, 'r-1', **options))
        await server.ended.wait()
        sent = await pool.send(build_request(server.address, 'r-2', **options))
        assert await read_body(sent) == b'whole'

    run_with_server([[], [answer('r-2')]], test)


@pytest.mark.parametrize(
    ('data', 'statuses'),
    [
        (answer('r-1', more=WORD), [200]),
        (INTERIM + answer('r-1'), [103, 200]),
        (answer('r-0', more=WORD) + answer('r-1'), [200, 200]),
        (INTERIM + RESET, [103]),
        (answer('r-0', more=WORD) + CLOSE, [200]),
        (answer('r-1', more=WORD)[:-2] + RESET, [200]),
    ],
    ids=['own', 'interim', 'other', 'interim only', 'other only', 'cut'],
)
def test_head_of_each_answer_is_reported(
    data: bytes, statuses: list[int]
) -> None:
    heads: list[tuple[int, bool]] = []

    def on_head(status: int, headers: list[tuple[bytes, bytes]]) -> None:
        names = {name.lower() for name, _ in headers}
        heads.append((status, b'server-leaving' in names))

    async def test(pool: ConnectionPool, server: Server) -> None:
        await pool.send(build_request(server.address, on_head=on_head))

    run_with_server([[data]], test)
    assert [status for status, _ in heads] == statuses
    assert heads[0][1]
