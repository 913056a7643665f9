"""Tests of followers of a store that was restored from an older copy."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from gentianbank.policy.store_followers import StoreRole
from gentianbank.steering.store_following.messages import StoreUpdate
from tests.support.store_fleet import StoreFleet

if TYPE_CHECKING:
    from gentianbank.control.messages import Message

NODES = 9
LOST_CHANGES = 10
AGE_S = 3.0
# Within the pause of followers after changes.
PAUSE_S = 0.1


@pytest.mark.parametrize('states_era', [True, False])
@pytest.mark.parametrize('later_changes', [0, 4])
def test_all_nodes_follow_a_restored_store(
    later_changes: int, states_era: bool
) -> None:
    # Followers that paused after changes saw no failure. Without an era, they
    # confirmed the copies of the lost history.
    fleet = StoreFleet(NODES, states_era=states_era)
    for number in range(LOST_CHANGES):
        fleet.log.write(f'servers/lost-{number}', b'{}')
    fleet.advance(PAUSE_S)
    fleet.restore_store(AGE_S, 0.0, are_watches_silent=False)
    for number in range(later_changes):
        fleet.log.write(f'servers/again-{number}', b'{}')
    fleet.log.write('op/evacuate/east-1', b'{}')
    fleet.advance(2.5)
    evacuated = [n.cluster_view.evacuated for n in fleet.nodes.values()]
    revisions = {node.sync.revision for node in fleet.nodes.values()}
    fleet.loop.end()
    assert evacuated == [{'east-1'}] * NODES
    assert revisions == {fleet.log.revision}


def test_followers_of_an_older_release_hold_up_no_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Their messages have no era, and can't be told from those of a lost one.
    send = StoreFleet.send

    def send_without_era(
        self: StoreFleet, source: str, to: str, message: Message
    ) -> None:
        if isinstance(message, StoreUpdate):
            message = replace(message, era=0)
        send(self, source, to, message)

    monkeypatch.setattr(StoreFleet, 'send', send_without_era)
    fleet = StoreFleet(NODES)
    fleet.log.write('op/evacuate/east-1', b'{}')
    fleet.advance(2.5)
    evacuated = [n.cluster_view.evacuated for n in fleet.nodes.values()]
    roles = {node.role for node in fleet.nodes.values()}
    fleet.loop.end()
    assert evacuated == [{'east-1'}] * NODES
    assert roles == {StoreRole.FOLLOWER, StoreRole.READER}
