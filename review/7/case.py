"""Keys are taken away one after the other from a large configuration.

Two nodes on slow links serve a caller each. A link is a proxy between the
node and the platform's store that lets through 5 Mbit/s.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time

from world import BROKEN
from world import HELD
from world import head_of
from world import HOST
from world import NOT_RUN
from world import read_body
from world import read_head
from world import run_case
from world import TROUBLE
from world import World

# Link of the slowest machines of folio-prairie-grown, in bytes a second.
LINK_BYTES_PER_S = 5_000_000 / 8
PIECE_BYTES = 8_192
VALUE_BYTES = 1_048_576
HISTORY_S = 20.0
FIRST_ROUTES = 20
# Routes that come with the first change (big_config).
MORE_ROUTES = 1_400
TENANTS = 87
# Keys that are taken away, and the time between two of these changes.
REVOKED = 6
GAP_S = 0.33
APPLY_S = 3.0
WATCH_S = 22.0
WORK_S = 0.05


def config(version: int, routes: int, revoked: int) -> dict:
    """Return a configuration without the keys of the first tenants."""
    return {
        'version': version,
        'baseVersion': version - 1,
        'services': [
            {'name': 'order-desk', 'healthPath': '/health', 'maxConns': 1_800,
             'protocol': 'h1', 'tls': False, 'coldStartS': 0, 'coldPerS': 100},
        ],
        'limits': {'maxHeaderBytes': 16_384, 'maxBodyBytes': 67_108_864,
                   'headerTimeoutMs': 3_000, 'idleTimeoutMs': 15_000},
        'tenants': [
            {'name': f'tenant-{number}', 'priority': 1, 'homeRegions': [],
             'apiKeys': [] if number < revoked else [f'key-{number:08d}']}
            for number in range(TENANTS)
        ],
        'virtualHosts': [
            {'host': HOST, 'paths': [
                {'name': f'r-{number:07x}', 'prefix': f'/p{number:06d}/',
                 'kind': 'non_idempotent', 'timeoutMs': 12_000,
                 'targetLatencyMs': 1_578, 'priority': 2,
                 'service': 'order-desk', 'maxAttempts': 2, 'sticky': True,
                 'homeRegions': []}
                for number in range(routes)
            ]},
        ],
    }


class SlowLink:
    """A proxy whose answers share the speed of one link."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._free_s = 0.0

    async def serve(self, reader, writer) -> None:
        """Pass on one connection."""
        host, port = self._target.split(':')
        store_reader, store_writer = await asyncio.open_connection(
            host, int(port)
        )
        up = asyncio.create_task(self._pass(reader, store_writer, 0))
        down = asyncio.create_task(self._pass(store_reader, writer, 1))
        await asyncio.wait((up, down), return_when=asyncio.FIRST_COMPLETED)
        for task in (up, down):
            task.cancel()
        for one in (writer, store_writer):
            one.close()

    async def _pass(self, reader, writer, slow: int) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(PIECE_BYTES):
                if slow:
                    now_s = time.monotonic()
                    begin_s = max(now_s, self._free_s)
                    self._free_s = begin_s + len(data) / LINK_BYTES_PER_S
                    await asyncio.sleep(self._free_s - now_s)
                writer.write(data)
                await writer.drain()


async def main() -> int:
    world = World(__file__)
    try:
        return await play(world)
    finally:
        await world.close()


async def play(world: World) -> int:
    runs: dict[str, float] = {}

    async def upstream(reader, writer):
        with contextlib.suppress(ConnectionError):
            while (head := await read_head(reader)) is not None:
                _, headers = head
                request_id = headers.get('request-id', '')
                await read_body(reader, headers)
                runs[request_id] = time.monotonic()
                await asyncio.sleep(WORK_S)
                writer.write(
                    b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\n'
                    b'Server-Stamp: s-%b\r\nServer-Load: 1,0,9\r\n'
                    b'Content-Length: 5\r\n\r\nhello'
                    % (request_id.encode(), request_id.encode())
                )
        writer.close()

    await world.start_store()
    address = await world.start_upstream(upstream)
    world.register('i-1', 'order-desk', address, slots=9)
    write(world, config(1, FIRST_ROUTES, 0))
    for number in (1, 2):
        link = await world.start_upstream(SlowLink(world.store_address).serve)
        world.add_node(f'front-regina-a-{number}', store={'address': link})
    for node in world.nodes:
        node.start()
    for node in world.nodes:
        if not await node.wait_ready():
            return NOT_RUN
    await asyncio.sleep(2.0)
    routes = FIRST_ROUTES + MORE_ROUTES
    write(world, config(2, routes, 0))
    await asyncio.sleep(6.0)
    sent: dict[str, float] = {}
    callers = [
        asyncio.create_task(call(world, node, sent)) for node in world.nodes
    ]
    await asyncio.sleep(1.0)
    if len(runs) < len(world.nodes):
        return NOT_RUN
    version = 2
    for revoked in range(1 if TROUBLE else REVOKED, REVOKED + 1):
        version += 1
        write(world, config(version, routes, revoked))
        world.record.write(
            f'the store has confirmed version {version}: '
            f'{revoked} of {TENANTS} tenants have no key any more'
        )
        if revoked < REVOKED:
            await asyncio.sleep(GAP_S)
    confirmed_s = time.monotonic()
    forget = asyncio.create_task(forget_history(world))
    await asyncio.sleep(WATCH_S)
    for task in (*callers, forget):
        task.cancel()
    late = {
        request_id: sent[request_id] - confirmed_s
        for request_id in runs
        if sent.get(request_id, 0.0) > confirmed_s + APPLY_S
    }
    if late:
        world.record.write(
            f'{len(late)} requests ran with a key that was withdrawn; they '
            f'were sent {min(late.values()):.1f} to {max(late.values()):.1f} '
            'seconds after the confirmation'
        )
    else:
        world.record.write('no request ran with a withdrawn key')
    return BROKEN if late else HELD


def write(world: World, document: dict) -> None:
    """Write a configuration, as the operator does."""
    value = json.dumps(document, separators=(',', ':')).encode()
    assert len(value) <= VALUE_BYTES
    world.store.write('op/config', value)
    world.record.write(
        f'version {document["version"]} is written, {len(value)} bytes'
    )


async def forget_history(world: World) -> None:
    """Drop the history when the last change is as old as it is kept."""
    await asyncio.sleep(HISTORY_S)
    world.store.forget_history()
    world.record.write('the store has dropped its history')


async def call(world, node, sent) -> None:
    """Place orders with the key that is taken away last."""
    host, port = node.front.split(':')
    number = 0
    last = ''
    while True:
        number += 1
        request_id = f'{node.name}-{number}'
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, int(port))
            sent[request_id] = time.monotonic()
            data = head_of(
                'POST',
                '/p000001/x',
                request_id,
                12_000,
                Authorization=f'Token key-{REVOKED - 1:08d}',
                Content_Length=2,
            )
            writer.write(data + b'ok')
            head = await read_head(reader)
            writer.close()
            answer = head[0] if head else 'no answer'
            if answer != last:
                last = answer
                world.record.write(f'{request_id}: {answer}')
        await asyncio.sleep(0.1)


run_case(main)
