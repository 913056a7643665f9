"""Explains what a node would do with a request.

It asks the objects that serve requests, by those of their methods that count
and write nothing.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from gentianbank.dataplane.exchange import Exchange
from gentianbank.platform import credentials
from gentianbank.platform import headers as wire
from gentianbank.policy.placement import NoCapacity
from gentianbank.policy.placement import Placement
from gentianbank.steering.answers import Refusal
from gentianbank.steering.attempt_history import AttemptHistory
from gentianbank.steering.where.admission import explain_cap
from gentianbank.steering.where.admission import explain_share
from gentianbank.steering.where.changes import list_changes
from gentianbank.steering.where.explanation import EntryPoint
from gentianbank.steering.where.explanation import Explanation
from gentianbank.steering.where.query import BadQueryError
from gentianbank.steering.where.targets import list_candidates
from gentianbank.steering.where.targets import list_passed_over

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.domain.workspaces import KeyDigest
    from gentianbank.policy.placement import PlacementResult
    from gentianbank.steering.apps import LookupApp
    from gentianbank.steering.caller_request import CallerRequest
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.steering.fair_shares.fair_shares import FairShares
    from gentianbank.steering.placer import Placer
    from gentianbank.steering.proxy import Proxy
    from gentianbank.steering.usage_caps.admission import UsageCaps
    from gentianbank.steering.where.explanation import CapAnswer
    from gentianbank.steering.where.explanation import ShareAnswer
    from gentianbank.steering.where.query import WhereQuery

_NO_TIME_LEFT = 'no time is left'


class Explainer:
    """Explains the decisions of one node.

    Parameters
    ----------
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        *,
        vm: str,
        cluster_view: ClusterView,
        lookups: LookupApp,
        proxy: Proxy,
        placer: Placer,
        fair_shares: FairShares,
        usage_caps: UsageCaps | None,
        clock: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._cluster_view = cluster_view
        self._lookups = lookups
        self._proxy = proxy
        self._placer = placer
        self._fair_shares = fair_shares
        self._usage_caps = usage_caps
        self._clock = clock

    def explain(self, query: WhereQuery) -> Explanation:
        """Return what this node would do with a request now.

        Raises
        ------
        BadQueryError
            If the query names no known workspace, or an invalid digest.
        """
        exchange = _build_exchange(query)
        found = self._proxy.preview(exchange, self._find_key(query))
        if isinstance(found, Refusal):
            return self._build(query, status=found.status, cause=found.cause)
        return self._explain_request(query, found.request, found.too_large)

    def _explain_request(
        self,
        query: WhereQuery,
        request: CallerRequest,
        too_large: Refusal | None,
    ) -> Explanation:
        now_ms = self._clock()
        history = AttemptHistory()
        history.targets.extend(name for name in query.tried.split(',') if name)
        sought = self._proxy.placement_request(request, history)
        preview = self._placer.preview(sought)
        result = preview.result
        cap = explain_cap(self._usage_caps, request)
        share = explain_share(self._fair_shares, request)
        candidates = list_candidates(preview, now_ms)
        passed_over = list_passed_over(
            self._cluster_view, sought, preview, now_ms
        )
        status, cause = _find_refusal(too_large, cap, share, result)
        if too_large is None and now_ms >= request.deadline_ms:
            status, cause = None, _NO_TIME_LEFT
        return self._build(
            query,
            status=status,
            cause=cause,
            route=request.route.name,
            service=request.service,
            workspace=request.workspace.name if request.workspace else '',
            topic=request.topic,
            is_returning=request.was_refused_before,
            home_regions=tuple(sorted(request.allowed_regions or ())),
            cap=cap,
            share=share,
            planned_region=preview.planned_region,
            target=(
                result.target.registration.target_id
                if isinstance(result, Placement)
                else ''
            ),
            candidates=candidates,
            passed_over=passed_over,
            changes=list_changes(cap, share, candidates, passed_over),
        )

    def _build(self, query: WhereQuery, **parts: Any) -> Explanation:
        table = self._cluster_view.table
        addresses = self._lookups.choose(query.region, query.failure_domain)
        return Explanation(
            vm=self._vm,
            configuration=table.version if table else None,
            configuration_age_ms=self._cluster_view.age_ms(self._clock()),
            entry_points=tuple(
                EntryPoint(self._lookups.vm_of(address), address)
                for address in addresses
            ),
            **parts,
        )

    def _find_key(self, query: WhereQuery) -> KeyDigest | credentials.NoKey:
        """Return the digest of the caller's key, or of its workspace's."""
        if query.key_digest:
            digest = credentials.parse_digest(query.key_digest)
            if digest is None:
                raise BadQueryError('key_digest: expected a digest')
            return digest
        if not query.workspace:
            return credentials.NoKey()
        table = self._cluster_view.table
        workspaces = table.workspaces if table else None
        for key, workspace in workspaces.by_key.items() if workspaces else ():
            if workspace is not None and workspace.name == query.workspace:
                return key
        raise BadQueryError('no workspace of that name has a key')


def _find_refusal(
    too_large: Refusal | None,
    cap: CapAnswer,
    share: ShareAnswer,
    result: PlacementResult,
) -> tuple[int | None, str]:
    """Return the status and cause of the first refusal, in their order."""
    if too_large is not None:
        return too_large.status, too_large.cause
    if cap.state == 'refused':
        return 429, 'over the usage cap of the workspace'
    if share.state == 'refused':
        return 503, 'the share of the workspace is used up'
    if isinstance(result, Placement):
        return None, ''
    full = isinstance(result, NoCapacity)
    return 503, 'every target is busy' if full else 'no target'


def _build_exchange(query: WhereQuery) -> Exchange:
    headers = {
        b'host': query.host,
        wire.REQUEST_ID: query.request_id,
        b'content-length': str(query.size_bytes),
    }
    if query.affinity_key:
        headers[wire.OBJECT] = query.affinity_key
    if query.deadline_ms is not None:
        headers[wire.TIME_LEFT] = str(query.deadline_ms)
    scope = {
        'method': query.method,
        'path': query.path,
        'headers': [
            (name, value.encode('latin-1', 'replace'))
            for name, value in headers.items()
        ],
    }
    return Exchange(scope, _receive, _send)


async def _receive() -> Any:
    raise AssertionError('a request that is explained has no body')


async def _send(_: Any) -> None:
    raise AssertionError('a request that is explained gets no answer')
