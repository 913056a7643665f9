"""Until what time the followers of a region confirm a node's copy."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# The first message of a connection may have been delayed; the shortest delay
# of several is a usable reference.
MIN_MESSAGES = 3
# The reference is renewed, since clocks drift.
WINDOW_MS = 30_000.0


@dataclass(slots=True)
class ClockOffset:
    """Difference between the clocks of a follower and of this node.

    The least delayed message of the last one or two windows gives it, so
    that the delay of any other message is known: one that was held up in a
    frozen process or on a stalled link is not taken for a new one.
    """

    _current_ms: float = float('inf')
    _previous_ms: float = float('inf')
    _window_start_ms: float = float('-inf')
    _messages: int = 0

    def add(self, sent_ms: float, received_ms: float) -> None:
        """Record a message.

        Parameters
        ----------
        sent_ms
            Time on the follower's clock.
        received_ms
            Time on this node's clock.
        """
        if received_ms - self._window_start_ms >= WINDOW_MS:
            self._window_start_ms = received_ms
            self._previous_ms = self._current_ms
            self._current_ms = float('inf')
        self._current_ms = min(self._current_ms, received_ms - sent_ms)
        self._messages += 1

    def to_own_ms(self, follower_ms: float) -> float | None:
        """Convert a time of the follower's clock to this node's clock.

        Returns
        -------
        float or None
            ``None`` while too few messages have been received.
        """
        if self._messages < MIN_MESSAGES:
            return None
        return follower_ms + min(self._current_ms, self._previous_ms)


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

    def on_message(self, vm: str, sent_ms: float, received_ms: float) -> None:
        """Record the times of a follower's message."""
        follower = self._followers.setdefault(vm, _Follower())
        follower.offset.add(sent_ms, received_ms)

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
