"""Tests of entries that another writer leaves among those of targets."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import pytest

from gentianbank.platform import keyspace
from tests.platform.test_documents import ENTRY
from tests.support.odd_entries import ODD_KEYS
from tests.support.odd_entries import ODD_VALUES
from tests.support.odd_entries import USABLE_VALUES

if TYPE_CHECKING:
    from expression import Result

    from gentianbank.domain.errors import InvalidDocument
    from gentianbank.storage.store import StoredValue
    from tests.support.store_copy import Copy


def check_that_it_follows(copy: Copy) -> None:
    """Check that the copy follows what is written now."""
    copy.store.write('servers/i-3', ENTRY)
    copy.wait(1.0)
    assert not copy.task.done()
    assert {'i-1', 'i-2', 'i-3'} <= copy.targets


@pytest.mark.parametrize('name', ODD_VALUES)
@pytest.mark.parametrize('is_listed', [True, False])
def test_odd_value_names_no_target_and_the_others_hold(
    copy: Copy, name: str, is_listed: bool
) -> None:
    copy.store.write('servers/odd', ODD_VALUES[name])
    if is_listed:
        copy.store.forget_history()
    copy.wait(1.0)
    check_that_it_follows(copy)
    assert ('odd' in copy.targets) <= (name in USABLE_VALUES)


@pytest.mark.parametrize('name', ODD_VALUES)
def test_odd_value_takes_the_place_of_a_target_that_is_then_gone(
    copy: Copy, name: str
) -> None:
    copy.store.write('servers/i-1', ODD_VALUES[name])
    copy.wait(1.0)
    copy.store.write('servers/i-1', ENTRY)
    check_that_it_follows(copy)


def test_entry_that_fails_unexpectedly_costs_only_itself(
    copy: Copy, monkeypatch: pytest.MonkeyPatch
) -> None:
    decode = keyspace.decode

    def fail_for_one(stored: StoredValue) -> Result[Any, InvalidDocument]:
        if stored.key == 'servers/i-2':
            raise ZeroDivisionError
        return decode(stored)

    monkeypatch.setattr(keyspace, 'decode', fail_for_one)
    copy.store.write('servers/i-2', ENTRY)
    copy.store.forget_history()
    copy.wait(1.0)
    copy.store.write('servers/i-3', ENTRY)
    copy.wait(1.0)
    assert not copy.task.done()
    assert copy.targets == {'i-1', 'i-3'}


@pytest.mark.parametrize('key', ODD_KEYS)
@pytest.mark.parametrize('is_listed', [True, False])
def test_odd_key_costs_only_itself(
    copy: Copy, key: str, is_listed: bool
) -> None:
    copy.store.write(key, ENTRY)
    if is_listed:
        copy.store.forget_history()
    copy.wait(1.0)
    check_that_it_follows(copy)
    copy.store.remove(key)
    copy.wait(1.0)
    assert copy.targets - {'\N{SNOWMAN}'} <= {
        'i-1',
        'i-2',
        'i-3',
    }
