"""This node's parts of the rate limits that hold for all nodes together."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import math

from gentianbank.policy import rendezvous
from gentianbank.policy.windows import SlidingCount

# Fraction of the retry budget that is used. The rest covers that nodes may
# differ in their views of which nodes are live.
USABLE_FRACTION = 0.85
# New callers use this fraction; the rest is kept for returning callers.
NEW_CALLER_FRACTION = 0.65
# Fraction of the rate limit of a cold target that is used.
COLD_USABLE_FRACTION = 0.9
# Longer than 1 s, since requests sent over more than a second may arrive
# within one when their delays differ.
COLD_WINDOW_MS = 1_150.0
# Targets that name a limit count their requests over this span.
LIMIT_SPAN_S = 4.0
# Longer than the span, since requests wait for their connections, and their
# delays differ.
LIMIT_WINDOW_MS = 4_500.0
# Part of a named limit that is divided among the nodes of the target's own
# region, which send most of its requests.
OWN_REGION_FRACTION = 0.75


@dataclass(slots=True)
class SharedRetryBudget:
    """Retries that this node may send for a service in a sliding window.

    Parameters
    ----------
    ratio, slack
        Budget of all nodes in a window: ``ratio`` retries per request, plus
        ``slack`` retries, which the nodes divide evenly.
    started_ms
        Time when the node started. Its part of the slack is free one window
        later, since it may have spent it just before it started again.
    """

    ratio: float
    slack: float
    window_ms: float
    started_ms: float = float('-inf')
    _requests: SlidingCount = field(init=False)
    _retries: SlidingCount = field(init=False)

    def __post_init__(self) -> None:
        self._requests = SlidingCount(self.window_ms)
        self._retries = SlidingCount(self.window_ms)

    def apply(self, ratio: float, slack: float, window_ms: float) -> None:
        """Change the budget; what was spent before still counts."""
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms
        self._requests.window_ms = window_ms
        self._retries.window_ms = window_ms

    def on_request(self, now_ms: float) -> None:
        """Count a request from a caller."""
        self._requests.add(now_ms)

    def try_spend(
        self, now_ms: float, part: float, *, returning: bool = False
    ) -> bool:
        """Spend one retry; return whether this node's part had one left.

        Parameters
        ----------
        part
            This node's part of the slack, 0 to 1.
        returning
            Whether the caller was refused before. Part of the budget is kept
            for such callers, since they do not retry again.
        """
        allowed = self.ratio * self._requests.count(now_ms)
        if now_ms >= self.started_ms + self.window_ms:
            allowed += self.slack * part
        usable_fraction = USABLE_FRACTION if returning else NEW_CALLER_FRACTION
        if self._retries.count(now_ms) + 1 > allowed * usable_fraction:
            return False
        self._retries.add(now_ms)
        return True


@dataclass(slots=True)
class ColdRateLimit:
    """Rate limit of this node on requests to one cold target."""

    _sent: SlidingCount = field(
        default_factory=lambda: SlidingCount(COLD_WINDOW_MS)
    )

    def may_send(self, now_ms: float, share: int) -> bool:
        """Return whether another request fits into this node's share."""
        return self._sent.count(now_ms) < share

    def on_send(self, now_ms: float) -> None:
        """Count a request that is sent."""
        self._sent.add(now_ms)


def cold_target_quota(
    target: str, node: str, nodes: tuple[str, ...], allowed_per_s: float
) -> int:
    """Return the requests per second that one node may send a cold target.

    Parameters
    ----------
    nodes
        Every node that may send, this one included.
    allowed_per_s
        Requests per second of all nodes together.
    """
    return node_quota(
        target, node, nodes, int(allowed_per_s * COLD_USABLE_FRACTION)
    )


def limited_target_quota(
    target: str,
    node: str,
    near: tuple[str, ...],
    far: tuple[str, ...],
    requests_per_s: float,
) -> int:
    """Return the requests per window that one node may send a target.

    A target gets at least one request per window of all nodes together, as
    only an answer can tell that its limit has ended.

    Parameters
    ----------
    near, far
        Nodes that may send, of the target's region and of the others.
    requests_per_s
        Limit that the target names for all nodes together.
    """
    total = max(1, int(requests_per_s * LIMIT_SPAN_S))
    near_total = math.ceil(total * OWN_REGION_FRACTION)
    if node in near:
        return node_quota(target, node, near, near_total)
    return node_quota(target, node, far, total - near_total)


def node_quota(
    target: str, node: str, nodes: tuple[str, ...], total: int
) -> int:
    """Return one node's part of a total.

    The remainder of an even division goes to the first nodes in the
    rendezvous order of the target. A node that knows more nodes than exist
    gets no more than its part, so the sum holds as long as each node knows
    every other.

    Parameters
    ----------
    nodes
        Every node that may send, this one included.
    """
    even_share, remainder = divmod(total, max(1, len(nodes)))
    if not remainder:
        return even_share
    order = rendezvous.rank_names(nodes, target)
    return even_share + (1 if node in order[:remainder] else 0)
