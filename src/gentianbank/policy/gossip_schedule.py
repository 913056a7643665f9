"""How often a node sends loads to its peers, and when a peer is silent."""

from __future__ import annotations

from dataclasses import dataclass

from gentianbank.domain.steering_settings import DEFAULT_MESSAGES_PER_S

TICK_MS = 100.0
# Peers of other regions get a message only every third tick: they use fewer
# of the same targets, and traffic between regions is expensive.
REMOTE_REGION_TICKS = 3
# Longest time between two messages to peers of the same region, if a tick is
# not longer.
HEARTBEAT_MS = 500.0
# Messages that a peer may miss before it counts as silent.
MAX_MISSED_MESSAGES = 3
# A peer is never silent sooner than this, so that a short pause of its
# process or a lost packet does not count.
MIN_SILENCE_MS = 1_500.0
_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class GossipSchedule:
    """Schedule of a node's messages.

    The limits on silence follow the schedule. A fixed limit that is shorter
    than the time between two messages would take connected peers of a large
    fleet for lost ones, over and over.

    Parameters
    ----------
    near, far
        Connected peers of the same region, and of other regions. Peers are
        assumed to have about as many themselves.
    max_messages_per_s
        Limit for all messages of a node, which bounds their cost: with many
        peers it sends to each of them less often.
    """

    near: int
    far: int
    max_messages_per_s: float = DEFAULT_MESSAGES_PER_S

    @property
    def tick_ms(self) -> float:
        """Return the time between two ticks."""
        messages = self.near + self.far / REMOTE_REGION_TICKS
        return max(TICK_MS, messages / self.max_messages_per_s * _MS_PER_S)

    @property
    def near_silence_ms(self) -> float:
        """Return after what time a peer of the same region is silent."""
        period_ms = max(HEARTBEAT_MS, self.tick_ms)
        return max(MIN_SILENCE_MS, MAX_MISSED_MESSAGES * period_ms)

    @property
    def far_silence_ms(self) -> float:
        """Return after what time a peer of another region is silent."""
        period_ms = REMOTE_REGION_TICKS * self.tick_ms
        return max(MIN_SILENCE_MS, MAX_MISSED_MESSAGES * period_ms)
