"""Memory for what a node reads ahead, shared by all of its requests."""

from __future__ import annotations

from dataclasses import dataclass


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

    def try_take(self, size_bytes: int) -> bool:
        """Take bytes and return true if so many are left."""
        if self.used_bytes + size_bytes > self.limit_bytes:
            return False
        self.used_bytes += size_bytes
        return True

    def give_back(self, size_bytes: int) -> None:
        """Return bytes that were taken."""
        self.used_bytes -= size_bytes
