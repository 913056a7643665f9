"""Lending and borrowing of region and link budgets.

Every node may always use a fixed part of each budget, its floor. In each
region one node, the keeper, lends what the floors leave of the budgets of its
region and of the links that start there. Nodes borrow from the keepers what
they need beyond their floors.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
from typing import TYPE_CHECKING

from absl import logging
from expression import Result

from gentianbank.control.messages import LoanReply
from gentianbank.control.messages import LoanRequest
from gentianbank.domain.budget import BudgetLender
from gentianbank.domain.budget import KEEPER_LEASE_MS
from gentianbank.storage.store import Expected
from gentianbank.storage.store import Put

if TYPE_CHECKING:
    from gentianbank.control.peers import PeerConnections
    from gentianbank.control.state import ControlState
    from gentianbank.domain.budget import Demand
    from gentianbank.domain.configuration import Configuration
    from gentianbank.storage.store import Store

LEASE_RENEW_INTERVAL_S = 2.0
BORROW_INTERVAL_S = 1.0
MIN_BORROW_INTERVAL_S = 0.1
LOAN_REQUEST_TIMEOUT_MS = 1_000
_MS_PER_S = 1_000

AcceptLoan = Callable[[str, float, float], None]


class RegionBudgetLender:
    """Lends the budgets of this node's region while it holds the lease.

    The first running node in the region's tree order tries to acquire the
    lease. Views of the members may differ between nodes, so only the lease
    in the store decides which node is the keeper.
    """

    def __init__(
        self,
        state: ControlState,
        store: Store,
        key_prefix: str,
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._store = store
        self._lease_key = f'{key_prefix}/keeper/{state.me.region}'
        self._clock = clock
        self._keepers: dict[str, BudgetLender] = {}
        self._lease_id = 0

    def update(self, configuration: Configuration) -> None:
        """Apply the caps of a configuration."""
        caps: dict[str, float] = {}
        region = configuration.regions.get(self._state.me.region)
        if region is not None:
            caps[self._state.me.region] = region.max_in_flight
        for link in configuration.links:
            if link.source == self._state.me.region:
                caps[link.name] = link.cap_bytes_per_s
        for name, cap in caps.items():
            keeper = self._keepers.get(name)
            if keeper is not None:
                keeper.cap = cap
            elif not self._lease_id:
                self._keepers[name] = BudgetLender(cap)
            else:
                # A budget that appears while the lease is held is lent only
                # after the wait that follows a newly acquired lease, as
                # earlier loans of it may still be in use.
                self._keepers[name] = keeper = BudgetLender(cap)
                keeper.acquire(self._clock(), self._clock())
        for stale in set(self._keepers) - set(caps):
            del self._keepers[stale]

    def lend(self, borrower: str, budget: str, wanted: float) -> float:
        """Return the amount lent to a node; 0 if this is not the keeper.

        Parameters
        ----------
        borrower
            Incarnation of the node.
        budget
            Name of a region or link.
        wanted
            Amount beyond the node's floor.
        """
        keeper = self._keepers.get(budget)
        if keeper is None:
            return 0
        return keeper.lend(borrower, wanted, self._clock())

    async def run(self) -> None:
        """Hold the lease while this node is first in the region's order.

        Runs until cancelled.
        """
        while True:
            if self._is_first_in_region():
                await self._acquire_or_renew_lease()
            elif self._lease_id:
                await self._release_lease()
            await asyncio.sleep(
                LEASE_RENEW_INTERVAL_S * random.uniform(0.8, 1.0)
            )

    def _is_first_in_region(self) -> bool:
        nodes = self._state.region_tree_order(self._state.me.region)
        return bool(nodes) and nodes[0] == self._state.me.vm

    async def _acquire_or_renew_lease(self) -> None:
        requested_ms = self._clock()
        if not self._lease_id:
            await self._acquire_lease(requested_ms)
            return
        match await self._store.keep_alive(self._lease_id):
            case Result(tag='ok', ok=True):
                for keeper in self._keepers.values():
                    keeper.renew(requested_ms)
            case Result(tag='ok', ok=False):
                self._stop_lending()

    async def _acquire_lease(self, requested_ms: float) -> None:
        match await self._store.grant_lease(KEEPER_LEASE_MS // _MS_PER_S):
            case Result(tag='ok', ok=lease_id):
                pass
            case _:
                return
        value = self._state.me.vm.encode()
        match await self._store.commit(
            Expected(self._lease_key, 0),
            [Put(self._lease_key, value, lease_id)],
        ):
            case Result(tag='ok', ok=True):
                self._lease_id = lease_id
                logging.info(
                    'acquired the keeper lease of region %s',
                    self._state.me.region,
                )
                for keeper in self._keepers.values():
                    keeper.acquire(requested_ms, self._clock())
            case _:
                await self._store.revoke(lease_id)

    async def _release_lease(self) -> None:
        lease_id = self._lease_id
        self._stop_lending()
        await self._store.revoke(lease_id)

    def _stop_lending(self) -> None:
        self._lease_id = 0
        for keeper in self._keepers.values():
            keeper.release()


class Borrower:
    """Borrows from the keepers what this node's recent use needs.

    Parameters
    ----------
    keeper
        Keeper of this node, asked directly when it lends the budget.
    demands
        Returns the loans that the node should ask for.
    accept
        Called with the budget, the amount lent, and the time at which the
        loan was requested.
    loan_needed
        Set when a request was refused because a budget was used up; ends
        the wait before the next round of loan requests.
    """

    def __init__(
        self,
        state: ControlState,
        keeper: RegionBudgetLender,
        demands: Callable[[], list[Demand]],
        accept: AcceptLoan,
        loan_needed: asyncio.Event,
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._keeper = keeper
        self._loan_needed = loan_needed
        self._demands = demands
        self._accept = accept
        self._clock = clock
        self._peers: PeerConnections

    def set_peers(self, peers: PeerConnections) -> None:
        """Set the connections that loan requests are sent through.

        Must be called before ``run``.
        """
        self._peers = peers

    async def run(self) -> None:
        """Ask for loans until cancelled."""
        while True:
            await self._wait_for_next_round()
            await asyncio.gather(*map(self._borrow, self._demands()))

    async def _wait_for_next_round(self) -> None:
        await asyncio.sleep(MIN_BORROW_INTERVAL_S)
        try:
            async with asyncio.timeout(
                BORROW_INTERVAL_S * random.uniform(0.8, 1.2)
            ):
                await self._loan_needed.wait()
        except TimeoutError:
            pass
        self._loan_needed.clear()

    async def _borrow(self, demand: Demand) -> None:
        nodes = self._state.region_tree_order(demand.keeper_region)
        if not nodes:
            return
        requested_ms = self._clock()
        me = self._state.me
        if nodes[0] == me.vm:
            amount = self._keeper.lend(
                me.incarnation, demand.budget, demand.wanted
            )
        else:
            amount = await self._request_loan(nodes[0], demand)
        if amount > 0:
            self._accept(demand.budget, amount, requested_ms)

    async def _request_loan(self, vm: str, demand: Demand) -> float:
        address = self._state.address_of(vm)
        if address is None:
            return 0
        request = LoanRequest(
            request_id=0, budget=demand.budget, wanted=demand.wanted
        )
        match await self._peers.request(
            vm, address, request, LOAN_REQUEST_TIMEOUT_MS
        ):
            case Result(tag='ok', ok=LoanReply(amount=amount)):
                return amount
        return 0
