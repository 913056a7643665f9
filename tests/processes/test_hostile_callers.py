"""A real node under callers that keep none of the limits.

Checked are only the life of the process, its memory and descriptors, and an
ordinary request afterwards: none of these depends on the machine's speed.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httpx
import pytest
import yaml

from gentianbank_standins.soak.world import HOST
from gentianbank_standins.soak.world import SoakWorld
from tests.support.hostile_callers import build_forms
from tests.support.hostile_callers import CALLERS
from tests.support.hostile_callers import HostileCrowd
from tests.support.hostile_callers import HostileForm
from tests.support.hostile_callers import ProcessWatch

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

# With the idle node's 30 to 40 MB this leaves half of a VM of 200 MB free.
MAX_GROWTH_MB = 60.0
MAX_CONNECTIONS = 300
MAX_CONNECTIONS_PER_ADDRESS = 250
# Beside the callers' port: peers, targets, the store and the other ports.
MAX_EXTRA_DESCRIPTORS = MAX_CONNECTIONS + 100
MANY_CALLERS = 900
HOSTILE_ADDRESS = '127.0.0.9'
ANSWER_TIMEOUT_S = 20.0
# Time within which the node loads what it needs after its start.
SETTLE_S = 1.0
CALLER_LIMITS = {
    'max_connections': MAX_CONNECTIONS,
    'max_connections_per_address': MAX_CONNECTIONS_PER_ADDRESS,
    'max_held_bytes': 24 * 1024 * 1024,
    'header_timeout_ms': 3_000,
    'max_unauthenticated_peers': 50,
}
FORMS = {form.name: form for form in build_forms(HOST)}
SILENT = HostileForm('silent')
DRIPPING = HostileForm('dripping', b'GET /', b'a', pause_s=1.0)
IDLE_AFTER_ANSWER = HostileForm(
    'idle-after-answer', b'GET /missing HTTP/1.1\r\nHost: a\r\n\r\n'
)
CHEAP_FORMS = tuple(
    FORMS[name]
    for name in ('header', 'headers', 'trailers', 'body', 'ahead-without-ids')
)


@pytest.mark.parametrize('form', FORMS.values(), ids=FORMS)
def test_crowd_leaves_the_callers_port_its_memory(
    tmp_path: Path, form: HostileForm
) -> None:
    asyncio.run(play(tmp_path, 'callers', (form,), CALLERS))


@pytest.mark.parametrize(
    'form', [SILENT, DRIPPING, IDLE_AFTER_ANSWER], ids=lambda form: form.name
)
def test_many_connections_leave_the_node_its_descriptors(
    tmp_path: Path, form: HostileForm
) -> None:
    asyncio.run(play(tmp_path, 'callers', (form,), MANY_CALLERS))


@pytest.mark.parametrize('port', ['lookups', 'readiness', 'metrics'])
def test_crowd_leaves_other_ports_their_memory(
    tmp_path: Path, port: str
) -> None:
    asyncio.run(play(tmp_path, port, CHEAP_FORMS, CALLERS))


@pytest.mark.parametrize('port', ['lookups', 'readiness', 'metrics', 'peers'])
def test_silent_connections_to_other_ports_leave_descriptors(
    tmp_path: Path, port: str
) -> None:
    asyncio.run(play(tmp_path, port, (SILENT,), MANY_CALLERS))


def test_crowd_leaves_the_port_for_nodes_its_memory(tmp_path: Path) -> None:
    forms = [FORMS[name] for name in ('request-line', 'header', 'headers')]
    asyncio.run(play(tmp_path, 'peers', (*forms, upgraded_form()), CALLERS))


def upgraded_form() -> HostileForm:
    """Return a WebSocket that sends a large message before its proof."""
    head = (
        b'GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n'
        b'Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n'
        b'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n'
    )
    # First fragment of a message, masked with zeros, then others.
    first = b'\x02\xfe\xea\x60' + bytes(4) + bytes(60_000)
    following = b'\x00\xfe\xea\x60' + bytes(4) + bytes(60_000)
    return HostileForm('websocket-message', head + first, following)


async def play(
    folder: Path, port: str, forms: Iterable[HostileForm], callers: int
) -> None:
    """Let crowds send to a port, and then one caller an ordinary request."""
    world = SoakWorld(
        folder, 1, 1, seed=0, extra_settings={'caller_limits': CALLER_LIMITS}
    )
    crowds = []
    try:
        await world.start()
        (node,) = world.nodes
        assert node.process is not None
        await ask(node.callers, 'before')
        await asyncio.sleep(SETTLE_S)
        watch = ProcessWatch(node.process.pid)
        watch.begin()
        addresses = yaml.safe_load(node.settings.read_text())['addresses']
        for form in forms:
            crowd = HostileCrowd(addresses[port], HOSTILE_ADDRESS)
            crowds.append(crowd)
            await crowd.send(form, callers, watch)
            assert watch.is_running
            print(
                f'MEASURED {port} {form.name}: {watch.peak_growth_mb:.1f} MB,'
                f' {watch.extra_descriptors} descriptors'
            )
        descriptors = watch.extra_descriptors
        await ask(node.callers, 'after')
        assert watch.is_running
        assert watch.peak_growth_mb < MAX_GROWTH_MB
        assert descriptors < MAX_EXTRA_DESCRIPTORS
    finally:
        for crowd in crowds:
            crowd.close()
        await world.stop()


async def ask(address: str, name: str) -> None:
    """Send ordinary requests until one is answered by a target."""
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        for number in range(10_000):
            headers = {
                'host': HOST,
                'request-id': f'{name}-{number}',
                'affinity-key': '1',
                'deadline-ms': '4000',
            }
            if await _is_answered(address, headers):
                return
            await asyncio.sleep(0.2)


async def _is_answered(address: str, headers: dict[str, str]) -> bool:
    # Loading certificates takes longer than a request.
    async with httpx.AsyncClient(timeout=4.0, verify=False) as client:
        try:
            answer = await client.get(
                f'http://{address}/read/1', headers=headers
            )
        except httpx.HTTPError:
            return False
    return answer.status_code == 200
