"""Tests of what a node says about whether a request has run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from gentianbank_standins.soak.promises import NOT_RUN_STATUSES
from tests.support.fakes import DOUBTFUL_REFUSALS
from tests.support.fakes import FAILURES_AFTER_RUN
from tests.support.world import Reply
from tests.support.world import World

if TYPE_CHECKING:
    from collections.abc import Iterator


UNPROVED_REFUSALS = (
    'refusal of two',
    'success not run',
    *DOUBTFUL_REFUSALS,
)


@pytest.fixture
def world() -> Iterator[World]:
    found = World()
    found.start('vm-1')
    yield found
    found.close()


@pytest.mark.parametrize('key', ['', 'order-1'])
@pytest.mark.parametrize('fault', [*FAILURES_AFTER_RUN, *UNPROVED_REFUSALS])
def test_order_that_ran_is_not_called_not_run_and_not_sent_again(
    world: World, fault: str, key: str
) -> None:
    world.targets.fault = fault
    reply = ask(world, 'POST', key)
    assert world.targets.executed['post'] == 1
    assert (reply.status, reply.outcome) == (502, 'unknown')
    if key:
        world.targets.fault = ''
        assert ask(world, 'POST', key).outcome == 'unknown'
        assert world.targets.executed['post'] == 1


@pytest.mark.parametrize('fault', ['shed', 'refused connection'])
def test_read_that_may_have_run_once_is_not_refused_as_not_run(
    world: World, fault: str
) -> None:
    world.targets.fault = 'lost answer'
    task = world.submit('vm-1', 'GET', '/services/ordering/price', '', b'')
    world.advance(0.5)
    world.targets.fault = fault
    reply = world.loop.run_until_complete(task)
    assert world.targets.executed['/price'] >= 1
    assert reply.status not in NOT_RUN_STATUSES
    assert reply.outcome == 'unknown'


def ask(world: World, method: str, key: str) -> Reply:
    task = world.submit(
        'vm-1', method, '/services/ordering/orders', key, b'post'
    )
    return world.loop.run_until_complete(task)
