"""Tests of the copy of the store, also during faults of the store."""

from __future__ import annotations

from typing import Any

from expression import Error
from expression import Ok
import pytest

from gentianbank.policy.fleet_members import MemberSource
from gentianbank.policy.fleet_members import MEMORY_MS
from gentianbank.storage.prefix_store import Changes
from gentianbank.storage.prefix_store import ChangesTooLarge
from gentianbank.storage.prefix_store import Listing
from gentianbank.storage.prefix_store import Removal
from tests.platform.test_documents import CONFIGURATION
from tests.platform.test_documents import ENTRY
from tests.support.store_copy import APPLY_S
from tests.support.store_copy import Copy
from tests.support.store_copy import GRACE_MS
from tests.support.store_copy import SLOWEST_LINK_BYTES_PER_S
from tests.support.store_copy import version_in_force
from tests.support.store_copy import write_version


def test_listing_applies_configuration_and_targets(copy: Copy) -> None:
    assert copy.cluster_view.table is not None
    assert copy.cluster_view.table.version == 7
    assert copy.targets == {'i-1', 'i-2'}


def test_drain_reaches_the_node_at_once(copy: Copy) -> None:
    copy.store.write('servers/i-1', ENTRY | {'state': 'draining'})
    copy.wait(0.3)
    assert copy.cluster_view.targets['i-1'].registration.draining


def test_drain_removal_reaches_the_node_at_once(copy: Copy) -> None:
    copy.store.remove('servers/i-1')
    copy.wait(0.3)
    assert copy.targets == {'i-2'}


def test_evacuation_begins_and_ends(copy: Copy) -> None:
    copy.store.write('op/evacuate/east-1', {})
    copy.wait(0.3)
    assert copy.cluster_view.evacuated == {'east-1'}
    copy.store.remove('op/evacuate/east-1')
    copy.wait(0.3)
    assert copy.cluster_view.evacuated == set()


def test_change_after_a_long_quiet_time_is_seen(copy: Copy) -> None:
    copy.wait(60)
    copy.store.write('servers/i-3', ENTRY)
    copy.wait(0.3)
    assert 'i-3' in copy.targets


def test_history_that_is_gone_leads_to_a_listing(copy: Copy) -> None:
    copy.store.write('servers/i-3', ENTRY)
    copy.store.remove('servers/i-1')
    copy.store.forget_history()
    copy.wait(1.0)
    assert copy.targets == {'i-2', 'i-3'}


@pytest.mark.parametrize('fault', ['refuse', 'silent'])
def test_drain_during_an_outage_is_known_soon_after_it(
    copy: Copy, fault: str
) -> None:
    copy.store.set_fault(fault)
    copy.wait(5)
    copy.store.write('servers/i-1', ENTRY | {'state': 'draining'})
    copy.store.remove('servers/i-2')
    copy.wait(5)
    copy.store.set_fault('')
    copy.wait(1.8)
    assert copy.cluster_view.targets['i-1'].registration.draining
    gone = 'i-2' not in copy.targets
    assert gone or copy.cluster_view.targets['i-2'].is_unconfirmed


@pytest.mark.parametrize('size_bytes', [277_000, 543_000, 1_048_576])
def test_large_version_is_in_force_in_time_on_a_slow_link(
    copy: Copy, size_bytes: int
) -> None:
    copy.store.bytes_per_s = SLOWEST_LINK_BYTES_PER_S
    write_version(copy, 8, size_bytes)
    copy.wait(APPLY_S)
    assert version_in_force(copy) == 8


@pytest.mark.parametrize('size_bytes', [20_000, 140_000, 277_000, 543_000])
@pytest.mark.parametrize('is_known', [False, True])
def test_versions_that_follow_fast_are_in_force_in_time_on_a_slow_link(
    copy: Copy, size_bytes: int, is_known: bool
) -> None:
    # Each of them was transferred, however many had replaced it.
    if is_known:
        write_version(copy, 8, size_bytes)
        copy.wait(10.0)
    copy.store.bytes_per_s = SLOWEST_LINK_BYTES_PER_S
    confirmed_s: dict[int, float] = {}
    for version in range(9, 33):
        write_version(copy, version, size_bytes)
        confirmed_s[version] = copy.loop.time()
        copy.wait(0.33)
        due_s = copy.loop.time() - APPLY_S
        due = [v for v, at_s in confirmed_s.items() if at_s <= due_s]
        assert version_in_force(copy) >= max(due, default=0)
    copy.wait(APPLY_S - 0.33)
    assert version_in_force(copy) == 32


