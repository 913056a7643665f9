"""Tests of what a node keeps when the store is restored from a copy."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import pytest

from gentianbank.domain.route_table import RouteTable
from gentianbank.policy.fleet_members import MemberSource
from gentianbank.policy.restored_store import CAUTION_MS
from gentianbank.steering.store_following.store_sync import CAPS_WATCH_MS
from gentianbank.storage.prefix_store import Changes
from tests.platform.test_documents import CONFIGURATION
from tests.platform.test_documents import ENTRY
from tests.support.store_copy import Copy
from tests.support.store_copy import FakeStore
from tests.support.store_copy import version_in_force

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianbank.storage.store import StoredValue

AWAY_S = 1.0
CAUTION_S = CAUTION_MS / 1_000
DRAINING = ENTRY | {'state': 'draining'}
EVACUATION = 'op/evacuate/east-1'
LATER_BORN_MS = 2_000_000_000_000


class Restored:
    """A node's copy of a store, and a copy of that store to go back to."""

    def __init__(self) -> None:
        store = FakeStore()
        store.era = 1
        self.node = Copy(store=store)
        self.store = store
        self.store.write('servers/i-9', ENTRY)
        self.node.wait(1.0)
        self.values: dict[str, StoredValue] = {}
        self.revision = 0
        self.back_up()

    def back_up(self) -> None:
        """Take the copy that a restore goes back to."""
        self.values = dict(self.store.values)
        self.revision = self.store.revision

    def restore(self, written: dict[str, Any] | None = None) -> None:
        """Let the store be away and come back with the copy.

        Parameters
        ----------
        written
            What is written before the node reads the store again.
        """
        self.node.wait(1.0)
        self.store.set_fault('refuse')
        self.node.wait(AWAY_S)
        era = self.store.era + 1
        self.store.restore(self.values, self.revision, era=era)
        for key, value in (written or {}).items():
            self.store.write(key, value)
        self.store.set_fault('')
        self.node.wait(1.0)

    def is_usable(self, target_id: str) -> bool:
        """Return whether the node may send requests to a target."""
        view = self.node.cluster_view
        target = view.targets.get(target_id)
        return target is not None and view.is_usable(target)


@pytest.fixture
def case() -> Iterator[Restored]:
    made = Restored()
    yield made
    made.node.loop.end()


def test_evacuation_that_the_copy_lacks_stays(case: Restored) -> None:
    case.store.write(EVACUATION, b'')
    case.restore()
    assert not case.is_usable('i-1')
    case.node.wait(CAUTION_S - 2.0)
    assert not case.is_usable('i-1')
    case.node.wait(2.0)
    assert case.is_usable('i-1')


def test_evacuation_that_is_written_again_stays(case: Restored) -> None:
    case.store.write(EVACUATION, b'')
    case.restore()
    case.store.write(EVACUATION, b'')
    case.node.wait(CAUTION_S + 5.0)
    assert not case.is_usable('i-1')


def test_evacuation_that_is_removed_after_the_restore_ends_at_once(
    case: Restored,
) -> None:
    case.store.write(EVACUATION, b'')
    case.node.wait(1.0)
    case.back_up()
    case.restore()
    case.store.remove(EVACUATION)
    case.node.wait(1.0)
    assert case.is_usable('i-1')


def test_evacuation_that_is_written_again_and_removed_ends_at_once(
    case: Restored,
) -> None:
    case.store.write(EVACUATION, b'')
    case.restore()
    case.store.write(EVACUATION, b'')
    case.node.wait(1.0)
    case.store.remove(EVACUATION)
    case.node.wait(1.0)
    assert case.is_usable('i-1')


def test_listing_after_the_removal_does_not_evacuate_again(
    case: Restored,
) -> None:
    case.store.write(EVACUATION, b'')
    case.restore({EVACUATION: b''})
    case.store.remove(EVACUATION)
    case.node.wait(1.0)
    case.store.forget_history()
    case.store.write('servers/i-3', ENTRY)
    case.node.wait(1.0)
    assert case.is_usable('i-1')


def test_newest_values_do_not_end_an_evacuation(case: Restored) -> None:
    # They name as removed whatever the restored store does not have.
    case.store.write(EVACUATION, b'')
    case.restore()
    for version in range(8, 12):
        padding = 'x' * 100_000
        raw = CONFIGURATION | {'version': version, 'padding': padding}
        case.store.write('op/config', raw)
    case.node.wait(2.0)
    assert version_in_force(case.node) == 11
    assert not case.is_usable('i-1')


def test_target_that_drained_before_the_restore_goes_on_draining(
    case: Restored,
) -> None:
    case.store.write('servers/i-1', DRAINING)
    case.restore()
    assert not case.is_usable('i-1')
    case.node.wait(CAUTION_S - 2.0)
    assert not case.is_usable('i-1')
    case.node.wait(2.0)
    assert case.is_usable('i-1')


def test_target_that_is_ready_again_after_the_restore_is_used(
    case: Restored,
) -> None:
    case.store.write('servers/i-1', DRAINING)
    case.restore()
    case.store.write('servers/i-1', ENTRY)
    case.node.wait(1.0)
    assert case.is_usable('i-1')
    case.node.wait(CAUTION_S)
    assert case.is_usable('i-1')


