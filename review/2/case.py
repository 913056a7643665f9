"""Upstreams that spoil a few answers: the load figure is no number."""

from __future__ import annotations

import asyncio
from pathlib import Path
import random
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

from client import Client
from episodes import Episodes
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
# Dose of the site file: for 5.5 s, 0.35 of the upstreams spoil 0.02 of their
# answers; more than once.
FAULTY_UPSTREAMS = 2
SPOILED_EVERY = 50
EPISODE_S = 5.5
EPISODE_PERIOD_S = 10.0
SPOILED_FIGURE = 'inf'
WORK_S = 0.1
CLIENTS_PER_NODE = 20
TRAFFIC_S = 65.0
EXITS_PER_NODE = 3
MAX_LOST = 3
OBJECTS = 24


async def case(world: World) -> bool:
    """Return whether the processes ran on."""
    record = world.record
    episodes = Episodes(EPISODE_S, EPISODE_PERIOD_S)
    spoiled: list[float] = []

    def respond(upstream: Upstream, request: Request) -> Answer:
        headers = upstream.headers_for(request)
        faulty = upstream.name < f'i-{FAULTY_UPSTREAMS:08x}'
        faulty = TROUBLE and episodes.is_on and faulty
        if faulty and not upstream.answered % SPOILED_EVERY:
            running, waiting, slots, _ = headers['Server-Load'].split(',')
            figures = (running, waiting, slots, SPOILED_FIGURE)
            headers['Server-Load'] = ','.join(figures)
            spoiled.append(time.monotonic())
            record.write(f'{upstream.name} spoils an answer: {figures}')
        body = f'order of {request.headers["request-id"]}'.encode()
        return Answer(200, headers, body)

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
        [route('orders', 'postdesk', 'non_idempotent', sticky=True)],
    )
    nodes = [await world.add_node(z) for z in ('kgn-portmore', 'kgn-hwt')]
    await world.wait_ready()
    await asyncio.sleep(3.5)
    episodes.start()
    end_s = time.monotonic() + TRAFFIC_S
    lost: list[str] = []
    answered: list[str] = []
    await asyncio.gather(
        *(
            _send_orders(world, node, end_s, answered, lost)
            for node in nodes
            for _ in range(CLIENTS_PER_NODE)
        )
    )
    if len(answered) < SPOILED_EVERY:
        raise NotRunError('too few requests were answered')
    exits = {node.vm: len(node.exits) for node in nodes}
    summary = (
        f'{len(spoiled)} answers were spoiled; {len(answered)} requests '
        f'were answered; {len(lost)} that had run lost their connection '
        f'without an answer; exits by themselves: {exits}'
    )
    record.write(summary)
    print(summary)
    for node in nodes:
        for line in world.node_log(node).splitlines():
            if 'Error' in line:
                record.write(f'{node.vm}: {line[:200]}')
                break
    crashed = sum(n >= EXITS_PER_NODE for n in exits.values())
    return crashed < 2 and len(lost) <= MAX_LOST


async def _send_orders(
    world: World,
    node: Node,
    end_s: float,
    answered: list[str],
    lost: list[str],
) -> None:
    client = Client(node.front, world.record)
    while time.monotonic() < end_s:
        topic = str(random.randrange(OBJECTS))
        result = await client.send(
            'POST', '/orders/1', 4_000, b'two posts', topic
        )
        if result.complete:
            answered.append(result.request_id)
            await asyncio.sleep(0.1)
            continue
        runs = sum(u.runs[result.request_id] for u in world.upstreams.values())
        if runs:
            lost.append(result.request_id)
        await asyncio.sleep(0.3)


run_case(Path(__file__).resolve().parent, case)
