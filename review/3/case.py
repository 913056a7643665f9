"""Upstreams in trouble: some answers have a body without end."""

from __future__ import annotations

import asyncio
from pathlib import Path
import random
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

from client import Client
from client import Result
from episodes import Episodes
from episodes import LoopDelay
from http1 import Answer
from http1 import Request
from upstream import Upstream
from world import Node
from world import NotRunError
from world import route
from world import run_case
from world import TROUBLE
from world import World

UPSTREAMS = 6
# Dose of the site file (garble, unframed): for 5 s, 0.5 of the upstreams spoil
# 0.05 of their answers; more than once.
FAULTY_UPSTREAMS = 3
SPOILED_EVERY = 20
EPISODE_S = 5.0
EPISODE_PERIOD_S = 10.0
# One byte in a chunk of its own, over and over.
ENDLESS_CHUNK = b'1\r\nx\r\n'
WORK_S = 0.1
CLIENTS_PER_NODE = 40
OBJECTS = 24
TRAFFIC_S = 56.0
# Figures of the stock and price lookups on the site sheet.
TIMEOUT_MS = 1_500
DEADLINE_MS = 3_000
# Time after the route's timeout by which more than half need an answer.
LATE_S = 0.5
MIN_UNANSWERED = 8
MAX_OWN_DELAY_S = 0.3


async def case(world: World) -> bool:
    """Return whether requests were answered at their route's timeout."""
    record = world.record
    episodes = Episodes(EPISODE_S, EPISODE_PERIOD_S)
    spoiled: set[str] = set()

    def respond(upstream: Upstream, request: Request) -> Answer:
        headers = upstream.headers_for(request)
        faulty = upstream.name < f'i-{FAULTY_UPSTREAMS:08x}'
        request_id = request.headers['request-id']
        faulty = TROUBLE and episodes.is_on and faulty
        if faulty and not upstream.answered % SPOILED_EVERY:
            spoiled.add(request_id)
            record.write(f'{upstream.name} answers {request_id} without end')
            return Answer(200, headers, endless=ENDLESS_CHUNK)
        return Answer(200, headers, f'price of {request_id}'.encode())

    for number in range(UPSTREAMS):
        upstream = Upstream(
            f'i-{number:08x}',
            slots=6,
            work_s=WORK_S,
            respond=respond,
            record=record.write,
        )
        zone = ('kgn-portmore', 'kgn-hwt')[number % 2]
        await world.add_upstream(upstream, 'postdesk', zone)
    world.configure(
        ['postdesk'],
        [
            route(
                'prices',
                'postdesk',
                'idempotent',
                sticky=True,
                timeoutMs=TIMEOUT_MS,
            )
        ],
    )
    nodes = [await world.add_node(z) for z in ('kgn-portmore', 'kgn-hwt')]
    await world.wait_ready()
    await asyncio.sleep(3.5)
    episodes.start()
    end_s = time.monotonic() + TRAFFIC_S
    results: list[Result] = []
    ready: list[tuple[int, float]] = []
    delay = LoopDelay()
    measuring = asyncio.create_task(delay.run())
    await asyncio.gather(
        *(
            _look_up(world, node, end_s, results)
            for node in nodes
            for _ in range(CLIENTS_PER_NODE)
        ),
        *(_check_ready(world, node, end_s, ready) for node in nodes),
    )
    measuring.cancel()
    # Those whose own answer is without end are left out.
    judged = [r for r in results if r.request_id not in spoiled]
    timeout_s = TIMEOUT_MS / 1_000
    unanswered = [r for r in judged if r.took_s > timeout_s]
    late = [r for r in unanswered if r.took_s > timeout_s + LATE_S]
    never = [r for r in judged if r.cause == 'deadline']
    missed = sum(status != 200 for status, _ in ready)
    summary = (
        f'{len(spoiled)} answers without end; {len(judged)} other requests, '
        f'{sum(r.status == 200 for r in judged)} served; {len(unanswered)} '
        f'unanswered at the timeout of the route, {len(late)} of them also '
        f'{LATE_S} s later, {len(never)} never; {missed} of {len(ready)} '
        f'readiness checks had no 200 within a second; process exits: '
        f'{sum(len(n.exits) for n in nodes)}; longest delay of the '
        f'stand-ins themselves {delay.longest_s:.3f} s'
    )
    record.write(summary)
    print(summary)
    if len(judged) < 100:
        raise NotRunError('too few requests were sent')
    if delay.longest_s > MAX_OWN_DELAY_S:
        raise NotRunError('the stand-ins were late themselves')
    return len(unanswered) < MIN_UNANSWERED or 2 * len(late) <= len(unanswered)


async def _look_up(
    world: World, node: Node, end_s: float, results: list[Result]
) -> None:
    client = Client(node.front, world.record)
    while time.monotonic() < end_s:
        topic = str(random.randrange(OBJECTS))
        result = await client.send(
            'GET', '/prices/1', DEADLINE_MS, topic=topic
        )
        results.append(result)
        await asyncio.sleep(0.1 if result.complete else 0.3)


async def _check_ready(
    world: World, node: Node, end_s: float, ready: list[tuple[int, float]]
) -> None:
    while time.monotonic() < end_s:
        begin_s = time.monotonic()
        status = await world.ready_status(node)
        took_s = time.monotonic() - begin_s
        ready.append((status, took_s))
        world.record.write(f'ready of {node.vm}: {status}, {took_s:.3f} s')
        await asyncio.sleep(max(0.0, 1.0 - took_s))


run_case(Path(__file__).resolve().parent, case)