def test_target_that_drains_again_goes_on_draining(case: Restored) -> None:
    case.store.write('servers/i-1', DRAINING)
    case.restore()
    case.store.write('servers/i-1', DRAINING)
    case.node.wait(CAUTION_S + 2.0)
    assert not case.is_usable('i-1')


def test_later_start_of_a_draining_target_is_used(case: Restored) -> None:
    case.store.write('servers/i-1', DRAINING)
    case.restore({'servers/i-1': ENTRY | {'born': ENTRY['born'] + 1}})
    assert case.is_usable('i-1')


def test_target_that_was_gone_stays_unused(case: Restored) -> None:
    case.store.remove('servers/i-1')
    case.restore()
    assert 'i-1' not in case.node.targets
    case.node.wait(CAUTION_S - 2.0)
    assert 'i-1' not in case.node.targets
    case.node.wait(2.0)
    assert case.is_usable('i-1')


def test_target_that_was_gone_and_registers_again_is_used(
    case: Restored,
) -> None:
    case.store.remove('servers/i-1')
    case.restore()
    case.store.write('servers/i-1', ENTRY)
    case.node.wait(1.0)
    assert case.is_usable('i-1')


def test_target_that_was_gone_and_lapses_in_the_copy_stays_unused(
    case: Restored,
) -> None:
    case.store.remove('servers/i-1')
    case.restore()
    case.store.remove('servers/i-1')
    case.node.wait(CAUTION_S + 5.0)
    assert 'i-1' not in case.node.targets


def test_target_that_came_back_before_the_restore_is_used(
    case: Restored,
) -> None:
    case.store.remove('servers/i-1')
    case.node.wait(1.0)
    case.store.write('servers/i-1', ENTRY)
    case.restore()
    assert case.is_usable('i-1')


def test_second_restore_does_not_bring_a_target_back(case: Restored) -> None:
    case.store.remove('servers/i-1')
    case.store.write('servers/i-2', DRAINING)
    case.store.write(EVACUATION, b'')
    case.restore()
    case.node.wait(4.0)
    case.restore()
    case.node.wait(CAUTION_S - 2.0)
    assert 'i-1' not in case.node.targets
    assert case.node.cluster_view.targets['i-2'].registration.draining
    assert not case.is_usable('i-9')
    case.node.wait(2.0)
    assert case.is_usable('i-1')
    assert case.is_usable('i-2')


def test_copy_without_a_configuration_leaves_it_in_force(
    case: Restored,
) -> None:
    del case.values['op/config']
    case.restore()
    assert version_in_force(case.node) == CONFIGURATION['version']
    case.store.write('op/config', CONFIGURATION | {'version': 9})
    case.node.wait(1.0)
    assert version_in_force(case.node) == 9


def test_peer_of_a_restored_store_does_not_end_an_evacuation(
    case: Restored,
) -> None:
    case.store.write(EVACUATION, b'')
    case.node.wait(1.0)
    case.store.set_fault('refuse')
    case.node.wait(AWAY_S)
    case.node.sync.replace_operator_values(Changes((), 3, era=2))
    assert not case.is_usable('i-1')
    case.node.wait(CAUTION_S + 1.0)
    assert case.is_usable('i-1')


def test_lease_of_a_store_that_a_peer_says_is_restored_is_given_up(
    case: Restored,
) -> None:
    # The client of the store has not heard of the restore itself.
    case.store.set_fault('refuse')
    case.node.wait(AWAY_S)
    case.node.sync.replace_operator_values(Changes((), 3, era=2))
    assert case.node.lost_entries == [*MemberSource]


def test_numbers_of_what_is_kept_are_logged(
    case: Restored, caplog: pytest.LogCaptureFixture
) -> None:
    case.store.remove('servers/i-1')
    case.store.write('servers/i-2', DRAINING)
    case.store.write(EVACUATION, b'')
    case.restore()
    case.node.wait(CAUTION_S)
    logged = [
        (record.msg, *(vars(record)[n] for n in ('evacuated', 'draining')))
        for record in caplog.records
        if 'before the restore' in record.msg and vars(record)['gone'] == 1
    ]
    assert logged == [
        ('state from before the restore kept', 1, 1),
        ('state from before the restore given up', 1, 1),
    ]


def test_target_that_a_later_listing_lacks_is_not_used_after_the_caution(
    case: Restored,
) -> None:
    # Its entry was kept from the listing before.
    case.store.remove('servers/i-9')
    case.restore()
    assert not case.is_usable('i-9')
    case.store.remove('servers/i-9')
    case.store.forget_history()
    case.node.wait(CAUTION_S + 5.0)
    assert not case.is_usable('i-9')


def test_later_start_of_a_target_that_is_gone_is_kept_over_two_restores(
    case: Restored,
) -> None:
    # The start known before the first restore replaced it.
    case.store.remove('servers/i-9')
    case.restore({'servers/i-9': ENTRY | {'born': LATER_BORN_MS}})
    case.back_up()
    case.store.remove('servers/i-9')
    case.node.wait(3.0)
    case.restore()
    assert not case.is_usable('i-9')


def test_view_stays_recent_for_caps_after_a_restore(
    case: Restored, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(RouteTable, 'has_caps', True)
    case.restore()
    ages_ms = []
    for _ in range(90):
        case.node.wait(0.1)
        now_ms = case.node.loop.now_ms()
        ages_ms.append(case.node.cluster_view.age_ms(now_ms) or 0)
    assert max(ages_ms) <= CAPS_WATCH_MS + 100
