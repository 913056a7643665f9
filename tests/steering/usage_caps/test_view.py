"""Tests of what usage caps read from the view of the cluster."""

from __future__ import annotations

from gentianbank.domain import schema
from gentianbank.steering.usage_caps.view import CapView
from gentianbank.steering.usage_caps.view import StoreAge
from tests.support.store_copy import Copy
from tests.support.store_copy import FakeStore
from tests.support.store_node import registration


def test_suspended_time_counts_into_the_age() -> None:
    """Guards against an owner that acts on an old view after a suspension."""
    suspended_ms = [0.0]
    age = StoreAge(lambda: 1_000.0, lambda: 1_000.0 + suspended_ms[0])
    assert age.heard_ms(900.0) == 900.0
    suspended_ms[0] = 60_000.0
    # An answer that may have been noted before the suspension.
    assert age.heard_ms(950.0) == 950.0
    assert age.heard_ms(950.0) == 950.0
    assert age.heard_ms(960.0) == 60_960.0
    assert age.heard_ms(None) == float('-inf')


def test_node_that_a_restored_store_lacks_does_not_count_as_registered() -> (
    None
):
    """Guards against two owners: others take over from such a node."""
    store = FakeStore()
    store.era = 1
    copy = Copy(store=store)
    store.write('nodes/vm-2', schema.dump(registration('vm-2')))
    copy.wait(1.0)
    values, revision = dict(store.values), store.revision
    entry = schema.dump(registration('vm-1'))
    store.write('nodes/vm-1', entry)
    copy.wait(1.0)
    clock = copy.loop.now_ms
    view = CapView('vm-1', copy.cluster_view, StoreAge(clock, clock))
    assert view.read().registered == {'vm-1', 'vm-2'}
    store.restore(values, revision, era=2)
    copy.wait(1.0)
    assert view.read().registered == {'vm-2'}
    store.write('nodes/vm-1', entry)
    copy.wait(1.0)
    assert view.read().registered == {'vm-1', 'vm-2'}
    copy.loop.end()
