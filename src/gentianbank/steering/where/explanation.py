"""Where a request would go, and why."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EntryPoint:
    """A VM that the look-up names."""

    vm: str
    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CapAnswer:
    """Whether the usage cap would admit the request.

    Parameters
    ----------
    state
        ``none``, ``admitted``, ``asks owner``, ``refused``, or ``not
        applied yet``.
    share_per_s, use_per_s
        What the node gets of the cap, and uses; only if refused.
    age_ms
        Time since the owner's last answer; ``None`` before the first.
    wait_ms
        Time after which the request is likely to be admitted.
    """

    state: str
    owner: str = ''
    rule: str = ''
    rate_per_s: float = 0.0
    burst: float = 0.0
    share_per_s: float | None = None
    use_per_s: float | None = None
    age_ms: float | None = None
    wait_ms: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ShareAnswer:
    """Whether the share of the workspace would admit the request.

    Parameters
    ----------
    state
        ``not divided``, ``admitted`` or ``refused``.
    share_per_s, asked_per_s, room_per_s
        Requests per second of all nodes: admitted, asked for, and what the
        service can answer.
    age_ms
        Age of the counts on which the share rests.
    """

    state: str
    rule: str = ''
    share_per_s: float | None = None
    asked_per_s: float | None = None
    room_per_s: float | None = None
    is_returning: bool = False
    age_ms: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A target that could take the request.

    Parameters
    ----------
    cost_ms
        Expected time with the penalties; the least one decides.
    expected_ms, wait_ms
        Expected time to the answer, and the wait that it includes.
    occupancy
        Estimated requests at the target, running and waiting.
    report_age_ms
        Age of the target's last load report; ``None`` before the first.
    """

    target: str
    region: str
    failure_domain: str
    cost_ms: float
    expected_ms: float
    wait_ms: float
    is_warm: bool
    occupancy: float
    slots: int
    slowdown: float
    failure_rate: float
    report_age_ms: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class PassedOverTarget:
    """A target that is not a candidate, and why.

    Parameters
    ----------
    occupancy
        Estimated requests at the target, running and waiting.
    report_age_ms
        Age of the target's last load report; ``None`` before the first.
    """

    target: str
    region: str
    reason: str
    occupancy: float
    slots: int
    report_age_ms: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """What a node would do with a request.

    Parameters
    ----------
    configuration_age_ms
        Time since the store last answered; ``None`` if it never has.
    status
        Status of the node's own refusal; ``None`` if it would send the
        request, or if an earlier time limit decides.
    cause
        Why the request would be refused; empty if it would be sent.
    target
        Target that would get the request, or would if its cap and share
        admitted it; empty for none.
    candidates
        Targets that could take it, the chosen one first.
    changes
        What would change the result.
    """

    vm: str
    configuration: int | None
    configuration_age_ms: int | None
    entry_points: tuple[EntryPoint, ...]
    status: int | None = None
    cause: str = ''
    route: str = ''
    service: str = ''
    workspace: str = ''
    topic: str = ''
    is_returning: bool = False
    home_regions: tuple[str, ...] = ()
    cap: CapAnswer | None = None
    share: ShareAnswer | None = None
    planned_region: str = ''
    target: str = ''
    candidates: tuple[Candidate, ...] = ()
    passed_over: tuple[PassedOverTarget, ...] = ()
    changes: tuple[str, ...] = ()
