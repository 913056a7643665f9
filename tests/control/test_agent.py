"""Tests of the agent that handles the events of a node's peers."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from gentianbank.control.agent import ControlAgent
from gentianbank.control.messages import Heartbeat
from gentianbank.control.peers import Received
from tests.support.control_world import ControlWorld
from tests.support.virtual_loop import VirtualLoop

BACKGROUND = (
    '_tick',
    '_read_vm_list',
    '_watch_store',
    '_read_initial_revision',
)
TEST_S = 1.0


class _State:
    """Fails on the messages of one peer with an exception."""

    def __init__(self, error: type[Exception]) -> None:
        self.handled: list[str] = []
        self._error = error

    def on_message(self, vm: str, _message: Any, _time_ms: float) -> list[Any]:
        if vm == 'vm-bad':
            raise self._error('cannot be handled')
        self.handled.append(vm)
        return []


def play(error: type[Exception], monkeypatch: pytest.MonkeyPatch) -> _State:
    async def idle(_agent: ControlAgent) -> None:
        await asyncio.Event().wait()

    for name in BACKGROUND:
        monkeypatch.setattr(ControlAgent, name, idle)
    loop = VirtualLoop()
    state = _State(error)
    parts: Any = (state, None, None, (), None, loop.now_ms)
    agent = ControlAgent(*parts)

    async def body() -> None:
        running = asyncio.create_task(agent.run())
        for vm in ('vm-1', 'vm-bad', 'vm-2'):
            heartbeat = Heartbeat(revision=1, members_digest=1)
            agent.on_peer_event(Received(vm, heartbeat))
        await asyncio.sleep(TEST_S)
        if running.done():
            running.result()
        running.cancel()
        await asyncio.wait([running])

    try:
        loop.run_until_complete(body())
    finally:
        loop.end()
    return state


def test_event_that_cannot_be_handled_costs_only_itself(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    state = play(OverflowError, monkeypatch)
    assert state.handled == ['vm-1', 'vm-2']


def test_broken_invariant_ends_the_agent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with pytest.raises(AssertionError):
        play(AssertionError, monkeypatch)


@pytest.mark.parametrize('is_receiving', [False, True])
def test_node_whose_long_message_arrives_is_not_declared_down(
    is_receiving: bool,
) -> None:
    world = ControlWorld({'east': 3})
    world.start_all()
    world.advance(5.0)
    vm = min(world.nodes)
    others = [node for name, node in world.nodes.items() if name != vm]
    for node in others:
        if is_receiving:
            node.peers.receiving = frozenset((vm,))
    world.freeze(vm, 8.0)
    world.advance(7.0)
    are_down = {
        vm not in [member.vm for member in node.state.members.running()]
        for node in others
    }
    world.close()
    assert are_down == {not is_receiving}