def test_other_changes_hold_where_versions_are_left_out(copy: Copy) -> None:
    copy.store.write('op/evacuate/east-1', {})
    copy.store.write('servers/i-3', ENTRY)
    copy.wait(1.0)
    copy.store.bytes_per_s = SLOWEST_LINK_BYTES_PER_S
    write_version(copy, 8, 277_000)
    copy.wait(0.1)
    copy.store.write('servers/i-1', ENTRY | {'state': 'draining'})
    write_version(copy, 9, 277_000)
    copy.store.remove('op/evacuate/east-1')
    copy.store.remove('servers/i-3')
    copy.store.write('op/evacuate/east-2', {})
    write_version(copy, 10, 277_000)
    copy.store.remove('servers/i-2')
    copy.store.write('servers/i-2', ENTRY)
    copy.wait(APPLY_S)
    assert version_in_force(copy) == 10
    assert copy.cluster_view.evacuated == {'east-2'}
    assert copy.targets == {'i-1', 'i-2'}
    assert copy.cluster_view.targets['i-1'].registration.draining


def test_age_of_the_copy_includes_a_long_transfer(copy: Copy) -> None:
    # The copy counted as new at the end of a transfer of any length.
    copy.store.bytes_per_s = SLOWEST_LINK_BYTES_PER_S
    copy.wait(5.0)
    write_version(copy, 8, 1_048_576)
    read_s = copy.loop.time()
    while version_in_force(copy) < 8:
        copy.wait(0.01)
    answered_ms = copy.cluster_view.store_answered_ms
    assert answered_ms is not None
    assert answered_ms <= (read_s + 0.1) * 1_000


