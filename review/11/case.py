"""A restored store: most nodes of a region miss the next configuration."""

from __future__ import annotations

import asyncio
from pathlib import Path
import time

import harness as h

HOST = 'orders.example'
COPY_AGE_S = 6.0
AWAY_S = 1.0
PHASE_S = 1.1
STABLE_S = 4.0
APPLY_S = 3.0
LOST_VERSIONS = 2


def config(version: int, service: str) -> dict:
    # The operator changes a time-out with each version.
    routes = [
        h.route('r-orders', '/orders/', service, 'non_idempotent',
                timeout_ms=3000 + version),
    ]
    return h.configuration(version, HOST, ['old-desk', 'new-desk'], routes)


async def case(folder: Path) -> int:
    zones = {'a-1': 'a', 'a-2': 'a', 'a-3': 'a'}
    d = h.Deployment(folder, zones)
    record, store = d.record, d.store
    try:
        for number in range(9):
            d.add_node(f'node-{number}', f'a-{number % 3 + 1}')
        for service in ('old-desk', 'new-desk'):
            for zone in zones:
                d.add_upstream(f'i-{service}-{zone}', service, zone)
        store.put('op/config', config(1, 'old-desk'))
        await d.start()
        await asyncio.sleep(6)
        for version in range(2, 2 + LOST_VERSIONS):
            revision = store.put('op/config', config(version, 'old-desk'))
            record.note(f'version {version} confirmed, revision {revision}')
            await asyncio.sleep(PHASE_S)
        if h.TROUBLE:
            store.go_away(silent=True)
            await asyncio.sleep(AWAY_S)
            store.come_back(COPY_AGE_S)
            # What the operator wrote is written again.
            revision = store.put('op/config', config(version, 'old-desk'))
            record.note(f'version {version} again, revision {revision}')
        else:
            await asyncio.sleep(AWAY_S)
        await asyncio.sleep(STABLE_S + 0.5)
        version += 1
        revision = store.put('op/config', config(version, 'new-desk'))
        confirmed_s = time.monotonic()
        record.note(f'version {version} confirmed, revision {revision}')
        await asyncio.sleep(APPLY_S + 0.5)
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
            f'{answered} of 90 orders answered 200; sent {APPLY_S + 0.5} to '
            f'{span_s:.1f} s after the confirmation of version {version}; '
            f'run by the old service: {sum(late.values())}, by node {late}'
        )
        if answered < 45:
            return h.CANNOT_RUN
        return h.BROKEN if late else h.HELD
    finally:
        d.stop()


h.main(case, Path(__file__).parent)
