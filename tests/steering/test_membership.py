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
from gentianbank.storage.prefix_store import Lease
from gentianbank.storage.prefix_store import LeaseExpired
from tests.support.store_copy import CALL_S
from tests.support.store_copy import FakeStore
from tests.support.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianbank.domain.errors import StoreUnavailable
    from gentianbank.storage.store import Put

LEASE_MS = 4_000
# Longer than any test, so that a renewal by mistake is noticed.
OTHERS_TTL_MS = 1_000_000
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
        self.revisions: dict[str, int] = {}
        self.writes = 0
        self.call_s = CALL_S
        # Leases that somebody else has, and the calls made for them.
        self.others: set[int] = set()
        self.misused: list[tuple[str, int]] = []

    def has_live_entry(self, key: str) -> bool:
        """Return whether a key has an entry whose lease has not expired."""
        lease = self.entries.get(key, 0)
        return self.ends_ms.get(lease, 0.0) > self._loop.now_ms()

    async def put(
        self, put: Put
    ) -> Result[int, StoreUnavailable | LeaseExpired]:
        if error := await self._call():
            return Error(error)
        if put.lease_era != self.era or not self._is_lease_live(put.lease):
            return Error(LeaseExpired())
        self._check_owner('put', put.lease)
        self.writes += 1
        self.entries[put.key] = put.lease
        self.revisions[put.key] = self.writes
        return Ok(self.writes)

    async def grant_lease_ms(
        self, ttl_ms: int
    ) -> Result[Lease, StoreUnavailable]:
        if error := await self._call():
            return Error(error)
        return Ok(Lease(self._grant(ttl_ms), self.era))

    async def renew_lease(
        self, lease: Lease
    ) -> Result[None, StoreUnavailable | LeaseExpired]:
        if not self.is_current(lease):
            return Error(LeaseExpired())
        if error := await self._call():
            return Error(error)
        number = lease.number
        if lease.era != self.era or not self._is_lease_live(number):
            return Error(LeaseExpired())
        self._check_owner('renew', number)
        self.ends_ms[number] = self._loop.now_ms() + self.ttls_ms[number]
        return Ok(None)

    async def delete(
        self, key: str, revision: int, lease: Lease
    ) -> Result[None, StoreUnavailable]:
        if not self.is_current(lease):
            return Ok(None)
        if error := await self._call():
            return Error(error)
        if self.revisions.get(key) == revision:
            self._check_owner('delete', self.entries[key])
            del self.entries[key]
            del self.revisions[key]
        return Ok(None)

    def lose_leases(self) -> None:
        """Come back from an empty copy; others get the same leases again."""
        given = len(self.ends_ms)
        self.era += 1
        self.ends_ms.clear()
        self.entries.clear()
        self.revisions.clear()
        self.writes = 0
        self.others = {self._grant(OTHERS_TTL_MS) for _ in range(given)}

    async def _call(self) -> StoreUnavailable | None:
        error = await super()._call()
        await asyncio.sleep(self.call_s - CALL_S)
        return error

    def _grant(self, ttl_ms: int) -> int:
        number = len(self.ends_ms) + 1
        self.ttls_ms[number] = ttl_ms
        self.ends_ms[number] = self._loop.now_ms() + ttl_ms
        return number

    def _check_owner(self, call: str, number: int) -> None:
        if number in self.others:
            self.misused.append((call, number))

    def _is_lease_live(self, number: int) -> bool:
        return self.ends_ms.get(number, 0.0) > self._loop.now_ms()


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


def restore_store(node: Node) -> None:
    """Restore the store, which the node notices at once."""
    node.store.lose_leases()
    for source in MemberSource:
        node.membership.on_entry_gone(source)


def test_both_entries_are_back_within_two_seconds_of_a_restore(
    node: Node,
) -> None:
    for _ in range(20):
        restore_store(node)
        node.wait(2.0)
        assert node.is_registered
        assert node.is_member
        assert not node.store.misused
        node.wait(1.0)


def test_fleet_does_not_write_at_once_after_a_restore(node: Node) -> None:
    delays_s = []
    for _ in range(40):
        restore_store(node)
        began_s = node.loop.time()
        while not node.is_registered:
            node.wait(0.05)
        delays_s.append(node.loop.time() - began_s)
        node.wait(2.0)
    assert min(delays_s) < 0.3
    assert max(delays_s) > 1.2


def test_renewal_that_meets_a_restored_store_is_lost(node: Node) -> None:
    node.store.call_s = 0.2
    while node.store.calls < 8:
        node.wait(0.01)
    node.wait(1.2)
    calls = node.store.calls
    while node.store.calls == calls:
        node.wait(0.01)
    # The renewal is under way.
    node.store.lose_leases()
    node.wait(2.6)
    assert node.is_registered
    assert not node.store.misused


def test_restore_that_only_a_renewal_notices_is_no_renewal(
    node: Node,
) -> None:
    node.store.lose_leases()
    node.wait(LEASE_MS / 2.5 / 1_000 + 2.0)
    assert node.is_registered
    assert not node.store.misused


def test_lasting_entry_of_another_era_is_not_renewed(node: Node) -> None:
    node.store.lose_leases()
    node.task.cancel()
    node.wait(RENEWAL_MS / 1_000 + 1)
    node.loop.run_until_complete(node.record.refresh())
    assert node.is_member
    assert not node.store.misused


def test_leaving_after_a_restore_ends_the_lease_of_nobody(node: Node) -> None:
    node.store.lose_leases()
    node.loop.run_until_complete(node.membership.unregister())
    node.wait(5.0)
    assert not node.is_registered
    assert not node.store.misused


def test_leaving_that_meets_a_restored_store_ends_the_lease_of_nobody(
    node: Node,
) -> None:
    # The end of the lease was on its way when its number was given out.
    node.store.call_s = 0.2
    leaving = node.loop.create_task(node.membership.unregister())
    node.wait(0.1)
    node.store.lose_leases()
    ends_ms = dict(node.store.ends_ms)
    node.wait(1.0)
    assert leaving.done()
    assert node.store.ends_ms == ends_ms


def test_node_that_leaves_before_its_turn_does_not_write(node: Node) -> None:
    restore_store(node)
    node.wait(0.01)
    node.loop.run_until_complete(node.membership.unregister())
    node.wait(5.0)
    assert not node.is_registered


def test_entry_that_is_written_while_the_node_leaves_is_removed(
    node: Node,
) -> None:
    node.store.call_s = 0.2
    node.store.ends_ms = dict.fromkeys(node.store.ends_ms, 0.0)
    node.membership.on_entry_gone(MemberSource.NODE)
    node.wait(0.4 + 0.2 + 0.1)
    # The write is under way.
    node.loop.run_until_complete(node.membership.unregister())
    node.wait(0.5)
    assert not node.is_registered
