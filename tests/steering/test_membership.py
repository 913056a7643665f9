"""Tests of the registration of a node in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result
import pytest

from gentianbank.domain.registration import NodeRegistration
from gentianbank.domain.steering_settings import SteeringStore
from gentianbank.policy.fleet_members import MemberSource
from gentianbank.steering.member_record import MemberRecord
from gentianbank.steering.member_record import RENEWAL_MS
from gentianbank.steering.membership import Membership
from gentianbank.storage.prefix_store import LeaseExpired
from tests.support.store_copy import FakeStore
from tests.support.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianbank.domain.errors import StoreUnavailable
    from gentianbank.storage.store import Put

LEASE_MS = 4_000
ME = NodeRegistration(
    vm='vm-1',
    region='east',
    failure_domain='east-1',
    callers='10.0.0.1:1',
    peers='10.0.0.1:2',
)


class LeaseStore(FakeStore):
    """A store whose leases expire on the virtual clock."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop
        self.ends_ms: dict[int, float] = {}
        self.ttls_ms: dict[int, int] = {}
        self.entries: dict[str, int] = {}

    def has_live_entry(self, key: str) -> bool:
        """Return whether a key has an entry whose lease has not expired."""
        lease = self.entries.get(key, 0)
        return self.ends_ms.get(lease, 0.0) > self._loop.now_ms()

    async def put(
        self, put: Put
    ) -> Result[int, StoreUnavailable | LeaseExpired]:
        if error := await self._call():
            return Error(error)
        if not self._is_lease_live(put.lease):
            return Error(LeaseExpired())
        self.entries[put.key] = put.lease
        return Ok(1)

    async def grant_lease_ms(
        self, ttl_ms: int
    ) -> Result[int, StoreUnavailable]:
        if error := await self._call():
            return Error(error)
        lease = len(self.ends_ms) + 1
        self.ttls_ms[lease] = ttl_ms
        self.ends_ms[lease] = self._loop.now_ms() + ttl_ms
        return Ok(lease)

    async def renew_lease(
        self, lease: int
    ) -> Result[None, StoreUnavailable | LeaseExpired]:
        if error := await self._call():
            return Error(error)
        if not self._is_lease_live(lease):
            return Error(LeaseExpired())
        self.ends_ms[lease] = self._loop.now_ms() + self.ttls_ms[lease]
        return Ok(None)

    async def end_lease(self, lease: int) -> Result[None, StoreUnavailable]:
        if error := await self._call():
            return Error(error)
        self.ends_ms[lease] = 0.0
        return Ok(None)

    def _is_lease_live(self, lease: int) -> bool:
        return self.ends_ms.get(lease, 0.0) > self._loop.now_ms()


class Node:
    """A node that keeps its entry in a fake store."""

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self.store = LeaseStore(self.loop)
        self.recoveries = 0
        settings = SteeringStore(address='10.0.0.9:1', lease_ms=LEASE_MS)
        self.record = MemberRecord(ME, self.store, self.loop.now_ms)
        self.membership = Membership(
            ME,
            self.store,
            settings,
            self.record,
            self._count_recovery,
        )
        self.task = self.loop.create_task(self.membership.run())
        self.wait(0.1)

    def wait(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @property
    def is_registered(self) -> bool:
        """Return whether the node's entry is in the store."""
        return self.store.has_live_entry('nodes/vm-1')

    @property
    def is_member(self) -> bool:
        """Return whether the node's lasting entry is in the store."""
        return self.store.has_live_entry('members/vm-1')

    def _count_recovery(self) -> None:
        self.recoveries += 1


@pytest.fixture
def node() -> Iterator[Node]:
    made = Node()
    yield made
    made.loop.end()


def test_entry_lives_as_long_as_the_node(node: Node) -> None:
    for _ in range(60):
        assert node.is_registered
        node.wait(0.5)


@pytest.mark.parametrize('fault', ['refuse', 'silent'])
def test_entry_is_back_soon_after_an_outage(node: Node, fault: str) -> None:
    node.store.set_fault(fault)
    node.wait(10)
    assert not node.is_registered
    before = node.recoveries
    node.store.set_fault('')
    node.wait(1.8)
    assert node.is_registered
    assert node.recoveries == before + 1


def test_entry_that_was_removed_is_written_again(node: Node) -> None:
    node.store.ends_ms = dict.fromkeys(node.store.ends_ms, 0.0)
    node.membership.on_entry_gone(MemberSource.NODE)
    node.wait(0.6)
    assert node.is_registered


def test_leaving_node_stays_unregistered(node: Node) -> None:
    node.loop.run_until_complete(node.membership.unregister())
    assert not node.is_registered
    node.membership.on_entry_gone(MemberSource.NODE)
    node.wait(30)
    assert not node.is_registered


def test_leaving_does_not_wait_for_a_silent_store(node: Node) -> None:
    node.store.set_fault('silent')
    began_s = node.loop.time()
    node.loop.run_until_complete(node.membership.unregister())
    assert node.loop.time() - began_s <= 1.1


def test_lasting_entry_outlives_an_outage_and_the_leaving(node: Node) -> None:
    assert node.is_member
    node.store.set_fault('refuse')
    node.wait(60)
    assert node.is_member
    assert not node.is_registered
    node.store.set_fault('')
    node.loop.run_until_complete(node.membership.unregister())
    assert node.is_member


def test_lasting_entry_is_renewed_rarely(node: Node) -> None:
    calls = node.store.calls
    leases = len(node.store.ends_ms)
    node.wait(2.5 * RENEWAL_MS / 1_000)
    assert node.is_member
    assert len(node.store.ends_ms) == leases
    own_renewals = 2.5 * RENEWAL_MS / (LEASE_MS / 2.5)
    assert node.store.calls - calls <= own_renewals + 3


def test_lasting_entry_that_was_lost_is_written_again(node: Node) -> None:
    node.store.ends_ms = dict.fromkeys(node.store.ends_ms, 0.0)
    node.wait(RENEWAL_MS / 1_000 + 5)
    assert node.is_member


def test_lasting_entry_that_was_removed_is_written_again_at_once(
    node: Node,
) -> None:
    node.store.entries.pop('members/vm-1')
    node.membership.on_entry_gone(MemberSource.LASTING)
    node.wait(2.0)
    assert node.is_member


def test_lasting_entry_that_is_removed_during_a_renewal_is_written_again(
    node: Node,
) -> None:
    async def remove_during_renewal() -> None:
        renewal = asyncio.create_task(node.record.refresh())
        await asyncio.sleep(0)
        node.store.entries.pop('members/vm-1')
        node.record.on_entry_gone()
        await renewal

    node.task.cancel()
    node.wait(RENEWAL_MS / 1_000 + 1)
    node.loop.run_until_complete(remove_during_renewal())
    assert not node.is_member
    node.loop.run_until_complete(node.record.refresh())
    assert node.is_member
