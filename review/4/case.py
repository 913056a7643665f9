"""Upstreams come back cold under their old ids while the store is down."""

from __future__ import annotations

import asyncio
from collections import deque
from pathlib import Path
import random
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

from client import Client
from client import Result
from http1 import Answer
from http1 import Request
from http1 import Server
from upstream import Upstream
from world import free_ports
from world import Node
from world import NotRunError
from world import route
from world import run_case
from world import TROUBLE
from world import World

ZONES = ('kgn-portmore', 'kgn-hwt', 'kgn-portmore')
UPSTREAMS = 6
LOST_ZONE = 'kgn-hwt'
SLOTS = 6
WORK_S = 0.1
CLIENTS_PER_NODE = 40
OBJECTS = 24
TRAFFIC_S = 22.0
# Doses of the site file: `platform_down` silent for 8 s, `cold_return` for 2 s.
OUTAGE_AFTER_S = 5.0
OUTAGE_S = 8.0
CRASH_AFTER_S = 5.5
DOWN_S = 2.0
# The configuration and the bounds.
COLD_START_S = 3.0
COLD_PER_S = 7.0
COLD_FACTOR = 1.5
COLD_SLACK = 5.0
COLD_WORK_FACTOR = 2.0
COLD_BOUND_PER_S = COLD_PER_S * COLD_FACTOR + COLD_SLACK
# A cold upstream crashes at a rate well above the bound.
CRASH_FACTOR = 2.0


class ColdUpstream(Upstream):
    """An upstream that may crash and starts again under its id, cold."""

    def __init__(self, name: str, world: World) -> None:
        super().__init__(
            name,
            slots=SLOTS,
            work_s=WORK_S,
            respond=respond,
            record=world.record.write,
        )
        self.zone = ''
        self.most_per_s = 0
        self.overloads = 0
        self.lost_to_overload: list[str] = []
        self._world = world
        self._host = world.new_host()
        self._port = free_ports(self._host, 1)[0]
        self._server = Server(self.handle)
        self._running_ids: set[str] = set()
        self._cold_until_s = float('-inf')
        self._arrivals: deque[float] = deque()
        self._sequence = 0
        self._born_ms = int(time.time() * 1_000) - 60_000
        self._restart: asyncio.Task[None] | None = None

    @property
    def is_cold(self) -> bool:
        """Return whether the upstream came back less than 3 s ago."""
        return time.monotonic() < self._cold_until_s

    async def start(self) -> None:
        """Listen."""
        self._server = Server(self.handle)
        await self._server.start(self._host, self._port)

    def register(self) -> None:
        """Write the entry; how long it is cold is what is left."""
        self._sequence += 1
        left_s = max(0.0, self._cold_until_s - time.monotonic())
        entry = {
            'service': 'postdesk',
            'address': f'{self._host}:{self._port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': SLOTS,
            'state': 'ready',
            'coldLeftMs': round(left_s * 1_000),
            'sequence': self._sequence,
            'born': self._born_ms,
        }
        self._world.store.put(f'servers/{self.name}', entry)

    async def crash(self, *, overload: bool = False) -> None:
        """Lose what runs, and start again under the same id after a pause."""
        if overload:
            self.overloads += 1
            self.lost_to_overload += self._running_ids
        self._world.record.write(
            f'{self.name} crashes, {len(self._running_ids)} requests at it'
        )
        await self._server.close()
        await asyncio.sleep(DOWN_S)
        self._born_ms = int(time.time() * 1_000)
        self._cold_until_s = time.monotonic() + COLD_START_S
        self._arrivals.clear()
        await self.start()
        self._world.record.write(f'{self.name} is back, cold')
        if not self._world.store.is_down:
            self.register()

    async def handle(self, request: Request) -> Answer | None:
        """Serve a request; count it while cold."""
        request_id = request.headers.get('request-id', '')
        if request.path == '/health':
            left_s = max(0.0, self._cold_until_s - time.monotonic())
            return Answer(
                200,
                {
                    'Instance-Id': self.name,
                    'Server-Load': self.load,
                    'Cold-Ms': str(round(left_s * 1_000)),
                },
            )
        if self.is_cold and request.headers.get('expect-instance') == self.name:
            self._count_arrival()
        self._work_s = WORK_S * (COLD_WORK_FACTOR if self.is_cold else 1)
        self._running_ids.add(request_id)
        try:
            return await super().handle(request)
        finally:
            self._running_ids.discard(request_id)

    def _count_arrival(self) -> None:
        now_s = time.monotonic()
        self._arrivals.append(now_s)
        while self._arrivals[0] < now_s - 1.0:
            self._arrivals.popleft()
        self.most_per_s = max(self.most_per_s, len(self._arrivals))
        self._world.record.write(
            f'{self.name} is cold and gets request {len(self._arrivals)} of '
            'the last second'
        )
        is_over = len(self._arrivals) > CRASH_FACTOR * COLD_BOUND_PER_S
        if is_over and (self._restart is None or self._restart.done()):
            self._restart = asyncio.create_task(self.crash(overload=True))


