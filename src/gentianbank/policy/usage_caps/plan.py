"""How the rule of a cap is divided into a bucket and equal parts."""

from __future__ import annotations

from dataclasses import dataclass

# Tokens expire this long after the request for them was sent.
GRANT_MS = 500.0
# An owner acts only on a view of the store that is younger than this.
TENURE_MS = 2_500.0
# Longest wait of a request for the owner's answer.
MAX_WAIT_MS = 150.0
BATCH_MS = 100.0
# Period of the messages that renew a promise, and the promise's length.
QUIET_MS = 500.0
PROMISE_MS = 1_500.0
# Fleets up to this size use the times above.
NODES_AT_BASE_PACE = 128
MAX_GRANT_FACTOR = 4.0
MAX_QUIET_FACTOR = 45.0
# Covers that requests reach targets some time after they took their tokens.
USABLE_FRACTION = 0.99
# Capacity of a bucket without a burst: what fills in two batch periods.
MIN_CAPACITY_MS = 200.0
_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class Cap:
    """The usage cap of a workspace, over all nodes together."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class CapRule:
    """The window in which use is counted, and the tolerated excess.

    Parameters
    ----------
    overage
        Part of the allowed use by which use may exceed it.
    slack
        Requests per window beyond that. The plan does not use them.
    """

    window_ms: float = 5_000.0
    overage: float = 0.1
    slack: float = 20.0

    def allowed(self, cap: Cap) -> float:
        """Return the requests allowed in any window, without the slack."""
        base = cap.rate_per_s * self.window_ms / _MS_PER_S + cap.burst
        return base * (1 + self.overage)


@dataclass(frozen=True, slots=True)
class Pace:
    """Times of the messages between nodes and owners, in milliseconds."""

    batch_ms: float = BATCH_MS
    grant_ms: float = GRANT_MS
    quiet_ms: float = QUIET_MS
    promise_ms: float = PROMISE_MS


@dataclass(frozen=True, slots=True)
class CapPlan:
    """What an owner and the equal parts may use.

    Parameters
    ----------
    rate_per_s, capacity
        Fill rate and capacity of the owner's bucket.
    window_quota
        Requests per window that the equal parts of all members sum to.
    """

    rate_per_s: float
    capacity: float
    window_quota: int


def choose_pace(nodes: int) -> Pace:
    """Return the times for a number of nodes.

    They grow with the number, so that the messages per node and per owner
    stay bounded.
    """
    factor = max(1.0, nodes / NODES_AT_BASE_PACE)
    grant = min(factor, MAX_GRANT_FACTOR)
    quiet = min(factor, MAX_QUIET_FACTOR)
    return Pace(
        BATCH_MS * grant,
        GRANT_MS * grant,
        QUIET_MS * quiet,
        PROMISE_MS * quiet,
    )


def plan_cap(cap: Cap, rule: CapRule, grant_ms: float = GRANT_MS) -> CapPlan:
    """Divide a cap so that its rule holds without the slack.

    A grant may be used up to ``grant_ms`` after it was made, so the use in a
    window is at most the capacity plus what fills in the window and that
    time.
    """
    rate = cap.rate_per_s
    hoard = rate * grant_ms / _MS_PER_S
    capacity = max(1.0, cap.burst - hoard, rate * MIN_CAPACITY_MS / _MS_PER_S)
    usable = rule.allowed(cap) * USABLE_FRACTION
    span_s = (rule.window_ms + grant_ms) / _MS_PER_S
    fill = min(rate, max(0.0, usable - capacity) / span_s)
    return CapPlan(fill, capacity, int(fill * rule.window_ms / _MS_PER_S))
