"""This node's parts of what all nodes together may do."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from gentianbank.policy import rendezvous
from gentianbank.policy.windows import SlidingCount

# Part of an allowance that is used, since nodes differ on who is alive.
USED_FRACTION = 0.85
# Callers that come for the first time leave the rest to those that return.
FIRST_COME_FRACTION = 0.65
COLD_USED_FRACTION = 0.9
# A little over a second, since requests take a while to arrive.
COLD_WINDOW_MS = 1_150.0


@dataclass(slots=True)
class SharedRetryBudget:
    """Sends beyond the first that this node may make for a service.

    Parameters
    ----------
    ratio, slack
        Allowance of all nodes in a window: a part of the requests, plus the
        slack.
    """

    ratio: float
    slack: float
    window_ms: float
    _requests: SlidingCount = field(init=False)
    _retries: SlidingCount = field(init=False)

    def __post_init__(self) -> None:
        self._requests = SlidingCount(self.window_ms)
        self._retries = SlidingCount(self.window_ms)

    def on_request(self, now_ms: float) -> None:
        """Count a request of a caller."""
        self._requests.add(now_ms)

    def try_spend(
        self, now_ms: float, nodes: int, *, returning: bool = False
    ) -> bool:
        """Spend one retry if this node's part has one left.

        Parameters
        ----------
        returning
            Whether the caller was turned away before; a part is kept for
            such callers, since they do not come again.
        """
        allowed = self.ratio * self._requests.count(now_ms)
        allowed += self.slack / max(1, nodes)
        part = USED_FRACTION if returning else FIRST_COME_FRACTION
        if self._retries.count(now_ms) + 1 > allowed * part:
            return False
        self._retries.add(now_ms)
        return True


@dataclass(slots=True)
class ColdAllowance:
    """Requests that this node may send to one cold target."""

    _sent: SlidingCount = field(
        default_factory=lambda: SlidingCount(COLD_WINDOW_MS)
    )

    def may_send(self, now_ms: float, share: int) -> bool:
        """Tell whether another request fits this node's share."""
        return self._sent.count(now_ms) < share

    def on_send(self, now_ms: float) -> None:
        """Count a request."""
        self._sent.add(now_ms)


def cold_share(
    target: str, node: str, nodes: tuple[str, ...], allowed_per_s: float
) -> int:
    """Return the requests a second that one node may send a cold target.

    Parameters
    ----------
    nodes
        Every node that may send, this one included.
    allowed_per_s
        Requests a second of all nodes together.
    """
    total = int(allowed_per_s * COLD_USED_FRACTION)
    each, rest = divmod(total, max(1, len(nodes)))
    if not rest:
        return each
    order = rendezvous.rank(nodes, target)
    return each + (1 if node in order[:rest] else 0)
