"""Callers of a soak: they look up nodes, ask and come back."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import httpx

from gentianbank_standins.soak.attempts import Attempt
from gentianbank_standins.soak.world import DOMAINS
from gentianbank_standins.soak.world import HOST
from gentianbank_standins.soak.world import ORDER_TIMEOUT_MS
from gentianbank_standins.soak.world import READ_TIMEOUT_MS

if TYPE_CHECKING:
    from gentianbank_standins.soak.promises import Promises
    from gentianbank_standins.soak.world import SoakNode
    from gentianbank_standins.soak.world import SoakWorld

PAUSE_S = 0.08
PATIENCE_MS = 4_000
LOOKUP_PERIOD_S = 1.0
LOOKUP_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
OBJECTS = 20
ORDER_PART = 0.4
MAX_TRIES = 2
LEAVING_HEADER = 'server-leaving'
_MS_PER_S = 1_000
_NO_ROUTE = 404
_NOT_REACHED = (httpx.ConnectError, httpx.ConnectTimeout)


class Caller:
    """Sends requests one after the other over kept connections.

    Parameters
    ----------
    number
        Seeds what the caller asks, and names its requests.
    """

    def __init__(
        self, world: SoakWorld, promises: Promises, number: int
    ) -> None:
        self._world = world
        self._promises = promises
        self._number = number
        self._random = random.Random(f'{world.seed}/{number}')
        self._domain = sorted(DOMAINS)[number % len(DOMAINS)]
        self._addresses: list[str] = []
        self._looked_up_s = float('-inf')
        self._sent = 0

    async def run(self, end_s: float) -> None:
        """Ask until the given time of the soak."""
        timeout = httpx.Timeout(
            PATIENCE_MS / _MS_PER_S, connect=CONNECT_TIMEOUT_S
        )
        async with httpx.AsyncClient(timeout=timeout) as client:
            while self._world.now_s() < end_s:
                await self._look_up(client)
                await self._ask(client)
                await asyncio.sleep(self._random.uniform(0, 2 * PAUSE_S))

    async def _look_up(self, client: httpx.AsyncClient) -> None:
        now_s = self._world.now_s()
        if now_s - self._looked_up_s < LOOKUP_PERIOD_S:
            return
        region = DOMAINS[self._domain]
        query = {'name': HOST, 'region': region, 'zone': self._domain}
        nodes = self._random.sample(self._world.nodes, 2)
        for node in nodes:
            try:
                answer = await client.get(
                    f'http://{node.lookups}/resolve',
                    params=query,
                    timeout=LOOKUP_TIMEOUT_S,
                )
                if answer.status_code != 200:
                    continue
            except httpx.HTTPError:
                # Another node is asked; the old answer holds meanwhile.
                continue
            self._addresses = answer.json()['addresses']
            self._looked_up_s = now_s
            return

    async def _ask(self, client: httpx.AsyncClient) -> None:
        if not self._addresses:
            await asyncio.sleep(PAUSE_S)
            return
        once = self._random.random() < ORDER_PART
        key = self._random.randrange(OBJECTS)
        for _ in range(MAX_TRIES):
            attempt, pause_s = await self._attempt(client, once, key)
            self._promises.note(attempt)
            if attempt.status == 200:
                return
            if once and attempt.reached and attempt.status not in (429, 503):
                return
            await asyncio.sleep(pause_s)

    async def _attempt(
        self, client: httpx.AsyncClient, once: bool, key: int
    ) -> tuple[Attempt, float]:
        """Send a request; return how it ended and when to come back."""
        self._sent += 1
        request_id = f'c{self._number}-{self._sent}'
        address = self._random.choice(self._addresses)
        process = self._process_at(address)
        run = self._run_at(address)
        sent_s = self._world.now_s()
        status, whole, reached, pause_s = 0, False, True, 0.0
        leaving_id = ''
        try:
            answer = await client.request(
                'POST' if once else 'GET',
                f'http://{address}/{"order" if once else "read"}/{key}',
                headers={
                    'host': HOST,
                    'request-id': request_id,
                    'affinity-key': str(key),
                    'deadline-ms': str(PATIENCE_MS),
                },
                content=request_id.encode() if once else None,
            )
            status = answer.status_code
            whole = _is_own(answer, request_id, once)
            pause_s = float(answer.headers.get('retry-after', 0))
            leaving_id = _leaving_target(answer)
        except _NOT_REACHED:
            reached = False
        except httpx.HTTPError:
            # No answer; the targets tell whether the request ran.
            status = 0
        timeout_ms = ORDER_TIMEOUT_MS if once else READ_TIMEOUT_MS
        attempt = Attempt(
            request_id=request_id,
            process=process,
            once=once,
            sent_s=sent_s,
            took_s=self._world.now_s() - sent_s,
            timeout_s=timeout_ms / _MS_PER_S,
            status=status,
            whole=whole,
            reached=reached,
            disturbed=self._is_disturbed(address, sent_s),
            run=run if run == self._run_at(address) else '',
            leaving_id=leaving_id,
        )
        return attempt, pause_s

    def _is_disturbed(self, address: str, sent_s: float) -> bool:
        node = self._node_at(address)
        return node is None or node.disturbed_s >= sent_s

    def _process_at(self, address: str) -> str:
        """Return a name for the running process of a node."""
        node = self._node_at(address)
        return f'{node.vm}/{node.starts}' if node else ''

    def _run_at(self, address: str) -> str:
        node = self._node_at(address)
        return node.run if node else ''

    def _node_at(self, address: str) -> SoakNode | None:
        for node in self._world.nodes:
            if node.callers == address:
                return node
        return None


def _is_own(answer: httpx.Response, request_id: str, once: bool) -> bool:
    stamp = answer.headers.get('server-stamp', '')
    body = request_id if once else ''
    own = answer.headers.get('request-id') == request_id
    return own and answer.content == f'{stamp}/{body}'.encode()


def _leaving_target(answer: httpx.Response) -> str:
    """Return the target of an answer that says so if it leaves."""
    if answer.headers.get(LEAVING_HEADER) != '1':
        return ''
    stamp: str = answer.headers.get('server-stamp', '')
    return stamp.partition('.')[0]


async def find_older_versions(
    world: SoakWorld, promises: Promises
) -> list[str]:
    """Return a line for each node without the newest version's route."""
    lines = []
    name = f'version-{world.version}'
    async with httpx.AsyncClient(timeout=PATIENCE_MS / _MS_PER_S) as client:
        for node in world.nodes:
            request_id = f'{name}-{node.vm}'
            promises.probes.add(request_id)
            headers = {
                'host': HOST,
                'request-id': request_id,
                'deadline-ms': str(PATIENCE_MS),
            }
            answer = await client.get(
                f'http://{node.callers}/{name}/1', headers=headers
            )
            if answer.status_code == _NO_ROUTE:
                lines.append(f'{node.vm} has no route {name} after the faults')
    return lines
