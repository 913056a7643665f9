"""Workspaces: the customers among which callers are told apart by keys."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# Digest of a key; the key itself is not kept.
KeyDigest = bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """What operators declare about a workspace.

    Parameters
    ----------
    priority
        Priority of its requests, before that of the route; 0 is the most
        urgent.
    rate_per_s, burst
        Usage cap over all nodes together: requests per second, and requests
        beyond that at once. A rate of 0 means no cap.
    home_regions
        Regions that may serve its requests; empty for all.
    is_usable
        Whether all that restricts its requests could be read. If not, they
        are refused until a configuration says what holds.
    """

    name: str
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] = frozenset()
    is_usable: bool = True

    @property
    def has_cap(self) -> bool:
        """Return whether the number of its requests is limited."""
        return self.rate_per_s > 0


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkspaceTable:
    """The workspaces of one configuration.

    Parameters
    ----------
    by_key
        Workspace of each key, by the digest of the key. ``None`` for a key
        that several workspaces claim, which none of them gets.
    has_all_keys
        Whether the keys of every workspace could be read. If not, a key that
        is not found may still be valid.
    """

    by_key: dict[KeyDigest, Workspace | None]
    has_all_keys: bool = True
    by_name: dict[str, Workspace] = field(init=False, compare=False)
    has_caps: bool = field(init=False, compare=False)

    def __post_init__(self) -> None:
        by_name = {
            workspace.name: workspace
            for workspace in self.by_key.values()
            if workspace is not None
        }
        object.__setattr__(self, 'by_name', by_name)
        has_caps = any(w.has_cap for w in by_name.values())
        object.__setattr__(self, 'has_caps', has_caps)

    @property
    def lowest_priority(self) -> int:
        """Return the largest priority number among the workspaces."""
        priorities = (w.priority for w in self.by_name.values())
        return max(priorities, default=0)