def test_removal_of_what_a_peer_told_during_a_listing_is_applied(
    copy: Copy, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The keys that the copy held were taken before the listing.
    list_prefix = copy.store.list_prefix
    held = copy.sync.revision

    async def list_late(prefix: str) -> Any:
        events = tuple(copy.store.history)[-3:-1]
        changes = Changes(events, copy.store.revision - 1)
        assert copy.sync.apply_follower_changes(held, changes)
        return await list_prefix(prefix)

    monkeypatch.setattr(copy.store, 'list_prefix', list_late)
    write_version(copy, 8, 277_000)
    copy.store.write('op/evacuate/east-2', {})
    copy.store.remove('op/evacuate/east-2')
    copy.wait(1.0)
    assert copy.sync.revision == copy.store.revision
    assert copy.cluster_view.evacuated == set()


def test_changes_that_are_older_than_the_listing_are_not_merged(
    copy: Copy, monkeypatch: pytest.MonkeyPatch
) -> None:
    wait_for_changes = copy.store.wait_for_changes
    held = copy.sync.revision

    async def watch(prefix: str, *arguments: Any) -> Any:
        if prefix == 'servers/':
            return Ok(Changes((), held))
        return await wait_for_changes(prefix, *arguments)

    monkeypatch.setattr(copy.store, 'wait_for_changes', watch)
    copy.store.write('servers/i-3', ENTRY)
    write_version(copy, 8, 277_000)
    copy.wait(2.0)
    assert copy.sync.revision == held
    assert not copy.sync.is_reachable
    assert copy.store.calls < 40


def test_too_many_changes_of_entries_lead_to_a_listing(
    copy: Copy, monkeypatch: pytest.MonkeyPatch
) -> None:
    wait_for_changes = copy.store.wait_for_changes

    async def watch(prefix: str, *arguments: Any) -> Any:
        if prefix == 'servers/':
            return Error(ChangesTooLarge())
        return await wait_for_changes(prefix, *arguments)

    monkeypatch.setattr(copy.store, 'wait_for_changes', watch)
    write_version(copy, 8, 277_000)
    copy.store.write('servers/i-3', ENTRY)
    copy.wait(1.0)
    assert version_in_force(copy) == 8
    assert 'i-3' in copy.targets
    assert copy.store.calls < 20


def test_listing_that_does_not_show_the_changes_is_not_asked_for_at_once(
    copy: Copy, monkeypatch: pytest.MonkeyPatch
) -> None:
    listed = copy.store.revision

    async def list_stale(prefix: str) -> Any:
        copy.store.calls += 1
        return Ok(Listing((), listed))

    monkeypatch.setattr(copy.store, 'list_prefix', list_stale)
    write_version(copy, 8, 277_000)
    copy.wait(2.0)
    assert copy.store.calls < 20
    assert not copy.sync.is_reachable


def test_poke_ends_the_pause_after_a_failure(copy: Copy) -> None:
    copy.store.set_fault('refuse')
    copy.wait(5)
    copy.store.write('servers/i-3', ENTRY)
    copy.store.set_fault('')
    copy.sync.retry_now()
    copy.wait(0.05)
    assert 'i-3' in copy.targets


def test_lapsed_entries_are_kept_for_the_grace_time(copy: Copy) -> None:
    copy.store.set_fault('refuse')
    copy.wait(6)
    copy.store.remove('servers/i-1')
    copy.store.remove('servers/i-2')
    copy.store.set_fault('')
    copy.wait(1.0)
    assert copy.targets == {'i-1', 'i-2'}
    assert copy.cluster_view.targets['i-1'].is_unconfirmed
    copy.store.write('servers/i-1', ENTRY)
    copy.wait(0.3)
    assert not copy.cluster_view.targets['i-1'].is_unconfirmed
    copy.wait(1.5)
    assert copy.targets == {'i-1'}


def test_lapsed_entry_is_dropped_without_further_changes(copy: Copy) -> None:
    copy.store.set_fault('refuse')
    copy.wait(6)
    copy.store.remove('servers/i-1')
    copy.store.set_fault('')
    copy.wait(0.6 + GRACE_MS / 1_000)
    assert copy.targets == {'i-2'}


def test_calls_are_few_when_idle_and_in_an_outage(copy: Copy) -> None:
    before = copy.store.calls
    copy.wait(60)
    assert copy.store.calls - before <= 0.3 * 60
    copy.store.set_fault('refuse')
    before = copy.store.calls
    copy.wait(60)
    assert copy.store.calls - before <= 3 * 60


@pytest.mark.parametrize(
    'entry', [b'\xff', b'{}', ENTRY | {'state': 'asleep'}]
)
def test_unreadable_entry_removes_only_its_target(
    copy: Copy, entry: Any
) -> None:
    copy.store.write('servers/i-1', entry)
    copy.wait(0.3)
    assert copy.targets == {'i-2'}


def test_config_that_cannot_be_read_leaves_the_one_in_force(
    copy: Copy,
) -> None:
    copy.store.write('op/config', CONFIGURATION | {'services': 'desk'})
    copy.wait(0.6)
    assert copy.cluster_view.table is not None
    assert copy.cluster_view.table.version == 7
    assert 'services: expected a list' in copy.cluster_view.rejected_table
    copy.store.write('op/config', CONFIGURATION | {'version': 8})
    copy.wait(0.6)
    assert copy.cluster_view.table.version == 8
    assert not copy.cluster_view.rejected_table


def test_config_never_regresses(copy: Copy) -> None:
    copy.store.write('op/config', CONFIGURATION | {'version': 6})
    copy.wait(0.3)
    assert copy.cluster_view.table is not None
    assert copy.cluster_view.table.version == 7


def test_restarted_target_has_no_warm_objects(copy: Copy) -> None:
    copy.cluster_view.targets['i-1'].on_send(0.0, 'read/7')
    copy.store.write('servers/i-1', ENTRY | {'born': ENTRY['born'] + 9})
    copy.wait(0.3)
    target = copy.cluster_view.targets['i-1']
    assert not target.has_warm_object('read/7')
    assert target.is_cold(copy.loop.now_ms())


def test_entry_that_is_written_again_changes_nothing(copy: Copy) -> None:
    target = copy.cluster_view.targets['i-1']
    target.on_send(0.0, 'read/7')
    copy.store.write('servers/i-1', ENTRY | {'sequence': 5})
    copy.wait(0.3)
    assert copy.cluster_view.targets['i-1'] is target


def test_new_target_is_cold(copy: Copy) -> None:
    copy.store.write('servers/i-3', ENTRY)
    copy.wait(0.3)
    assert copy.cluster_view.targets['i-3'].is_cold(copy.loop.now_ms())


def test_own_entry_that_is_removed_is_reported(copy: Copy) -> None:
    node = {
        'vm': 'vm-1',
        'region': 'east',
        'failure_domain': 'east-1',
        'callers': '10.0.0.1:1',
        'peers': '10.0.0.1:2',
    }
    copy.store.write('nodes/vm-1', node)
    copy.store.write('nodes/vm-2', node | {'vm': 'vm-2'})
    copy.store.write('members/vm-1', {'vm': 'vm-1', 'region': 'east'})
    copy.wait(0.6)
    copy.store.remove('nodes/vm-1')
    copy.store.remove('nodes/vm-2')
    copy.wait(0.6)
    assert copy.lost_entries == [MemberSource.NODE]
    copy.store.remove('members/vm-1')
    copy.wait(0.6)
    assert copy.lost_entries == [MemberSource.NODE, MemberSource.LASTING]
    assert 'vm-2' not in copy.cluster_view.nodes


def test_starting_node_counts_members_whose_own_entries_have_lapsed(
    copy: Copy,
) -> None:
    copy.store.write('members/vm-2', {'vm': 'vm-2', 'region': 'west'})
    copy.wait(1.0)
    assert copy.cluster_view.members.regions['vm-2'] == 'west'
    assert 'vm-2' not in copy.cluster_view.nodes
    late = Copy(copy.loop, copy.store)
    assert late.cluster_view.members.regions['vm-2'] == 'west'


@pytest.mark.parametrize('listed', [False, True])
def test_lasting_entry_that_is_gone_is_forgotten_later(
    copy: Copy, listed: bool
) -> None:
    copy.store.write('members/vm-2', {'vm': 'vm-2', 'region': 'west'})
    copy.wait(1.0)
    copy.store.remove('members/vm-2')
    if listed:
        copy.store.forget_history()
    copy.wait(1.0)
    members = copy.cluster_view.members
    members.forget_departed(copy.loop.now_ms())
    assert 'vm-2' in members
    members.forget_departed(copy.loop.now_ms() + MEMORY_MS)
    assert 'vm-2' not in members


def test_changes_of_a_follower_after_a_gap_are_not_applied(
    copy: Copy,
) -> None:
    held = copy.sync.revision
    gone = Changes((Removal('servers/i-1', held + 2),), held + 2)
    assert not copy.sync.apply_follower_changes(held + 1, gone)
    assert copy.targets == {'i-1', 'i-2'}
    assert copy.sync.revision == held
    assert copy.sync.apply_follower_changes(held, gone)
    assert copy.targets == {'i-2'}


def test_confirmation_of_a_follower_ends_an_outage_with_grace_time(
    copy: Copy,
) -> None:
    copy.store.set_fault('refuse')
    copy.wait(6)
    assert not copy.cluster_view.is_store_reachable
    copy.sync.on_confirmed_by_follower()
    held = copy.sync.revision
    gone = Changes((Removal('servers/i-1', held + 1),), held + 1)
    copy.sync.apply_follower_changes(held, gone)
    assert copy.cluster_view.is_store_reachable
    assert copy.cluster_view.targets['i-1'].is_unconfirmed


def test_restore_of_the_store_is_logged(
    copy: Copy, caplog: pytest.LogCaptureFixture
) -> None:
    copy.store.revision = 1
    copy.wait(10.0)
    assert 'store was restored from a copy' in caplog.messages
