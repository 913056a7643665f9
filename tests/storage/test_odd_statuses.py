"""Tests of stores and VM lists whose answers have no valid status."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import pytest

from gentianbank.domain.errors import StoreUnavailable
from gentianbank.platform.store import PlatformStore
from gentianbank.storage.etcd import EtcdStore
from gentianbank.storage.vm_list import HttpVMList
from gentianbank.targets.pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from expression import Result

TIMEOUT_MS = 900
# Would be taken for an empty listing, value or list with a status of 200.
BODIES = {
    'platform': b'{"items": [], "currentRev": 7}',
    'etcd': b'{"kvs": []}',
    'list': b'[]',
}


async def list_platform(address: str) -> Result[Any, StoreUnavailable]:
    pool = ConnectionPool()
    store = PlatformStore(
        address, TIMEOUT_MS, pool, lambda call, outcome: None
    )
    answer = await store.list_prefix('')
    await pool.close()
    return answer


async def get_etcd(address: str) -> Result[Any, StoreUnavailable]:
    store = EtcdStore(f'http://{address}', TIMEOUT_MS)
    answer = await store.get('head')
    await store.close()
    return answer


async def read_list(address: str) -> Result[Any, StoreUnavailable]:
    vm_list = HttpVMList(f'http://{address}/vms', TIMEOUT_MS)
    answer = await vm_list.read()
    await vm_list.close()
    return answer


CALLS: dict[str, Callable[[str], Awaitable[Result[Any, StoreUnavailable]]]] = {
    'platform': list_platform,
    'etcd': get_etcd,
    'list': read_list,
}


def call(kind: str, status: str) -> Result[Any, StoreUnavailable]:
    """Return what a client makes of an answer with some status."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        body = BODIES[kind]
        head = f'HTTP/1.1 {status} S\r\nContent-Length: {len(body)}\r\n\r\n'
        writer.write(head.encode() + body)
        writer.close()

    async def play() -> Result[Any, StoreUnavailable]:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        answer = await CALLS[kind](f'{host}:{port}')
        server.close()
        return answer

    return asyncio.run(play())


@pytest.mark.parametrize('kind', CALLS)
@pytest.mark.parametrize('status', ['000', '001', '199', '600', '', 'abc'])
def test_answer_without_a_valid_status_is_none(kind: str, status: str) -> None:
    assert isinstance(call(kind, status).error, StoreUnavailable)


@pytest.mark.parametrize('kind', CALLS)
def test_same_answer_with_a_status_of_200_is_read(kind: str) -> None:
    assert call(kind, '200').is_ok()
