"""Interface to what decides whether and how a node reads the store."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod


class ReadObserver(ABC):
    """Decides when this node reads the store, and learns of each read."""

    @property
    @abstractmethod
    def role(self) -> str:
        """Return the role in which this node calls the store."""

    @property
    @abstractmethod
    def is_passive(self) -> bool:
        """Return whether others confirm this node's copy at present."""

    @abstractmethod
    async def wait_for_turn(self) -> None:
        """Wait until this node has to read the store itself."""

    @abstractmethod
    def choose_wait_ms(self, wait_ms: int) -> int:
        """Return how long the next watch may wait, given the usual time."""

    @abstractmethod
    def choose_batch_s(self, batch_s: float) -> float:
        """Return the pause after changes, given the usual one."""

    @abstractmethod
    def on_read_sent(self) -> None:
        """Handle that a read of the store begins."""

    @abstractmethod
    def on_read_answered(self, waited_ms: float) -> None:
        """Handle that a read was answered and its result applied.

        Parameters
        ----------
        waited_ms
            Time that the store is known to have waited before the answer.
        """

    @abstractmethod
    def on_read_failed(self) -> None:
        """Handle that the store did not answer a read."""
