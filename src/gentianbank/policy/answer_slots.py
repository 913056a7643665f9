"""How many large answers a node sends to callers at once."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Mapping

# So many fit the memory of the smallest VM, whether or not callers read them.
MAX_LARGE_ANSWERS = 300
# A caller that has taken nothing for so long is not expected to read on.
STALLED_MS = 5_000.0

Answer = TypeVar('Answer')


@dataclass(frozen=True, slots=True)
class SlotIsFree:
    """The answer may be sent now."""


@dataclass(frozen=True, slots=True)
class EndStalled(Generic[Answer]):
    """This answer, whose caller does not read, is to be ended first."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class WaitForSlot:
    """All callers read; none of them is a candidate before this time."""

    duration_ms: float


SlotDecision = SlotIsFree | EndStalled[Answer] | WaitForSlot


def find_slot(
    progress_ms: Mapping[Answer, float], now_ms: float
) -> SlotDecision[Answer]:
    """Decide whether a further large answer may be sent.

    An answer is ended only for the sake of another one, and only if its
    caller does not read: the one without progress for longest.

    Parameters
    ----------
    progress_ms
        Time of the latest progress of each answer that is being sent.
    """
    if len(progress_ms) < MAX_LARGE_ANSWERS:
        return SlotIsFree()
    stalest = min(progress_ms, key=lambda answer: progress_ms[answer])
    stalled_ms = now_ms - progress_ms[stalest]
    if stalled_ms >= STALLED_MS:
        return EndStalled(stalest)
    return WaitForSlot(STALLED_MS - stalled_ms)