def respond(upstream: Upstream, request: Request) -> Answer:
    """Return a small answer."""
    body = f'order of {request.headers["request-id"]}'.encode()
    return Answer(200, upstream.headers_for(request), body)


async def case(world: World) -> bool:
    """Return whether cold upstreams got no more than the bound."""
    record = world.record
    upstreams = [
        ColdUpstream(f'i-{number:08x}', world) for number in range(UPSTREAMS)
    ]
    for number, upstream in enumerate(upstreams):
        upstream.zone = ZONES[number % len(ZONES)]
        await upstream.start()
        upstream.register()
    world.configure(
        ['postdesk'],
        [route('orders', 'postdesk', 'non_idempotent', sticky=True)],
    )
    nodes = [await world.add_node(z) for z in ('kgn-portmore', 'kgn-hwt')]
    await world.wait_ready()
    await asyncio.sleep(3.5)

    end_s = time.monotonic() + TRAFFIC_S
    results: list[Result] = []
    disruption = asyncio.create_task(_disrupt(world, upstreams))
    await asyncio.gather(
        *(
            _send_orders(world, node, end_s, results)
            for node in nodes
            for _ in range(CLIENTS_PER_NODE)
        )
    )
    await disruption
    if sum(r.status == 200 for r in results) < 100:
        raise NotRunError('too few requests were answered')
    most = {u.name: u.most_per_s for u in upstreams if u.most_per_s}
    summary = (
        f'{len(results)} requests, {sum(r.status == 200 for r in results)} '
        f'served; most requests in a second at cold upstreams {most}, bound '
        f'{COLD_BOUND_PER_S}; crashes of cold upstreams by overload: '
        f'{sum(u.overloads for u in upstreams)}, in which '
        f'{sum(len(u.lost_to_overload) for u in upstreams)} running requests '
        'were lost'
    )
    record.write(summary)
    print(summary)
    return all(count <= COLD_BOUND_PER_S for count in most.values())


async def _disrupt(world: World, upstreams: list[ColdUpstream]) -> None:
    if not TROUBLE:
        return
    begin_s = time.monotonic()
    await asyncio.sleep(OUTAGE_AFTER_S)
    world.store.is_down = True
    world.record.write('the store is down')
    await asyncio.sleep(CRASH_AFTER_S - OUTAGE_AFTER_S)
    lost = [u for u in upstreams if u.zone == LOST_ZONE]
    await asyncio.gather(*(u.crash() for u in lost))
    left_s = OUTAGE_AFTER_S + OUTAGE_S - (time.monotonic() - begin_s)
    await asyncio.sleep(left_s)
    world.store.is_down = False
    world.record.write('the store is back')
    for upstream in lost:
        upstream.register()


async def _send_orders(
    world: World, node: Node, end_s: float, results: list[Result]
) -> None:
    client = Client(node.front, world.record)
    while time.monotonic() < end_s:
        topic = str(random.randrange(OBJECTS))
        result = await client.send(
            'POST', '/orders/1', 4_000, b'two posts', topic
        )
        results.append(result)
        await asyncio.sleep(0.1 if result.complete else 0.3)


run_case(Path(__file__).resolve().parent, case)
