"""Answers without an end are passed on past the time-out of their route."""

from __future__ import annotations

import asyncio
from pathlib import Path
import time

import harness as h

HOST = 'prices.example'
SIZE = 5_000
PART = b'x' * 16_000
PAUSE_S = 0.005
TIMEOUT_MS = 1_500
DEADLINE_MS = 3_000
REQUESTS = 540
RATE_PER_S = 90
WORK_S = 0.3
SLOTS = 2
# As garble: at a share of 0.6 of the upstreams, 0.05 of the answers.
TROUBLED = 0.6
ENDLESS_EACH = 20


class Prices(h.Upstream):
    """Some of its answers have no end, until the caller closes."""

    in_trouble = False
    count = 0

    async def respond(self, run, body, headers, writer) -> bool:
        await asyncio.sleep(self.work_s)
        stamp = f'{self.name}.{run.request_id}'
        headers = headers | {'Server-Stamp': stamp}
        type(self).count += self.in_trouble
        if not self.in_trouble or self.count % ENDLESS_EACH:
            await self.send(writer, 200, headers, b'p' * SIZE)
            return True
        self.record.note(f'without end: {run.request_id} at {self.name}')
        head = self.head(200, headers, 0).replace(
            b'Content-Length: 0', b'Transfer-Encoding: chunked'
        )
        writer.write(head)
        while not writer.transport.is_closing():
            writer.write(b'%x\r\n%s\r\n' % (len(PART), PART))
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        return False


async def look_up(d: h.Deployment, node: h.Node) -> tuple[float, bool]:
    """Send a request; return how long it took, and if it was answered."""
    request_id = d.new_id()
    sent_s = time.monotonic()
    d.record.note(f'sent {request_id} to {node.vm}')
    try:
        answer = await h.request(
            node.host, node.front, 'GET', '/prices/1',
            {'Host': HOST, 'Request-Id': request_id,
             'Deadline-Ms': str(DEADLINE_MS)},
            timeout_s=DEADLINE_MS / 1000,
        )
        end = f'{answer.status}, {len(answer.body)} bytes, '
        end += 'complete' if answer.is_complete else 'ended early'
        is_final = True
    except TimeoutError:
        end, is_final = 'no final answer until the deadline', False
    took_s = time.monotonic() - sent_s
    d.record.note(f'answered {request_id} after {took_s:.2f} s: {end}')
    return took_s, is_final


async def case(folder: Path) -> int:
    zones = {'a-1': 'a', 'b-1': 'b', 'c-1': 'c'}
    d = h.Deployment(folder, zones)
    record = d.record
    try:
        for zone in zones:
            d.add_node(f'node-{zone}', zone)
            for number in range(5):
                upstream = d.add_upstream(
                    f'i-{zone}-{number}', 'prices', zone, Prices,
                    slots=SLOTS, work_s=WORK_S,
                )
                upstream.in_trouble = h.TROUBLE and number < 5 * TROUBLED
        routes = [
            h.route('r-prices', '/prices/', 'prices', timeout_ms=TIMEOUT_MS),
        ]
        d.store.put('op/config', h.configuration(1, HOST, ['prices'], routes))
        await d.start()
        await asyncio.sleep(5)
        tasks = []
        for number in range(REQUESTS):
            node = d.nodes[number % len(d.nodes)]
            tasks.append(asyncio.create_task(look_up(d, node)))
            await asyncio.sleep(1 / RATE_PER_S)
        results = [await task for task in tasks]
        limit_s = TIMEOUT_MS / 1000
        late = [took_s for took_s, _ in results if took_s > limit_s]
        unanswered = [took_s for took_s in late if took_s > limit_s + 0.5]
        never = sum(not is_final for _, is_final in results)
        record.say(
            f'{len(results)} look-ups: {len(late)} lasted longer than '
            f'timeoutMs, {len(unanswered)} of them had no final answer 0.5 s '
            f'after it, {never} none until the deadline'
        )
        is_broken = len(unanswered) >= 8 and len(unanswered) * 4 > len(late)
        return h.BROKEN if is_broken else h.HELD
    finally:
        d.stop()


h.main(case, Path(__file__).parent)
