"""Budgets of links and regions: a floor for each node, loans beyond it.

Floors of all declared nodes fit under the cap whatever anyone believes. The
rest is lent by the keeper of a region while it holds its lease. Every loan
ends on the borrower's clock before the keeper counts it as ended, and a new
keeper waits until the loans of the one before have ended.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

FLOOR_FRACTION = 0.4
LOAN_MS = 8_000
KEEPER_LEASE_MS = 6_000
CLOCK_DRIFT_FRACTION = 0.01


@dataclass(frozen=True, slots=True)
class Loan:
    """A part of a cap, lent until a time on the borrower's clock."""

    amount: float
    expires_ms: float


@dataclass(frozen=True, slots=True)
class Demand:
    """A loan that the node should ask for.

    Parameters
    ----------
    keeper_region
        Region whose keeper lends from the budget.
    wanted
        Amount beyond the floor.
    """

    budget: str
    keeper_region: str
    wanted: float


def floor_of(cap: float, declared_nodes: int) -> float:
    """Return what each declared node may always use of a cap."""
    return cap * FLOOR_FRACTION / max(declared_nodes, 1)


@dataclass(slots=True)
class Allowance:
    """What one node may use of one budget."""

    floor: float
    _loan: Loan = Loan(0, 0)

    def limit(self, now_ms: float) -> float:
        """Return what the node may use now, on its own clock."""
        return self.limit_until(now_ms)

    def limit_until(self, end_ms: float) -> float:
        """Return what the node may use without a break until a time."""
        if end_ms < self._loan.expires_ms:
            return self.floor + self._loan.amount
        return self.floor

    def accept(self, amount: float, requested_ms: float) -> None:
        """Take a loan whose time counts from the request for it.

        Parameters
        ----------
        amount
            Amount lent; it takes the place of the loan before.
        requested_ms
            Time at which the request was sent, on the borrower's clock.
        """
        expires_ms = requested_ms + LOAN_MS * (1 - CLOCK_DRIFT_FRACTION)
        self._loan = Loan(amount, expires_ms)


@dataclass(slots=True)
class _Lent:
    amount: float
    expires_ms: float


@dataclass(slots=True)
class Keeper:
    """Lends what a cap leaves beside the floors, under a lease.

    Parameters
    ----------
    cap
        Cap of the budget.
    """

    cap: float
    _loans: dict[str, list[_Lent]] = field(default_factory=dict)
    _lease_until_ms: float = float('-inf')
    _lends_from_ms: float = float('inf')

    @property
    def pool(self) -> float:
        """Return the part of the cap that can be lent."""
        return self.cap * (1 - FLOOR_FRACTION)

    def acquire(self, requested_ms: float, acquired_ms: float) -> None:
        """Begin a term of the lease.

        Parameters
        ----------
        requested_ms
            Time at which the lease was asked for.
        acquired_ms
            Time at which the store had granted it.
        """
        self._loans.clear()
        self._lends_from_ms = acquired_ms + LOAN_MS * (
            1 + CLOCK_DRIFT_FRACTION
        )
        self.renew(requested_ms)

    def renew(self, requested_ms: float) -> None:
        """Extend the lease, counted from the request to the store."""
        self._lease_until_ms = requested_ms + KEEPER_LEASE_MS * (
            1 - CLOCK_DRIFT_FRACTION
        )

    def release(self) -> None:
        """End the term."""
        self._lease_until_ms = float('-inf')

    def holds_lease(self, now_ms: float) -> bool:
        """Tell whether the lease is held for certain."""
        return now_ms < self._lease_until_ms

    def lend(self, borrower: str, wanted: float, now_ms: float) -> float:
        """Lend to a node in place of what it had.

        Parameters
        ----------
        borrower
            Incarnation of the node.
        wanted
            Amount that it asks for beyond its floor.
        now_ms
            Time on the keeper's clock.

        Returns
        -------
        float
            Amount lent, 0 when there is none or no lease is held.
        """
        if not self.holds_lease(now_ms) or now_ms < self._lends_from_ms:
            return 0
        self._forget_ended(now_ms)
        others = sum(
            max(lent.amount for lent in loans)
            for node, loans in self._loans.items()
            if node != borrower
        )
        amount = max(0.0, min(wanted, self.pool - others))
        expires_ms = now_ms + LOAN_MS * (1 + CLOCK_DRIFT_FRACTION)
        self._loans.setdefault(borrower, []).append(_Lent(amount, expires_ms))
        return amount

    def _forget_ended(self, now_ms: float) -> None:
        for node in list(self._loans):
            live = [
                lent for lent in self._loans[node] if lent.expires_ms > now_ms
            ]
            if live:
                self._loans[node] = live
            else:
                del self._loans[node]
