"""Routes and services that operators declare on the platform."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gentianbank.domain.errors import FieldError
    from gentianbank.domain.workspaces import WorkspaceTable


@dataclass(frozen=True, slots=True)
class SplitPart:
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Rule for the requests of one host with one path prefix.

    Parameters
    ----------
    idempotent
        Whether a request may run more than once.
    large
        Whether bodies are large: those of the answers if the route is
        idempotent (downloads), else those of the requests (uploads).
    timeout_ms
        Time within which a caller gets a final answer.
    latency_objective_ms
        Latency objective of a request.
    priority
        Priority of the requests under overload; 0 is the most urgent.
    parts
        Services that share the requests by weight; at least one.
    max_attempts
        Attempts that one request may take, the first included.
    sticky
        Whether requests with the same affinity key prefer the same target.
    home_regions
        Regions that may serve the route; empty for all.
    public
        Whether requests need no key, where there are workspaces.
    """

    name: str
    prefix: str
    idempotent: bool
    large: bool
    timeout_ms: float
    latency_objective_ms: float
    priority: int
    parts: tuple[SplitPart, ...]
    max_attempts: int
    sticky: bool
    home_regions: frozenset[str]
    public: bool = False

    @property
    def kind(self) -> str:
        """Return the label of the route's requests in metrics."""
        if self.large:
            return 'large' if self.idempotent else 'upload'
        return 'idempotent' if self.idempotent else 'once'


@dataclass(frozen=True, slots=True)
class UnusableRoute:
    """A route that could not be read, but for its prefix at the most.

    Its requests are refused. They must not match a shorter prefix, whose
    service may not be the one that the operators meant.
    """

    prefix: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ServicePolicy:
    """What operators declare about a service.

    Parameters
    ----------
    max_connections
        Connections that a target accepts from all nodes together.
    cold_start_ms
        Time after its start for which a target is cold (warms up).
    cold_per_s
        Requests per second that a cold target can serve.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_ms: float
    cold_per_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on the requests of callers.

    Parameters
    ----------
    idle_timeout_ms, max_header_bytes, header_timeout_ms
        ``None`` where the operators state nothing; the settings of the node
        apply then.
    """

    max_body_bytes: int
    idle_timeout_ms: float | None
    max_header_bytes: int | None = None
    header_timeout_ms: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteTable:
    """One version of the operators' configuration on the platform.

    Parameters
    ----------
    hosts
        Routes of each host in lower case, the longest prefix first.
    workspaces
        Workspaces among which callers are told apart; ``None`` if they are
        not.
    problems
        Parts of the document that are left out, or that are read in their
        strictest sense because a word is not known.
    """

    version: int
    hosts: dict[str, tuple[Route | UnusableRoute, ...]]
    services: dict[str, ServicePolicy]
    limits: CallerLimits
    workspaces: WorkspaceTable | None = None
    problems: tuple[FieldError, ...] = ()
    _lowest_priority_by_service: dict[str, int] = field(
        init=False, compare=False
    )

    def __post_init__(self) -> None:
        lowest_by_service: dict[str, int] = {}
        for routes in self.hosts.values():
            for route in routes:
                if isinstance(route, UnusableRoute):
                    continue
                for part in route.parts:
                    rank = lowest_by_service.get(part.service, route.priority)
                    lowest_by_service[part.service] = max(rank, route.priority)
        object.__setattr__(
            self, '_lowest_priority_by_service', lowest_by_service
        )

    @property
    def has_caps(self) -> bool:
        """Return whether a workspace has a usage cap."""
        return self.workspaces is not None and self.workspaces.has_caps

    def lowest_priority(self, service: str) -> int:
        """Return the largest priority number among a service's routes."""
        return self._lowest_priority_by_service.get(service, 0)

    def find(self, host: str, path: str) -> Route | UnusableRoute | None:
        """Return the route whose prefix matches a path and is the longest."""
        for route in self.hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
