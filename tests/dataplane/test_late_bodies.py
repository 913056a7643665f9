"""Tests of answers whose target does not end them, on the own interface."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from gentianbank.dataplane.attempts import LARGE_SILENCE_MS
from gentianbank.domain.configuration import LARGE
from tests.support.world import SERVICE
from tests.support.world import World

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterator

    from tests.support.world import Reply

VM = 'vm-1'
# That of the service, and a part of a second for what comes after it.
DEADLINE_S = 2.2
MAX_BYTES = 100_000


@pytest.fixture
def world() -> Iterator[World]:
    found = World()
    found.start(VM)
    yield found
    found.close()


def make_large(world: World) -> None:
    """Let the service make large transfers."""
    services = {
        name: replace(service, transfer=LARGE)
        for name, service in world.configuration.services.items()
    }
    world.configuration = replace(world.configuration, services=services)
    world.nodes[VM].routing.update(world.configuration)


def send(world: World, method: str, fault: str) -> asyncio.Task[Reply]:
    world.targets.fault = fault
    body = b'token' if method == 'POST' else b''
    return world.submit(VM, method, f'/services/{SERVICE}/token', '', body)


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize(
    'fault', ['silent answer', 'trickled answer', 'answer without end']
)
def test_answer_without_end_ends_at_the_deadline(
    world: World, method: str, fault: str
) -> None:
    """An order waited for good for the rest of its answer."""
    task = send(world, method, fault)
    world.advance(DEADLINE_S)
    assert task.done()
    assert not task.result().whole or task.result().outcome == 'unknown'


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('fault', ['silent answer', 'trickled answer'])
def test_large_transfer_ends_when_its_target_stops_sending(
    world: World, method: str, fault: str
) -> None:
    """A large transfer was awaited for good, and kept its permit."""
    make_large(world)
    task = send(world, method, fault)
    world.advance(LARGE_SILENCE_MS / 1_000 * 1.1)
    assert task.done()
    assert not task.result().whole or task.result().outcome == 'unknown'


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_large_transfer_goes_on_past_its_deadline_while_bytes_come(
    world: World, method: str
) -> None:
    make_large(world)
    task = send(world, method, 'answer without end')
    world.advance(LARGE_SILENCE_MS / 1_000 * 2)
    assert not task.done()


def test_large_answer_over_the_limit_on_bodies_is_ended(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Bytes without end were passed on for good."""
    make_large(world)
    sender = world.nodes[VM].forwarder._retrying_sender
    limits = replace(sender._limits, max_body_bytes=MAX_BYTES)
    monkeypatch.setattr(sender, '_limits', limits)
    task = send(world, 'GET', 'answer without end')
    world.advance(LARGE_SILENCE_MS / 1_000 * 2)
    assert task.done()
    assert not task.result().whole
    assert len(task.result().body) <= MAX_BYTES
