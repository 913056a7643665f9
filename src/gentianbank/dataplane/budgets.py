"""Budgets of this node: requests in flight in a region, bytes/s on a link."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gentianbank.domain.budget import Allowance
from gentianbank.domain.budget import Demand
from gentianbank.domain.budget import guaranteed_share
from gentianbank.domain.configuration import link_name
from gentianbank.domain.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from gentianbank.domain.configuration import Configuration

LOAN_THRESHOLD_FLOOR_FRACTION = 0.6
LOAN_HEADROOM_FACTOR = 1.5
LARGE_TRANSFER_FRACTION = 0.5
_MS_PER_S = 1_000


@dataclass(slots=True)
class _RegionBudget:
    allowance: Allowance
    in_flight: int = 0
    large_in_flight: int = 0
    peak_in_flight: int = 0
    refused: int = 0


@dataclass(slots=True)
class _LinkBudget:
    allowance: Allowance
    source: str
    bucket: TokenBucket = field(default_factory=TokenBucket)
    used_bytes: int = 0
    waiting: int = 0
    measured_ms: float = 0.0


class BudgetBook:
    """Tracks what this node may use, and does use, of each budget.

    There is one budget for the requests in flight of each region and one for
    the bytes per second of each link. The node may always use its floor, and
    more while it holds a loan from the keeper of the budget.

    Parameters
    ----------
    region
        Region of this node.
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(self, region: str, clock: Callable[[], float]) -> None:
        self._region = region
        self._clock = clock
        self._regions: dict[str, _RegionBudget] = {}
        self._links: dict[str, _LinkBudget] = {}
        # Set when a request was refused for lack of budget, so that a loan
        # is requested soon.
        self.loan_needed = asyncio.Event()

    def update(self, configuration: Configuration) -> None:
        """Apply the caps and node counts of a configuration."""
        nodes = {n: r.declared_nodes for n, r in configuration.regions.items()}
        for name, region in configuration.regions.items():
            floor = guaranteed_share(region.max_in_flight, sum(nodes.values()))
            held = self._regions.get(name)
            if held is None:
                self._regions[name] = _RegionBudget(Allowance(floor))
            else:
                held.allowance.floor = floor
        for link in configuration.links:
            if self._region not in (link.source, link.destination):
                continue
            # The nodes of the source send requests over the link; those of
            # the destination read answers of targets at the source over it.
            senders = nodes[link.source] + nodes[link.destination]
            floor = guaranteed_share(link.cap_bytes_per_s, senders)
            known = self._links.get(link.name)
            if known is None:
                allowance = Allowance(floor)
                self._links[link.name] = _LinkBudget(allowance, link.source)
            else:
                known.allowance.floor = floor
        for stale in set(self._regions) - set(configuration.regions):
            del self._regions[stale]
        for stale in set(self._links) - set(configuration.links_by_name()):
            del self._links[stale]

    def try_enter(self, region: str, end_ms: float, *, large: bool) -> bool:
        """Admit a request to a region if the budget allows it until its end.

        Parameters
        ----------
        end_ms
            Time by which the request has certainly ended; a loan that
            expires earlier does not count.
        large
            Whether the request is a large transfer; those may use only a
            part of the budget, so that the rest stays for small requests.
        """
        budget = self._regions.get(region)
        if budget is None:
            return False
        limit = budget.allowance.limit_until(end_ms)
        if budget.in_flight + 1 > limit or (
            large
            and budget.large_in_flight + 1
            > max(limit * LARGE_TRANSFER_FRACTION, 1)
        ):
            budget.refused += 1
            self.loan_needed.set()
            return False
        budget.in_flight += 1
        budget.large_in_flight += large
        budget.peak_in_flight = max(budget.peak_in_flight, budget.in_flight)
        return True

    def leave(self, region: str, *, large: bool) -> None:
        """Return the budget of a request that has ended."""
        budget = self._regions.get(region)
        if budget is not None:
            budget.in_flight -= 1
            budget.large_in_flight -= large

    async def pace(
        self, source: str, destination: str, size_bytes: int, *, large: bool
    ) -> None:
        """Wait until bytes may cross the link between two regions.

        There is no limit within a region, nor between regions for which no
        link is configured.
        """
        if source == destination:
            return
        budget = self._links.get(link_name(source, destination))
        if budget is None:
            return
        budget.waiting += 1
        try:
            while wait_ms := self._take_tokens(
                budget, size_bytes, large=large
            ):
                await asyncio.sleep(wait_ms / _MS_PER_S)
        finally:
            budget.waiting -= 1
        budget.used_bytes += size_bytes

    def accept_loan(
        self, budget: str, amount: float, requested_ms: float
    ) -> None:
        """Use a loan that the keeper of a budget has granted.

        Parameters
        ----------
        amount
            Requests in flight, or bytes per second, beyond the floor.
        requested_ms
            Time at which the loan was requested, on this node's clock.
        """
        held = self._regions.get(budget) or self._links.get(budget)
        if held is not None:
            held.allowance.accept(amount, requested_ms)

    def allowances(self) -> Iterator[tuple[str, Allowance]]:
        """Yield the name and the allowance of each budget."""
        for name, region in self._regions.items():
            yield name, region.allowance
        for name, link in self._links.items():
            yield name, link.allowance

    def demands(self) -> list[Demand]:
        """Return the loans to request, given the use since the last call."""
        now_ms = self._clock()
        demands = []
        for name, region in self._regions.items():
            peak = region.peak_in_flight + region.refused
            region.peak_in_flight, region.refused = region.in_flight, 0
            demands += _loan_demands(
                name, name, peak, region.allowance, now_ms
            )
        for name, link in self._links.items():
            elapsed_s = (now_ms - link.measured_ms) / _MS_PER_S
            used = link.used_bytes / max(elapsed_s, 1e-3)
            link.used_bytes, link.measured_ms = 0, now_ms
            if link.waiting:
                # Chunks wait for the link, so the limit is in full use even
                # if fewer bytes were counted.
                used = max(used, link.allowance.limit(now_ms))
            demands += _loan_demands(
                name, link.source, used, link.allowance, now_ms
            )
        return demands

    def _take_tokens(
        self, budget: _LinkBudget, size_bytes: int, *, large: bool
    ) -> float:
        now_ms = self._clock()
        rate = budget.allowance.limit(now_ms)
        return budget.bucket.try_take(size_bytes, rate, now_ms, large=large)


def _loan_demands(
    budget: str,
    keeper_region: str,
    used: float,
    allowance: Allowance,
    now_ms: float,
) -> list[Demand]:
    if used <= allowance.floor * LOAN_THRESHOLD_FLOOR_FRACTION:
        return []
    limit = allowance.limit(now_ms)
    # Less than the present limit is requested only if less than a third of
    # it is used.
    wanted = max(used, min(limit, used * 2)) * LOAN_HEADROOM_FACTOR
    return [Demand(budget, keeper_region, max(wanted - allowance.floor, 1.0))]
