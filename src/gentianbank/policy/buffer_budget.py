"""Memory for what a node reads ahead, shared by all of its requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class Budget(Protocol):
    """Bytes that may be held at once."""

    def try_take(self, size_bytes: int) -> bool:
        """Take bytes and return true if so many are left."""

    def give_back(self, size_bytes: int) -> None:
        """Return bytes that were taken."""


@dataclass(slots=True)
class BufferBudget:
    """Bytes that may be held at once.

    Parameters
    ----------
    limit_bytes
        Largest number of bytes, over all requests.
    """

    limit_bytes: int
    used_bytes: int = 0

    @property
    def left_bytes(self) -> int:
        """Return how many more bytes may be held."""
        return self.limit_bytes - self.used_bytes

    def try_take(self, size_bytes: int) -> bool:
        """Take bytes and return true if so many are left."""
        if self.used_bytes + size_bytes > self.limit_bytes:
            return False
        self.used_bytes += size_bytes
        return True

    def give_back(self, size_bytes: int) -> None:
        """Return bytes that were taken."""
        self.used_bytes -= size_bytes


@dataclass(frozen=True, slots=True)
class JointBudget:
    """Several budgets, all of which must have what is taken."""

    budgets: tuple[Budget, ...]

    def try_take(self, size_bytes: int) -> bool:
        """Take bytes from all budgets, or from none and return false."""
        for index, budget in enumerate(self.budgets):
            if not budget.try_take(size_bytes):
                for taken in self.budgets[:index]:
                    taken.give_back(size_bytes)
                return False
        return True

    def give_back(self, size_bytes: int) -> None:
        """Return bytes that were taken."""
        for budget in self.budgets:
            budget.give_back(size_bytes)
