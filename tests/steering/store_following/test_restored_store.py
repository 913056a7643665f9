"""Tests of copies of a store that was restored from an older copy of it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from expression import Error
from expression import Result
import pytest

from gentianbank.domain.errors import StoreUnavailable
from gentianbank.policy.fleet_members import MemberSource
from gentianbank.storage.prefix_store import Changes
from gentianbank.storage.prefix_store import Listing
from gentianbank.storage.prefix_store import Removal
from tests.platform.test_documents import CONFIGURATION
from tests.platform.test_documents import ENTRY
from tests.support.store_copy import Backup
from tests.support.store_copy import Copy
from tests.support.store_copy import FakeStore
from tests.support.store_copy import GRACE_MS
from tests.support.store_copy import version_in_force

if TYPE_CHECKING:
    from collections.abc import Iterator

AWAY_S = 1.0
# Changes before the restore that the copy of the store does not have.
LOST_CHANGES = 5


@pytest.fixture
def copy() -> Iterator[Copy]:
    """Return a node's copy of a store that is of its first era."""
    store = FakeStore()
    store.era = 1
    made = Copy(store=store)
    yield made
    made.loop.end()


def lose_changes(copy: Copy) -> Backup:
    """Return a backup to which the last changes are missing."""
    backup = Backup(copy.store)
    for number in range(LOST_CHANGES):
        copy.store.write(f'servers/lost-{number}', ENTRY)
    copy.wait(2.0)
    return backup


def restore(copy: Copy, backup: Backup, later_changes: int, era: int) -> None:
    """Let the store be away and come back; others write again first."""
    copy.store.set_fault('refuse')
    copy.wait(AWAY_S)
    copy.store.restore(backup.values, backup.revision, era=era)
    for number in range(later_changes):
        copy.store.write(f'servers/again-{number}', ENTRY)
    copy.store.set_fault('')


def write_version(store: FakeStore, version: int) -> None:
    """Write a version of the configuration."""
    store.write('op/config', CONFIGURATION | {'version': version})


@pytest.mark.parametrize('later_changes', [0, LOST_CHANGES, 20])
def test_version_after_a_restore_is_in_force(
    copy: Copy, later_changes: int
) -> None:
    # Where others had written more than was lost, it was never read.
    backup = lose_changes(copy)
    copy.store.set_fault('refuse')
    copy.wait(AWAY_S)
    copy.store.restore(backup.values, backup.revision, era=2)
    write_version(copy.store, 9)
    for number in range(later_changes):
        copy.store.write(f'servers/again-{number}', ENTRY)
    copy.store.set_fault('')
    copy.wait(1.0)
    assert version_in_force(copy) == 9
    assert copy.sync.era == 2
    assert copy.sync.revision == copy.store.revision


def test_restore_that_a_counter_alone_shows_is_noticed(copy: Copy) -> None:
    copy.store.era = 0
    copy.wait(10.0)
    backup = lose_changes(copy)
    restore(copy, backup, 0, era=0)
    copy.wait(1.0)
    write_version(copy.store, 9)
    copy.wait(1.0)
    assert version_in_force(copy) == 9


def test_older_version_of_a_restored_store_is_not_taken(copy: Copy) -> None:
    backup = Backup(copy.store)
    write_version(copy.store, 9)
    copy.wait(1.0)
    restore(copy, backup, LOST_CHANGES, era=2)
    copy.wait(1.0)
    assert version_in_force(copy) == 9


def test_target_that_a_restore_lost_gets_time_to_register(copy: Copy) -> None:
    backup = lose_changes(copy)
    restore(copy, backup, 0, era=2)
    copy.wait(0.5)
    assert copy.cluster_view.targets['lost-0'].is_unconfirmed
    copy.store.write('servers/lost-0', ENTRY)
    copy.wait(GRACE_MS / 1_000)
    assert 'lost-0' in copy.targets
    assert 'lost-1' not in copy.targets


def test_own_entries_are_written_again_after_a_restore(copy: Copy) -> None:
    backup = lose_changes(copy)
    restore(copy, backup, 0, era=2)
    copy.wait(1.0)
    assert copy.lost_entries == [*MemberSource]


def test_changes_of_an_earlier_era_are_not_applied(copy: Copy) -> None:
    backup = lose_changes(copy)
    restore(copy, backup, 0, era=2)
    copy.wait(1.0)
    held = copy.sync.revision
    late = Changes((Removal('servers/i-1', held + 9),), held + 9, era=1)
    assert not copy.sync.apply_follower_changes(held, late)
    copy.sync.apply_peer_changes(late)
    assert 'i-1' in copy.targets
    assert copy.sync.revision == held


def test_requested_listing_does_not_wait_for_a_watch(copy: Copy) -> None:
    copy.wait(0.5)
    calls = copy.store.calls
    copy.loop.call_soon(copy.sync.request_listing)
    copy.wait(0.1)
    assert copy.store.calls == calls + 2
    assert not copy.sync.needs_listing


def test_copy_of_a_lost_history_is_not_called_current(
    copy: Copy, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fail(prefix: str) -> Result[Listing, StoreUnavailable]:
        return Error(StoreUnavailable('HTTP 503'))

    backup = lose_changes(copy)
    answered_ms = copy.cluster_view.store_answered_ms
    restore(copy, backup, 20, era=2)
    monkeypatch.setattr(copy.store, 'list_prefix', fail)
    copy.wait(2.0)
    assert copy.sync.needs_listing
    assert copy.cluster_view.store_answered_ms == answered_ms
    assert not copy.sync.is_reachable


def test_store_whose_answers_change_their_era_gets_few_calls(
    copy: Copy,
) -> None:
    # Each answer led to a listing at once, and the next to another.
    copy.wait(0.5)
    calls = copy.store.calls
    for number in range(500):
        copy.store.era = 2 + number % 2
        copy.store.write('servers/i-1', ENTRY)
        copy.wait(0.01)
    assert copy.store.calls - calls <= 40
    copy.wait(1.0)
    assert copy.sync.era == copy.store.era


def test_listing_requested_again_while_a_watch_ends_fails_nothing(
    copy: Copy,
) -> None:
    async def request_often() -> None:
        for _ in range(5):
            copy.sync.request_listing()
            await asyncio.sleep(0)

    copy.wait(0.5)
    copy.loop.run_until_complete(request_often())
    copy.wait(0.5)
    assert not copy.sync.needs_listing
    assert not copy.task.done()
