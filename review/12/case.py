"""A restored store whose revisions pass the old ones before nodes ask."""

from __future__ import annotations

import asyncio
from pathlib import Path
import time

import harness as h

HOST = 'orders.example'
COPY_AGE_S = 5.0
AWAY_S = 1.0
# configApplyMs and maxStretchMs, at the largest values of the sheets.
APPLY_S = 3.0
STRETCH_S = 6.0
LOST_VERSIONS = 2
REWRITE_GAP_S = 0.02


def config(version: int, service: str) -> dict:
    # The operator changes a time-out with each version.
    routes = [
        h.route('r-orders', '/orders/', service, 'non_idempotent',
                timeout_ms=3000 + version),
    ]
    return h.configuration(version, HOST, ['old-desk', 'new-desk'], routes)


async def case(folder: Path) -> int:
    zones = {
        'a-1': 'a', 'a-2': 'a', 'b-1': 'b', 'b-2': 'b', 'c-1': 'c', 'c-2': 'c',
    }
    d = h.Deployment(folder, zones)
    record, store = d.record, d.store
    try:
        for zone in (*zones, 'a-1'):
            d.add_node(f'node-{len(d.nodes)}', zone)
        for service in ('old-desk', 'new-desk'):
            for zone in zones:
                d.add_upstream(f'i-{service}-{zone}', service, zone)
        store.put('op/config', config(1, 'old-desk'))
        await d.start()
        await asyncio.sleep(6)
        for version in range(2, 2 + LOST_VERSIONS):
            revision = store.put('op/config', config(version, 'old-desk'))
            record.note(f'version {version} confirmed, revision {revision}')
            await asyncio.sleep(1.1)
        if h.TROUBLE:
            store.go_away()
        await asyncio.sleep(AWAY_S)
        version += 1
        if h.TROUBLE:
            store.come_back(COPY_AGE_S)
        # The next version, for which the operator had to wait, contains what
        # the operator wrote before.
        revision = store.put('op/config', config(version, 'new-desk'))
        confirmed_s = time.monotonic()
        record.note(f'version {version} confirmed, revision {revision}')
        if h.TROUBLE:
            # The upstreams write their entries again.
            for upstream in d.upstreams:
                await asyncio.sleep(REWRITE_GAP_S)
                store.put(upstream.key, upstream.entry())
            record.note(f'entries written again, revision {store.revision}')
        await asyncio.sleep(
            confirmed_s + APPLY_S + STRETCH_S + 0.5 - time.monotonic()
        )
        late: dict[str, int] = {}
        answered = 0
        for _ in range(10):
            sent = {}
            for node in d.nodes:
                request_id = d.new_id()
                sent[request_id] = node
                record.note(f'sent {request_id} to {node.vm}')
            answers = await asyncio.gather(
                *(
                    h.request(
                        node.host, node.front, 'POST', '/orders/1',
                        {'Host': HOST, 'Request-Id': request_id,
                         'Deadline-Ms': '3000'}, b'order',
                    )
                    for request_id, node in sent.items()
                )
            )
            for (request_id, node), answer in zip(sent.items(), answers):
                record.note(f'answered {request_id} {answer.status}')
                answered += answer.status == 200
            for run in d.runs:
                if run.request_id in sent and run.service == 'old-desk':
                    vm = sent[run.request_id].vm
                    late[vm] = late.get(vm, 0) + 1
            await asyncio.sleep(0.8)
        span_s = time.monotonic() - confirmed_s
        record.say(
            f'{answered} of 70 orders answered 200; sent '
            f'{APPLY_S + STRETCH_S + 0.5} to {span_s:.1f} s after the '
            f'confirmation of version {version}; run by the old service: '
            f'{sum(late.values())}, by node {late}'
        )
        if answered < 35:
            return h.CANNOT_RUN
        return h.BROKEN if late else h.HELD
    finally:
        d.stop()


h.main(case, Path(__file__).parent)
