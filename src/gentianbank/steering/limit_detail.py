"""What the log says of the limit for which a request was refused."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitDetail:
    """The limit of a workspace at this node.

    Parameters
    ----------
    rule
        Name of the limit.
    share_per_s, use_per_s
        Requests per second that this node gets of the limit, and uses.
    data_age_ms
        Age of what the share rests on; ``None`` if there is nothing yet.
    """

    rule: str = ''
    workspace: str = ''
    share_per_s: float = 0.0
    use_per_s: float = 0.0
    data_age_ms: int | None = None
