"""Tests of what peers tell a node that is turned away by a restored store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from gentianbank.policy.fleet_members import MemberSource
from gentianbank.policy.restored_store import CAUTION_MS
from gentianbank.steering.store_following.catch_up import encode_changes
from gentianbank.steering.store_following.catch_up import StoreChanges
from gentianbank.steering.store_following.catch_up import StoreChangesRequest
from gentianbank.storage.prefix_store import Removal
from tests.platform.test_documents import CONFIGURATION
from tests.platform.test_documents import ENTRY
from tests.support.odd_entries import MAX_VALUE_BYTES
from tests.support.odd_entries import ODD_KEYS
from tests.support.store_copy import version_in_force
from tests.support.store_pair import Pair

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianbank.control.messages import Message

DRAINING = ENTRY | {'state': 'draining', 'sequence': 9}
EVACUATION = 'op/evacuate/east-1'
# Changes before the restore that the copy of the store does not have.
LOST_CHANGES = 5
# Of an answer to a listing, so that it takes one to two seconds.
SLOW_BYTES_PER_S = 1_000.0


@pytest.fixture
def pair() -> Iterator[Pair]:
    """Return a pair over a store that is of its first era."""
    made = Pair(era=1)
    yield made
    made.refused.loop.end()


def lose_changes(pair: Pair) -> None:
    """Take a backup and write what a restore loses."""
    pair.take_backup()
    for number in range(LOST_CHANGES):
        pair.write(f'servers/lost-{number}', ENTRY)
    pair.wait(1.0)


def restore(pair: Pair) -> None:
    """Restore the store while it turns one of the nodes away."""
    pair.refuse_store_calls()
    pair.restore(era=2)


def answers(pair: Pair) -> list[StoreChanges]:
    """Return the answers that either node has sent."""
    return [m for m in pair.sent if isinstance(m, StoreChanges)]


def tell(pair: Pair, message: Message) -> None:
    """Deliver a message to the node that is turned away."""
    pair.news['refused'].on_message('other', message)


@pytest.mark.parametrize('later_changes', [0, 20])
def test_node_turned_away_gets_the_version_of_the_new_era(
    pair: Pair, later_changes: int
) -> None:
    lose_changes(pair)
    restore(pair)
    pair.write('op/config', CONFIGURATION | {'version': 9})
    for number in range(later_changes):
        pair.write(f'servers/again-{number}', ENTRY)
    pair.wait(1.0)
    assert version_in_force(pair.refused) == 9
    assert pair.refused.sync.era == 2
    assert not pair.refused.sync.is_reachable


def test_node_turned_away_learns_of_an_evacuation_of_the_new_era(
    pair: Pair,
) -> None:
    lose_changes(pair)
    restore(pair)
    pair.write(EVACUATION, {})
    pair.wait(1.0)
    assert pair.refused.cluster_view.evacuated == {'east-1'}


def test_node_turned_away_applies_later_changes(pair: Pair) -> None:
    lose_changes(pair)
    restore(pair)
    pair.wait(1.0)
    pair.write('op/config', CONFIGURATION | {'version': 10})
    pair.write('servers/i-1', DRAINING)
    pair.write(EVACUATION, {})
    pair.wait(1.0)
    pair.remove(EVACUATION)
    pair.wait(1.0)
    view = pair.refused.cluster_view
    assert version_in_force(pair.refused) == 10
    assert view.targets['i-1'].registration.draining
    assert view.evacuated == set()


def test_node_that_peers_told_of_a_restore_lists_the_store(
    pair: Pair,
) -> None:
    lose_changes(pair)
    restore(pair)
    pair.write('servers/new', ENTRY)
    pair.wait(2.0)
    assert pair.refused.sync.needs_listing
    pair.refused.store.set_fault('')
    pair.wait(1.0)
    assert not pair.refused.sync.needs_listing
    assert 'new' in pair.refused.targets


def test_peer_of_an_earlier_era_is_not_believed(pair: Pair) -> None:
    lose_changes(pair)
    restore(pair)
    pair.wait(1.0)
    held = pair.refused.sync.revision
    removal = Removal('servers/i-1', held + 9)
    tell(
        pair,
        StoreChanges(
            revision=held + 9, era=1, changes=encode_changes((removal,))
        ),
    )
    assert 'i-1' in pair.refused.targets
    assert pair.refused.sync.revision == held


def test_peer_of_an_older_release_is_not_believed(pair: Pair) -> None:
    pair.refuse_store_calls()
    held = pair.refused.sync.revision
    removal = Removal('servers/i-1', held + 9)
    tell(
        pair,
        StoreChanges(revision=held + 9, changes=encode_changes((removal,))),
    )
    assert 'i-1' in pair.refused.targets
    assert pair.refused.sync.revision == held


def test_node_turned_away_learns_that_a_lost_evacuation_is_over(
    pair: Pair,
) -> None:
    pair.take_backup()
    pair.write(EVACUATION, {})
    pair.wait(1.0)
    assert pair.refused.cluster_view.evacuated == {'east-1'}
    restore(pair)
    pair.wait(1.0)
    assert pair.refused.sync.era == 2
    assert pair.refused.cluster_view.evacuated == {'east-1'}
    pair.wait(CAUTION_MS / 1_000)
    assert pair.refused.cluster_view.evacuated == set()


def test_listing_that_changes_of_peers_overtake_reverts_nothing(
    pair: Pair,
) -> None:
    lose_changes(pair)
    restore(pair)
    pair.wait(1.0)
    pair.refused.store.bytes_per_s = SLOW_BYTES_PER_S
    pair.refused.store.set_fault('')
    pair.wait(0.5)
    pair.write(EVACUATION, {})
    seen = []
    for _ in range(20):
        pair.wait(0.1)
        seen.append(pair.refused.sync.revision)
    assert seen == sorted(seen)
    assert not pair.refused.sync.needs_listing
    assert pair.refused.cluster_view.evacuated == {'east-1'}


def test_own_entries_are_written_again_when_peers_told_of_a_restore(
    pair: Pair,
) -> None:
    lose_changes(pair)
    restore(pair)
    pair.wait(2.0)
    assert pair.refused.sync.era == 2
    pair.refused.store.set_fault('')
    pair.wait(1.0)
    assert pair.refused.lost_entries == [*MemberSource]


@pytest.mark.parametrize('domain', ['east-1', 'unnamed-1'])
def test_node_turned_away_learns_of_the_end_of_an_evacuation(
    pair: Pair, domain: str
) -> None:
    # The peer doesn't know each domain that was evacuated before.
    key = f'op/evacuate/{domain}'
    pair.take_backup()
    pair.refused.store.write(key, {})
    pair.served.store.write('servers/other', ENTRY)
    pair.wait(1.0)
    assert pair.refused.cluster_view.evacuated == {domain}
    restore(pair)
    pair.wait(2.0)
    assert pair.refused.sync.era == 2
    assert pair.refused.cluster_view.evacuated == {domain}
    pair.wait(CAUTION_MS / 1_000)
    assert pair.refused.cluster_view.evacuated == set()


def test_late_answer_to_a_question_of_an_earlier_era_leaves_no_gap(
    pair: Pair,
) -> None:
    lose_changes(pair)
    restore(pair)
    pair.refused.store.set_fault('')
    pair.wait(1.0)
    pair.refused.store.set_fault('refuse')
    pair.wait(0.5)
    asked = pair.refused.sync.revision
    pair.write('servers/i-1', DRAINING)
    pair.write(EVACUATION, {})
    pair.served.wait(1.0)
    pair.news['served'].on_message(
        'other', StoreChangesRequest(after_revision=asked + 99, era=1)
    )
    pair.wait(1.0)
    view = pair.refused.cluster_view
    assert view.evacuated == {'east-1'}
    assert view.targets['i-1'].registration.draining


def test_request_of_an_older_release_is_answered_without_a_gap(
    pair: Pair,
) -> None:
    # Such a node takes the answer for all changes up to its revision.
    held = pair.served.sync.revision
    pair.write('servers/i-1', DRAINING)
    pair.write(EVACUATION, {})
    pair.wait(1.0)
    pair.news['served'].on_message(
        'other', StoreChangesRequest(after_revision=held)
    )
    assert [c.key for a in answers(pair) for c in a.changes] == [
        'servers/i-1',
        EVACUATION,
    ]


def test_node_with_the_operators_keys_alone_leaves_no_gap_to_a_peer(
    pair: Pair,
) -> None:
    # What it got of the new era was handed on as all changes up to there.
    lose_changes(pair)
    restore(pair)
    pair.wait(2.0)
    held = pair.refused.sync.revision
    pair.write('servers/i-1', DRAINING)
    pair.write(EVACUATION, {})
    pair.wait(1.0)
    pair.refused.sync.on_confirmed_by_follower()
    pair.sent.clear()
    pair.news['refused'].on_message(
        'other', StoreChangesRequest(after_revision=held - 1, era=2)
    )
    assert answers(pair) == []


def test_large_values_of_the_operator_keep_no_version_from_a_node(
    pair: Pair,
) -> None:
    # Together they were too long for a message.
    lose_changes(pair)
    restore(pair)
    pair.write('op/config', CONFIGURATION | {'version': 9})
    for number in range(5):
        pair.write(f'op/evacuate/east-{number}', b'x' * MAX_VALUE_BYTES)
    pair.wait(2.0)
    assert version_in_force(pair.refused) == 9
    assert len(pair.refused.cluster_view.evacuated) == 5


@pytest.mark.parametrize('key', ODD_KEYS)
def test_odd_key_keeps_no_version_from_a_node(pair: Pair, key: str) -> None:
    lose_changes(pair)
    restore(pair)
    pair.write(key, ENTRY)
    pair.write('op/config', CONFIGURATION | {'version': 9})
    pair.wait(1.0)
    assert version_in_force(pair.refused) == 9


def test_listing_overtaken_by_a_new_era_at_the_same_revision_reverts_nothing(
    pair: Pair,
) -> None:
    # The revision before and after was compared without the era.
    lose_changes(pair)
    restore(pair)
    for number in range(LOST_CHANGES - 1):
        pair.write(f'servers/again-{number}', ENTRY)
    pair.refused.store.bytes_per_s = SLOW_BYTES_PER_S
    pair.refused.store.set_fault('')
    held = pair.refused.sync.revision
    pair.refused.wait(0.5)
    pair.write(EVACUATION, {})
    pair.refused.wait(0.5)
    pair.wait(0.1)
    assert (pair.refused.sync.era, pair.refused.sync.revision) == (2, held)
    seen = set()
    # Two listings take about seven seconds.
    for _ in range(100):
        pair.wait(0.1)
        seen.add(pair.refused.sync.revision)
    assert seen == {held}
    assert not pair.refused.sync.needs_listing


def test_node_turned_away_follows_a_store_whose_first_era_is_0() -> None:
    # The era of its request was taken for that of an older release.
    pair = Pair(era=0)
    lose_changes(pair)
    pair.refuse_store_calls()
    pair.restore(era=1)
    pair.write('op/config', CONFIGURATION | {'version': 9})
    pair.wait(1.0)
    assert version_in_force(pair.refused) == 9
    pair.refused.loop.end()


def test_node_turned_away_follows_a_peer_that_lists_the_store_again(
    pair: Pair,
) -> None:
    # The peer no longer held the changes that were asked for.
    lose_changes(pair)
    restore(pair)
    pair.wait(1.0)
    pair.write('servers/other', ENTRY)
    pair.served.store.forget_history()
    pair.wait(1.0)
    pair.write('op/config', CONFIGURATION | {'version': 10})
    pair.wait(1.0)
    assert version_in_force(pair.refused) == 10
    pair.write('op/config', CONFIGURATION | {'version': 11})
    pair.wait(1.0)
    assert version_in_force(pair.refused) == 11
    assert pair.refused.sync.needs_listing
