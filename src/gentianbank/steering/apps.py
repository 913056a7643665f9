"""ASGI applications of a node: proxy, readiness, metrics, look-ups."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

from gentianbank.dataplane.exchange import ASGIMessage
from gentianbank.dataplane.exchange import Exchange
from gentianbank.dataplane.exchange import Receive
from gentianbank.dataplane.exchange import SendMessage
from gentianbank.platform import lookup
from gentianbank.policy.entry_points import choose_entry_points
from gentianbank.steering.where import query as where_query

if TYPE_CHECKING:
    from gentianbank.domain.registration import NodeRegistration
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.steering.proxy import Proxy
    from gentianbank.telemetry.deferred import DeferredMetrics

App = Callable[[ASGIMessage, Receive, SendMessage], Awaitable[None]]
# Short, so that callers soon stop using a node that has ended.
LOOKUP_CACHE_S = 1.0
_METRICS_HEADERS = [(b'content-type', b'text/plain; version=0.0.4')]
_JSON_HEADERS = [(b'content-type', b'application/json')]


class ProxyApp:
    """Forwards requests for services to targets."""

    def __init__(self, proxy: Proxy) -> None:
        self._proxy = proxy

    async def __call__(
        self, scope: ASGIMessage, receive: Receive, send: SendMessage
    ) -> None:
        """Serve one request."""
        await self._proxy.serve(Exchange(scope, receive, send))


class ReadinessApp:
    """Answers readiness checks: 200 if ready, else 503.

    A node is ready once it has a configuration and until it begins to stop.
    """

    def __init__(
        self, cluster_view: ClusterView, is_stopping: Callable[[], bool]
    ) -> None:
        self._cluster_view = cluster_view
        self._is_stopping = is_stopping

    async def __call__(
        self, scope: ASGIMessage, receive: Receive, send: SendMessage
    ) -> None:
        """Answer one readiness check."""
        ready = (
            self._cluster_view.table is not None and not self._is_stopping()
        )
        await Exchange(scope, receive, send).answer(
            200 if ready else 503, [], b''
        )


class MetricsApp:
    """Serves the metrics of the node, and explanations of its decisions.

    Parameters
    ----------
    where
        Answers the path of explanations; every other path has the metrics.
    """

    def __init__(
        self, metrics: DeferredMetrics, where: App | None = None
    ) -> None:
        self._metrics = metrics
        self._where = where

    async def __call__(
        self, scope: ASGIMessage, receive: Receive, send: SendMessage
    ) -> None:
        """Answer one scrape; 503 until the metrics are loaded."""
        if self._where is not None and scope['path'] == where_query.PATH:
            await self._where(scope, receive, send)
            return
        text = self._metrics.render()
        await Exchange(scope, receive, send).answer(
            503 if text is None else 200, _METRICS_HEADERS, text or b''
        )


class LookupApp:
    """Answers look-ups: tells callers which entry VMs to use.

    Parameters
    ----------
    me
        Registration of this node.
    is_stopping
        Returns whether the node is shutting down.
    max_cache_s
        Longest time for which callers may cache an answer.
    """

    def __init__(
        self,
        me: NodeRegistration,
        cluster_view: ClusterView,
        is_stopping: Callable[[], bool],
        max_cache_s: float,
    ) -> None:
        self._cache_s = min(LOOKUP_CACHE_S, max_cache_s)
        self._me = me
        self._cluster_view = cluster_view
        self._is_stopping = is_stopping

    async def __call__(
        self, scope: ASGIMessage, receive: Receive, send: SendMessage
    ) -> None:
        """Answer one look-up."""
        exchange = Exchange(scope, receive, send)
        query = lookup.decode_query(scope.get('query_string', b''))
        addresses = self.choose(query.region, query.failure_domain)
        if not addresses:
            await exchange.answer(503, _JSON_HEADERS, b'{}')
            return
        body = lookup.encode_answer(addresses, self._cache_s)
        await exchange.answer(200, _JSON_HEADERS, body)

    def choose(self, region: str, failure_domain: str) -> tuple[str, ...]:
        """Return the addresses of the entry VMs for a caller.

        If the connections to all candidates are lost, they are named all
        the same, since the fault may be on the side of this node.

        Parameters
        ----------
        region, failure_domain
            Location of the caller; empty if it is not known.
        """
        return choose_entry_points(
            self._connected_nodes(), region, failure_domain
        ) or choose_entry_points(
            self._registered_nodes(), region, failure_domain
        )

    def vm_of(self, address: str) -> str:
        """Return the VM of a caller-facing address; empty if unknown."""
        for node in self._registered_nodes():
            if node.callers == address:
                return node.vm
        return ''

    def _connected_nodes(self) -> list[NodeRegistration]:
        """Return the registered nodes that are not disconnected peers."""
        disconnected = self._cluster_view.disconnected_peers
        return [
            node
            for node in self._registered_nodes()
            if node.vm not in disconnected
        ]

    def _registered_nodes(self) -> list[NodeRegistration]:
        nodes = {**self._cluster_view.nodes, self._me.vm: self._me}
        if self._is_stopping() or self._cluster_view.table is None:
            del nodes[self._me.vm]
        return list(nodes.values())
