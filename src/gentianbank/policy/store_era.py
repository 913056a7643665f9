"""Which answers of a store that may be restored from a copy still hold.

The store counts how often it came back from an older copy, and states the
count, its era, in its answers. Revisions and leases of two eras have nothing
to do with each other.
"""

from __future__ import annotations

from dataclasses import dataclass
import enum


class EraChange(enum.Enum):
    """What an answer tells of the era of the store."""

    NONE = 'the era that is known, or none is stated'
    ROSE = 'the store was restored'
    FELL = 'the store states a lower era than before'
    OUTDATED = 'the answer is of an earlier era'


@dataclass(slots=True)
class StoreEra:
    """The era of the store, as its answers state it.

    Parameters
    ----------
    current
        Era of the store; 0 if no answer has stated one.
    """

    current: int = 0
    _is_stated: bool = False
    _calls: int = 0
    # Calls that had begun when the current era became known.
    _calls_before: int = 0

    def begin_call(self) -> int:
        """Return the number of a call that begins now."""
        self._calls += 1
        return self._calls

    def on_answer(self, call: int, stated: int | None) -> EraChange:
        """Handle an answer.

        Parameters
        ----------
        call
            Number of the call that is answered.
        stated
            Era in the answer; ``None`` if it states none that can be read.

        Returns
        -------
        EraChange
            An outdated answer must not be used: its call had begun before
            the current era became known.
        """
        if stated is None or (self._is_stated and stated == self.current):
            return EraChange.NONE
        if not self._is_stated:
            self._learn(stated)
            return EraChange.NONE
        if stated > self.current:
            self._learn(stated)
            return EraChange.ROSE
        if call <= self._calls_before:
            return EraChange.OUTDATED
        self._learn(stated)
        return EraChange.FELL

    def _learn(self, era: int) -> None:
        self.current = era
        self._is_stated = True
        self._calls_before = self._calls
