"""Tests of the messages of a follower."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from gentianbank.steering.store_following import catch_up
from gentianbank.steering.store_following import store_sync
from gentianbank.steering.store_following.catch_up import LARGE_VALUE_BYTES
from gentianbank.steering.store_following.updates import build_updates
from tests.platform.test_documents import ENTRY

if TYPE_CHECKING:
    from gentianbank.steering.store_following.messages import StoreUpdate
    from tests.support.store_copy import Copy


def build(copy: Copy, after_revision: int) -> list[StoreUpdate]:
    return build_updates(
        copy.sync,
        after_revision,
        confirmed_ms=1.0,
        sent_ms=2.0,
        is_reachable=True,
    )


def test_update_without_changes_tells_the_state_only(copy: Copy) -> None:
    (update,) = build(copy, copy.sync.revision)
    assert not update.changes
    assert update.after_revision == update.revision == copy.sync.revision


def test_many_changes_are_split_without_a_gap(copy: Copy) -> None:
    first = copy.sync.revision
    for number in range(2 * catch_up.MAX_CHANGES_PER_ANSWER + 7):
        copy.store.write(f'servers/x-{number}', ENTRY)
    copy.wait(1.0)
    updates = build(copy, first)
    assert len(updates) == 3
    assert updates[0].after_revision == first
    assert updates[-1].revision == copy.sync.revision
    for earlier, later in itertools.pairwise(updates):
        assert later.after_revision == earlier.revision
    assert {u.held_revision for u in updates} == {copy.sync.revision}


def test_changes_that_are_no_longer_held_are_a_gap(copy: Copy) -> None:
    first = copy.sync.revision
    for number in range(store_sync.MAX_RECENT_CHANGES + 5):
        copy.store.write(f'servers/x-{number}', ENTRY)
    copy.wait(1.0)
    (update,) = build(copy, first)
    assert not update.changes
    assert update.after_revision == copy.sync.revision
    assert update.oldest_revision > first


def test_large_change_is_left_to_the_store(copy: Copy) -> None:
    # On a link of 5 Mbit/s a configuration for a dozen nodes would hold up
    # the follower's own requests for seconds.
    first = copy.sync.revision
    copy.store.write('servers/x-1', ENTRY)
    copy.store.write('servers/x-2', {'text': 'x' * LARGE_VALUE_BYTES})
    copy.wait(1.0)
    large = copy.sync.revision
    copy.store.write('servers/x-3', ENTRY)
    copy.wait(1.0)
    (update,) = build(copy, first)
    assert [change.key for change in update.changes] == ['servers/x-3']
    assert update.after_revision == update.oldest_revision == large
    (update,) = build(copy, large)
    assert update.after_revision == large
    assert update.oldest_revision < large
