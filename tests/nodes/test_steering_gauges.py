"""Tests of the gauges of a node on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from gentianbank.nodes.steering_gauges import list_store_gauges
from tests.support.store_copy import Backup
from tests.support.store_copy import Copy
from tests.support.store_copy import FakeStore

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def copy() -> Iterator[Copy]:
    """Return a node's copy of a store that is of its first era."""
    store = FakeStore()
    store.era = 1
    made = Copy(store=store)
    yield made
    made.loop.end()


def test_store_gauges_tell_what_the_copy_is_of(copy: Copy) -> None:
    gauges = {g.name: g for g in list_store_gauges(copy.sync)}
    backup = Backup(copy.store)
    assert gauges['store.era'].read() == 1.0
    assert gauges['store.revision'].read() == copy.store.revision
    assert gauges['store.unlisted'].read() == 0.0
    copy.store.set_fault('refuse')
    copy.loop.call_soon(copy.sync.request_listing)
    copy.wait(0.1)
    assert gauges['store.unlisted'].read() == 1.0
    copy.store.restore(backup.values, backup.revision, era=2)
    copy.store.set_fault('')
    copy.wait(1.0)
    assert gauges['store.era'].read() == 2.0
    assert gauges['store.unlisted'].read() == 0.0
