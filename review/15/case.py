"""Nodes go on sending to an upstream whose answers say that it leaves."""

from __future__ import annotations

import asyncio
from pathlib import Path
import time

import harness as h

HOST = 'orders.example'
# drainMs and the outage, as on the sheets.
DRAIN_S = 2.0
OUTAGE_S = 4.5
RATE_PER_S = 30
WORK_S = 0.25


class Leaving(h.Upstream):
    """Says in all its answers that it leaves, once it does."""

    is_leaving = False

    def head(self, status, headers, size) -> bytes:
        if self.is_leaving:
            headers = headers | {'Server-Leaving': '1'}
        return super().head(status, headers, size)


async def case(folder: Path) -> int:
    zones = {'a-1': 'a', 'b-1': 'b', 'c-1': 'c'}
    d = h.Deployment(folder, zones)
    record, store = d.record, d.store
    told_s: dict[str, float] = {}
    sent: dict[str, tuple[str, float]] = {}
    try:
        for zone in zones:
            d.add_node(f'node-{zone}', zone)
            for number in range(3):
                d.add_upstream(
                    f'i-{zone}-{number}', 'desk', zone, Leaving,
                    slots=6, work_s=WORK_S,
                )
        routes = [h.route('r-orders', '/orders/', 'desk', 'non_idempotent')]
        store.put('op/config', h.configuration(1, HOST, ['desk'], routes))
        await d.start()
        await asyncio.sleep(5)

        async def order(node: h.Node) -> int:
            request_id = d.new_id()
            sent[request_id] = (node.vm, time.monotonic())
            record.note(f'sent {request_id} to {node.vm}')
            answer = await h.request(
                node.host, node.front, 'POST', '/orders/1',
                {'Host': HOST, 'Request-Id': request_id,
                 'Deadline-Ms': '4000'}, b'order',
            )
            leaving = 'server-leaving' in answer.headers
            record.note(
                f'answered {request_id} {answer.status}'
                + (' Server-Leaving' if leaving else '')
            )
            if leaving:
                told_s.setdefault(node.vm, time.monotonic())
            return answer.status

        async def send_orders(until_s: float) -> list[asyncio.Task[int]]:
            tasks = []
            while time.monotonic() < until_s:
                node = d.nodes[len(tasks) % len(d.nodes)]
                tasks.append(asyncio.create_task(order(node)))
                await asyncio.sleep(1 / RATE_PER_S)
            return tasks

        tasks = await send_orders(time.monotonic() + 3)
        counts = {u.name: 0 for u in d.upstreams}
        for run in d.runs:
            counts[run.server] += 1
        # Any upstream may leave; this one got the most orders.
        leaver = max(d.upstreams, key=lambda u: counts[u.name])
        if h.TROUBLE:
            store.go_away()
        # It leaves in both runs; its report is accepted once the store is up.
        leaver.is_leaving = True
        record.note(f'{leaver.name} leaves')
        if not h.TROUBLE:
            store.put(leaver.key, leaver.entry('draining'))
        tasks += await send_orders(time.monotonic() + OUTAGE_S)
        if h.TROUBLE:
            store.come_back_whole()
            store.put(leaver.key, leaver.entry('draining'))
        tasks += await send_orders(time.monotonic() + 3)
        statuses = [await task for task in tasks]
        late: dict[str, int] = {}
        for run in d.runs:
            if run.server != leaver.name or run.request_id not in sent:
                continue
            vm, sent_s = sent[run.request_id]
            if vm in told_s and sent_s > told_s[vm] + DRAIN_S:
                late[vm] = late.get(vm, 0) + 1
        record.say(
            f'{statuses.count(200)} of {len(statuses)} orders answered 200; '
            f'told of the leaving: {sorted(told_s)}; orders sent over '
            f'{DRAIN_S} s after that and run there: {late}'
        )
        if statuses.count(200) * 2 < len(statuses):
            return h.CANNOT_RUN
        return h.BROKEN if late else h.HELD
    finally:
        d.stop()


h.main(case, Path(__file__).parent)
