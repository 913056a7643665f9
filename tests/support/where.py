"""A node's explainer, and the state that it must not change."""

from __future__ import annotations

from collections import deque
from dataclasses import fields
from dataclasses import is_dataclass
import enum
from typing import Any
from typing import TYPE_CHECKING

from gentianbank.domain.registration import NodeRegistration
from gentianbank.policy.windows import SlidingCount
from gentianbank.steering.apps import LookupApp
from gentianbank.steering.where.explainer import Explainer
from gentianbank.steering.where.query import WhereQuery
from tests.support.steering import HOST
from tests.support.steering import Path

if TYPE_CHECKING:
    from gentianbank.steering.where.explanation import Explanation

# Results that are computed again whenever what they rest on changes.
_CACHES = frozenset(
    (
        '_rankings',
        '_cached_generation',
        '_cached_generations',
        '_cold_quotas',
        '_limit_parts',
        '_lowest_priority',
        '_table',
    )
)
_PLAIN = (str, bytes, int, float, bool, type(None), enum.Enum)


def entry_of(path: Path) -> NodeRegistration:
    """Return the entry of a node in the store."""
    return NodeRegistration(
        vm=path.vm,
        region=path.region,
        failure_domain=path.failure_domain,
        callers='10.1.0.1:80',
        peers='10.1.0.1:81',
    )


def explainer(path: Path) -> Explainer:
    """Return the explainer of a node."""
    lookups = LookupApp(
        entry_of(path), path.cluster_view, lambda: path.stopping, 1.0
    )
    return Explainer(
        vm=path.vm,
        cluster_view=path.cluster_view,
        lookups=lookups,
        proxy=path.proxy,
        placer=path.placer,
        fair_shares=path.fair_shares,
        usage_caps=path.usage_caps,
        clock=path.loop.now_ms,
    )


def explain(node: Path, /, **query: Any) -> Explanation:
    """Return where a request to the usual host would go."""
    fields_given = {'host': HOST, 'path': '/read/1'} | query
    return explainer(node).explain(WhereQuery(**fields_given))


def state_of(path: Path) -> Any:
    """Return all state of a node on which decisions rest."""
    roots = (
        path.cluster_view,
        path.placer,
        path.fair_shares,
        path.usage_caps,
        path.proxy,
        path.checks,
    )
    now_ms = path.loop.now_ms()
    return [_freeze(root, now_ms, set()) for root in roots]


def _freeze(value: Any, now_ms: float, seen: set[int]) -> Any:
    if isinstance(value, _PLAIN):
        return value
    if id(value) in seen:
        return '...'
    seen = seen | {id(value)}
    if isinstance(value, SlidingCount):
        # Expired events may be dropped at any time.
        return value.window_ms, [
            time_ms
            for time_ms in value._event_times_ms
            if time_ms > now_ms - value.window_ms
        ]
    if isinstance(value, dict):
        return [
            (_freeze(k, now_ms, seen), _freeze(v, now_ms, seen))
            for k, v in value.items()
        ]
    if isinstance(value, list | tuple | deque):
        return [_freeze(item, now_ms, seen) for item in value]
    if isinstance(value, set | frozenset):
        return sorted(repr(_freeze(item, now_ms, seen)) for item in value)
    return type(value).__name__, [
        (name, _freeze(part, now_ms, seen))
        for name, part in _parts(value)
        if name not in _CACHES
    ]


def _parts(value: Any) -> list[tuple[str, Any]]:
    if is_dataclass(value):
        return [(f.name, getattr(value, f.name)) for f in fields(value)]
    is_own = type(value).__module__.startswith('gentianbank.')
    return sorted(vars(value).items()) if is_own else []
