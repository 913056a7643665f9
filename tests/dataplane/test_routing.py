"""Tests of the queue for targets of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from gentianbank.dataplane.routing import NoCapacity
from gentianbank.dataplane.routing import Permit
from gentianbank.dataplane.routing import Routing
from gentianbank.dataplane.routing import Waiter
from tests.support.world import build_configuration
from tests.support.world import SERVICE
from tests.support.world import World

if TYPE_CHECKING:
    from collections.abc import Iterator
    from typing import Any

VM = 'vm-1'
MAX_CHOICES = 100
FOREVER_MS = float('inf')


@pytest.fixture
def world() -> Iterator[World]:
    world = World(configuration=build_configuration(targets=1, slots=1))
    world.start(VM)
    yield world
    world.close()


def choose(world: World, *tried: str) -> Permit | NoCapacity:
    service = world.configuration.services[SERVICE]
    routing = world.nodes[VM].routing
    choice = routing.choose(SERVICE, service, FOREVER_MS, {*tried})
    assert isinstance(choice, Permit | NoCapacity)
    return choice


def take_only_slot(world: World) -> Permit:
    permit = choose(world)
    assert isinstance(permit, Permit)
    return permit


def join_queue(world: World, *tried: str) -> Waiter:
    waiter = world.nodes[VM].routing.join_queue(SERVICE, {*tried})
    assert waiter is not None
    return waiter


def test_waiters_do_not_wake_each_other_without_end(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    choices = 0
    choose_target = Routing.choose

    def count(self: Routing, *args: Any) -> Any:
        nonlocal choices
        choices += 1
        assert choices < MAX_CHOICES, 'the loop spins'
        return choose_target(self, *args)

    permit = take_only_slot(world)
    tasks = [
        world.submit(VM, 'GET', f'/services/{SERVICE}/{name}', '', b'')
        for name in ('one', 'two')
    ]
    world.advance(0.01)
    monkeypatch.setattr(Routing, 'choose', count)
    # A newer request takes the slot before the woken one runs.
    world.nodes[VM].routing.release(permit)
    permit = take_only_slot(world)
    world.advance(0.01)
    assert not any(task.done() for task in tasks)
    world.nodes[VM].routing.release(permit)
    world.advance(1.0)
    assert [task.result().status for task in tasks] == [200, 200]


def test_waiter_that_finds_no_target_keeps_its_place(world: World) -> None:
    routing = world.nodes[VM].routing
    permit = take_only_slot(world)
    first = join_queue(world)
    second = join_queue(world)
    routing.release(permit)
    permit = take_only_slot(world)
    again = routing.join_queue(SERVICE, set(), first)
    assert again is not None
    routing.release(permit)
    assert again.woken.done()
    assert not second.woken.done()


def test_waiter_that_tried_the_free_target_is_not_woken(world: World) -> None:
    routing = world.nodes[VM].routing
    permit = take_only_slot(world)
    first = join_queue(world, permit.target.name)
    second = join_queue(world)
    routing.release(permit)
    assert not first.woken.done()
    assert second.woken.done()


def test_woken_waiter_that_leaves_wakes_the_next(world: World) -> None:
    routing = world.nodes[VM].routing
    permit = take_only_slot(world)
    first = join_queue(world)
    second = join_queue(world)
    routing.release(permit)
    assert not second.woken.done()
    routing.leave_queue(SERVICE, first)
    assert second.woken.done()


def test_full_queue_takes_no_new_waiter_but_one_that_was_woken(
    world: World,
) -> None:
    routing = world.nodes[VM].routing
    permit = take_only_slot(world)
    first = routing.join_queue(SERVICE, set())
    routing.release(permit)
    while routing.join_queue(SERVICE, set()) is not None:
        pass
    assert routing.join_queue(SERVICE, set(), first) is not None


def test_waiters_are_refused_at_once_when_no_target_is_left(
    world: World,
) -> None:
    permit = take_only_slot(world)
    tasks = [
        world.submit(VM, 'GET', f'/services/{SERVICE}/{name}', '', b'')
        for name in ('one', 'two')
    ]
    world.advance(0.01)
    routing = world.nodes[VM].routing
    routing.leaving.on_said(permit.target.name)
    routing.release(permit)
    world.advance(0.01)
    assert all(task.done() for task in tasks)
    assert all(task.result().status == 503 for task in tasks)
