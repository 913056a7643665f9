"""Stand-in for the platform: key-value store and list of VMs.

The store speaks a part of the JSON gateway of the etcd v3 API, the list is
in Prometheus' HTTP SD format. Faults are switched over HTTP while it runs.
"""

from __future__ import annotations

import asyncio
import base64
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass
from dataclasses import field
import json
import time
from typing import Any

import fire
from litestar import get
from litestar import Litestar
from litestar import post
from litestar import put
from litestar import Request
from litestar import Response
from litestar.response import Stream

from gentianbank_standins.key_value import KeyValueStore
from gentianbank_standins.serving import serve_app

MAX_VALUE_BYTES = 1_000_000
MAX_REQUEST_BYTES = 16_000_000
_MS_PER_S = 1_000


@dataclass
class Faults:
    """Faults of the platform, each off by default.

    Parameters
    ----------
    outage
        Calls fail; watches end.
    slow_ms
        Time added to each call.
    lose_answers
        Number of writes to come whose answers are lost.
    vm_list_lag_ms
        Time by which the list of VMs lags.
    """

    outage: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    vm_list_lag_ms: int = 0


@dataclass
class _State:
    store: KeyValueStore = field(default_factory=KeyValueStore)
    faults: Faults = field(default_factory=Faults)
    calls: Counter[str] = field(default_factory=Counter)
    lists: list[tuple[float, list[dict[str, Any]]]] = field(
        default_factory=list
    )


class Unavailable(Exception):
    """The platform is out."""


def build_app() -> Litestar:
    """Return the application of a new, empty platform."""
    state = _State()

    async def enter(name: str) -> None:
        state.calls[name] += 1
        if state.faults.slow_ms:
            await asyncio.sleep(state.faults.slow_ms / _MS_PER_S)
        if state.faults.outage:
            raise Unavailable

    @post('/v3/kv/range', status_code=200)
    async def read_range(data: dict[str, Any]) -> dict[str, Any]:
        await enter('range')
        return state.store.range(data)

    @post('/v3/kv/txn', status_code=200)
    async def commit(data: dict[str, Any]) -> Response[dict[str, Any]]:
        await enter('txn')
        for item in data.get('success', ()):
            value = base64.b64decode(item['request_put'].get('value', ''))
            if len(value) > MAX_VALUE_BYTES:
                text = 'etcdserver: request is too large'
                return Response({'error': text, 'code': 3}, status_code=400)
        answer = state.store.commit(data)
        if state.faults.lose_answers > 0:
            state.faults.lose_answers -= 1
            raise Unavailable
        return Response(answer)

    @post('/v3/lease/grant', status_code=200)
    async def grant(data: dict[str, Any]) -> dict[str, Any]:
        await enter('lease')
        return state.store.grant(int(data['TTL']))

    @post('/v3/lease/keepalive', status_code=200)
    async def keep_alive(data: dict[str, Any]) -> dict[str, Any]:
        await enter('lease')
        return state.store.keep_alive(int(data['ID']))

    @post('/v3/lease/revoke', status_code=200)
    async def revoke(data: dict[str, Any]) -> dict[str, Any]:
        await enter('lease')
        state.store.revoke(int(data['ID']))
        return {}

    @post('/v3/watch', status_code=200)
    async def watch(data: dict[str, Any]) -> Stream:
        await enter('watch')
        create = data['create_request']

        async def events() -> AsyncIterator[bytes]:
            yield _line({'created': True})
            watcher = state.store.watch(create)
            try:
                while not state.faults.outage:
                    try:
                        event = await asyncio.wait_for(watcher.get(), 0.5)
                    except TimeoutError:
                        continue
                    yield _line({'events': [event]})
            finally:
                state.store.unwatch(watcher)

        return Stream(events(), media_type='application/json')

    @get('/vms')
    async def list_vms() -> list[dict[str, Any]]:
        await enter('vms')
        horizon = time.monotonic() - state.faults.vm_list_lag_ms / _MS_PER_S
        known: list[dict[str, Any]] = []
        for set_at, groups in state.lists:
            if set_at <= horizon or not known:
                known = groups
        return known

    @put('/standin/vms', status_code=204)
    async def set_vms(data: list[dict[str, Any]]) -> None:
        state.lists.append((time.monotonic(), data))

    @put('/standin/faults', status_code=204)
    async def set_faults(data: Faults) -> None:
        state.faults = data

    @get('/standin/calls')
    async def show_calls() -> dict[str, int]:
        return dict(state.calls)

    @get('/healthz')
    async def show_health() -> dict[str, str]:
        return {'status': 'pass'}

    return Litestar(
        [
            read_range,
            commit,
            grant,
            keep_alive,
            revoke,
            watch,
            list_vms,
            set_vms,
            set_faults,
            show_calls,
            show_health,
        ],
        exception_handlers={Unavailable: _answer_unavailable},
        openapi_config=None,
        logging_config=None,
        request_max_body_size=MAX_REQUEST_BYTES,
    )


def serve(address: str) -> None:
    """Run the platform on an address."""
    serve_app(build_app(), address)


def main() -> None:
    """Run the command line of the stand-in."""
    fire.Fire(serve, name='gentianbank-platform')


def _answer_unavailable(
    _: Request[Any, Any, Any], error: Unavailable
) -> Response[dict[str, str]]:
    return Response({'error': 'unavailable'}, status_code=503)


def _line(result: dict[str, Any]) -> bytes:
    return json.dumps({'result': result}).encode() + b'\n'


if __name__ == '__main__':
    main()
