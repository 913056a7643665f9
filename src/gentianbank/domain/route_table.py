"""Routes that operators declare by host and path."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class SplitPart:
    """A service that takes a part of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A route.

    Parameters
    ----------
    idempotent
        Whether a request may run more than once.
    timeout_ms
        Time after which a caller gets a final answer.
    goal_ms
        Latency objective.
    priority
        Rank; 0 is the most urgent.
    parts
        Services by weight; at least one.
    max_attempts
        Targets that one request may be sent to.
    home_regions
        Regions that may serve the route; empty for all.
    """

    name: str
    prefix: str
    idempotent: bool
    large: bool
    timeout_ms: float
    goal_ms: float
    priority: int
    parts: tuple[SplitPart, ...]
    max_attempts: int
    sticky: bool
    home_regions: frozenset[str]

    @property
    def kind(self) -> str:
        """Return how the route's requests are told apart in metrics."""
        if self.large:
            return 'large'
        return 'idempotent' if self.idempotent else 'once'


@dataclass(frozen=True, slots=True, kw_only=True)
class ServicePolicy:
    """What operators declare of a service.

    Parameters
    ----------
    max_connections
        Connections that a target takes from all nodes together.
    cold_start_ms
        Time that a target is cold after a start.
    cold_per_s
        Requests a second that a cold target bears.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_ms: float
    cold_per_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Bounds on what callers send."""

    max_body_bytes: int
    idle_timeout_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteTable:
    """One accepted configuration.

    Parameters
    ----------
    hosts
        Routes of each host, the longest prefix first.
    """

    version: int
    hosts: dict[str, tuple[Route, ...]]
    services: dict[str, ServicePolicy]
    limits: CallerLimits
    _lowest: dict[str, int] = field(init=False, compare=False)

    def __post_init__(self) -> None:
        lowest: dict[str, int] = {}
        for routes in self.hosts.values():
            for route in routes:
                for part in route.parts:
                    rank = lowest.get(part.service, route.priority)
                    lowest[part.service] = max(rank, route.priority)
        object.__setattr__(self, '_lowest', lowest)

    def lowest_priority(self, service: str) -> int:
        """Return the rank of the least urgent route of a service."""
        return self._lowest.get(service, 0)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        for route in self.hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
