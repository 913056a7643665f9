"""Token bucket for bytes, with a rate that may change between calls."""

from __future__ import annotations

from dataclasses import dataclass

# A rate of 0.95 and a burst of 0.05 s stay within the allowance over any
# window of 1 s.
RATE_FRACTION = 0.95
BURST_S = 0.05
# Part of the burst that large transfers leave to small requests.
SMALL_RESERVE_FRACTION = 0.2
MIN_WAIT_MS = 0.1
_MS_PER_S = 1_000


@dataclass(slots=True)
class TokenBucket:
    """Limits the rate at which bytes are sent.

    Refill rate and burst together stay within the allowance over any window
    of a second or more, unless a single send is larger than the burst. Large
    transfers leave a part of the bucket to small requests.
    """

    _tokens: float = 0.0
    _updated_ms: float = float('-inf')

    def try_take(
        self, size_bytes: int, rate_per_s: float, now_ms: float, *, large: bool
    ) -> float:
        """Take tokens for bytes, or return the time until the next try.

        Parameters
        ----------
        size_bytes
            Bytes to send. A send larger than the burst passes when the
            bucket is full; later sends wait until its tokens are refilled.
        rate_per_s
            Allowance in bytes per second at this time.
        now_ms
            Monotonic time in milliseconds.
        large
            Whether the bytes belong to a large transfer.

        Returns
        -------
        float
            0 when the bytes may be sent, else the milliseconds to wait.
        """
        rate = rate_per_s * RATE_FRACTION
        burst = rate * BURST_S
        self._refill(rate, burst, now_ms)
        reserve = burst * SMALL_RESERVE_FRACTION if large else 0.0
        required_tokens = min(size_bytes, burst - reserve) + reserve
        if self._tokens >= required_tokens - 1e-6:
            self._tokens -= size_bytes
            return 0.0
        if rate <= 0:
            return _MS_PER_S
        wait_ms = (required_tokens - self._tokens) / rate * _MS_PER_S
        # A wait below the clock's resolution would add no token, and the
        # caller would try again forever.
        return max(wait_ms, MIN_WAIT_MS)

    def _refill(self, rate: float, burst: float, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - self._updated_ms) / _MS_PER_S
        self._updated_ms = max(now_ms, self._updated_ms)
        if elapsed_s == float('inf'):
            self._tokens = burst
            return
        self._tokens = min(burst, self._tokens + rate * elapsed_s)
