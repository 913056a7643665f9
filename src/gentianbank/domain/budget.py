"""Budgets of links and regions, shared by nodes without exceeding a cap.

Each declared node may always use a fixed part, the floor. The floors of all
nodes together fit under the cap, even if nodes disagree on who is up. One
node of the region, the keeper, lends the rest while it holds a lease in the
store. Each loan ends on the borrower's clock before the keeper counts it as
ended, and a new keeper first waits until the loans of its predecessor have
ended.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# Part of each cap that the floors of all declared nodes make up together.
FLOOR_FRACTION = 0.4
LOAN_MS = 8_000
KEEPER_LEASE_MS = 6_000
# Clocks of nodes may run faster or slower than real time by this part.
CLOCK_DRIFT_FRACTION = 0.01


@dataclass(frozen=True, slots=True)
class Loan:
    """A part of a cap on loan; it expires on the borrower's clock."""

    amount: float
    expires_ms: float


@dataclass(frozen=True, slots=True)
class Demand:
    """A loan that the node should request from a keeper.

    Parameters
    ----------
    keeper_region
        Region whose keeper lends from the budget.
    wanted
        Amount beyond the floor, in the unit of the cap.
    """

    budget: str
    keeper_region: str
    wanted: float


def guaranteed_share(cap: float, declared_nodes: int) -> float:
    """Return the part of a cap that each declared node may always use."""
    return cap * FLOOR_FRACTION / max(declared_nodes, 1)


@dataclass(slots=True)
class Allowance:
    """What one node may use of one budget."""

    floor: float
    _loan: Loan = Loan(0, 0)

    def limit(self, now_ms: float) -> float:
        """Return what the node may use at a time on its own clock."""
        return self.limit_until(now_ms)

    def limit_until(self, end_ms: float) -> float:
        """Return what the node may use without a break until a time.

        A loan that expires earlier is not counted.
        """
        if end_ms < self._loan.expires_ms:
            return self.floor + self._loan.amount
        return self.floor

    def accept(self, amount: float, requested_ms: float) -> None:
        """Replace the loan by a new one, which lasts from its request on.

        Parameters
        ----------
        amount
            Amount of the new loan.
        requested_ms
            Time at which the request was sent, on the borrower's clock.
        """
        expires_ms = requested_ms + LOAN_MS * (1 - CLOCK_DRIFT_FRACTION)
        self._loan = Loan(amount, expires_ms)


@dataclass(slots=True)
class _LentPart:
    amount: float
    expires_ms: float


@dataclass(slots=True)
class BudgetLender:
    """Lends the part of a cap beyond the floors while holding a lease.

    Parameters
    ----------
    cap
        Cap of the budget: requests in flight, or bytes per second.
    """

    cap: float
    _loans: dict[str, list[_LentPart]] = field(default_factory=dict)
    _lease_until_ms: float = float('-inf')
    _lends_from_ms: float = float('inf')

    @property
    def pool(self) -> float:
        """Return the part of the cap that can be lent."""
        return self.cap * (1 - FLOOR_FRACTION)

    def acquire(self, requested_ms: float, acquired_ms: float) -> None:
        """Start lending after the lease was acquired.

        Loans of an earlier keeper may still be in use, so lending starts
        only when all of them have ended.

        Parameters
        ----------
        requested_ms
            Time at which the lease was requested.
        acquired_ms
            Time at which the store's grant arrived.
        """
        self._loans.clear()
        self._lends_from_ms = acquired_ms + LOAN_MS * (
            1 + CLOCK_DRIFT_FRACTION
        )
        self.renew(requested_ms)

    def renew(self, requested_ms: float) -> None:
        """Extend the lease from the time of the request to the store."""
        self._lease_until_ms = requested_ms + KEEPER_LEASE_MS * (
            1 - CLOCK_DRIFT_FRACTION
        )

    def release(self) -> None:
        """Stop lending."""
        self._lease_until_ms = float('-inf')

    def holds_lease(self, now_ms: float) -> bool:
        """Tell whether the lease cannot have expired in the store yet."""
        return now_ms < self._lease_until_ms

    def lend(self, borrower: str, wanted: float, now_ms: float) -> float:
        """Lend to a node; the new loan replaces its earlier one.

        An earlier loan stays counted until it expires, since the node may
        not have received the new one.

        Parameters
        ----------
        borrower
            Incarnation of the node.
        wanted
            Amount that it requests beyond its floor.
        now_ms
            Time on the keeper's clock.

        Returns
        -------
        float
            Amount lent; 0 if nothing is left or the keeper may not lend.
        """
        if not self.holds_lease(now_ms) or now_ms < self._lends_from_ms:
            return 0
        self._drop_expired_loans(now_ms)
        lent_to_others = sum(
            max(loan.amount for loan in loans)
            for node, loans in self._loans.items()
            if node != borrower
        )
        amount = max(0.0, min(wanted, self.pool - lent_to_others))
        expires_ms = now_ms + LOAN_MS * (1 + CLOCK_DRIFT_FRACTION)
        self._loans.setdefault(borrower, []).append(
            _LentPart(amount, expires_ms)
        )
        return amount

    def _drop_expired_loans(self, now_ms: float) -> None:
        for node in list(self._loans):
            unexpired = [
                loan for loan in self._loans[node] if loan.expires_ms > now_ms
            ]
            if unexpired:
                self._loans[node] = unexpired
            else:
                del self._loans[node]
