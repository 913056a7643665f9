"""Until what time the followers of a region confirm a node's copy."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# The bound is renewed, since clocks drift.
WINDOW_MS = 30_000.0


@dataclass(slots=True)
class ClockOffset:
    """Lower bound of the difference between the clocks of two nodes.

    A follower's answer is sent after it was asked for, however long question
    and answer are on their way. So a time of the follower that is converted
    is never later than the true one, and messages that were held up in a
    frozen process or on a stalled link are not taken for new ones.
    """

    _current_ms: float = float('-inf')
    _previous_ms: float = float('-inf')
    _window_start_ms: float = float('-inf')

    def add(self, asked_ms: float, sent_ms: float) -> None:
        """Record an answer.

        Parameters
        ----------
        asked_ms
            Time of the question on this node's clock.
        sent_ms
            Time of the answer on the follower's clock.
        """
        if asked_ms - self._window_start_ms >= WINDOW_MS:
            self._window_start_ms = asked_ms
            self._previous_ms = self._current_ms
            self._current_ms = float('-inf')
        self._current_ms = max(self._current_ms, asked_ms - sent_ms)

    @property
    def is_known(self) -> bool:
        """Return whether an answer has been received."""
        return self._current_ms > float('-inf')

    def to_own_ms(self, follower_ms: float) -> float | None:
        """Convert a time of the follower's clock to this node's clock.

        Returns
        -------
        float or None
            ``None`` before the first answer.
        """
        if not self.is_known:
            return None
        return follower_ms + max(self._current_ms, self._previous_ms)


@dataclass(slots=True)
class _Follower:
    offset: ClockOffset = field(default_factory=ClockOffset)
    confirmed_ms: float | None = None


@dataclass(slots=True)
class FollowerTrust:
    """What the followers have confirmed about this node's copy.

    All times are on this node's clock, which counts suspended time.
    """

    _followers: dict[str, _Follower] = field(default_factory=dict)

    def on_echo(self, vm: str, asked_ms: float, sent_ms: float) -> None:
        """Record a follower's answer, see ``ClockOffset.add``."""
        follower = self._followers.setdefault(vm, _Follower())
        follower.offset.add(asked_ms, sent_ms)

    def knows_clock(self, vm: str) -> bool:
        """Return whether times of a follower can be converted."""
        follower = self._followers.get(vm)
        return follower is not None and follower.offset.is_known

    def confirm(self, vm: str, confirmed_ms: float) -> float | None:
        """Record that a follower's view contains nothing newer than the copy.

        Parameters
        ----------
        confirmed_ms
            Time on the follower's clock at which its view was current.

        Returns
        -------
        float or None
            That time on this node's clock; ``None`` if it is not known.
        """
        follower = self._followers.setdefault(vm, _Follower())
        follower.confirmed_ms = follower.offset.to_own_ms(confirmed_ms)
        return follower.confirmed_ms

    def distrust(self, vm: str) -> None:
        """Drop what a follower confirmed, as it cannot read the store."""
        if vm in self._followers:
            self._followers[vm].confirmed_ms = None

    def distrust_all(self) -> None:
        """Drop all confirmations, as the copy misses known changes."""
        for follower in self._followers.values():
            follower.confirmed_ms = None

    def forget(self, vm: str) -> None:
        """Drop a follower whose connection has ended."""
        self._followers.pop(vm, None)

    def last_confirmed(self) -> tuple[str, float] | None:
        """Return the latest confirmation and the follower that gave it."""
        known = [
            (follower.confirmed_ms, vm)
            for vm, follower in self._followers.items()
            if follower.confirmed_ms is not None
        ]
        if not known:
            return None
        confirmed_ms, vm = max(known)
        return vm, confirmed_ms
