"""Which answers to end when too many are being sent to callers at once."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Mapping

# Beyond this number of answers, those whose callers do not read are ended.
MAX_STREAMS = 400
# A caller that has taken nothing for so long does not read.
STALLED_MS = 5_000.0

Stream = TypeVar('Stream')


def find_stalled(
    progress_ms: Mapping[Stream, float], now_ms: float
) -> Stream | None:
    """Return the stream to end, if there are too many.

    It is the one that has made no progress for longest. Streams of callers
    that read are not ended, however many there are.

    Parameters
    ----------
    progress_ms
        Time of the latest progress of each stream.
    """
    if len(progress_ms) <= MAX_STREAMS:
        return None
    stalest = min(progress_ms, key=lambda stream: progress_ms[stream])
    if now_ms - progress_ms[stalest] < STALLED_MS:
        return None
    return stalest
