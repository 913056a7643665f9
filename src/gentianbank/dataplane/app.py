"""HTTP application: look-ups, health, metrics, and requests for services."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

from expression import Result
from litestar import get
from litestar import Litestar
from litestar import Response
from litestar.exceptions import HTTPException
from litestar.handlers import asgi
from litestar.types import Receive
from litestar.types import Scope
from litestar.types import Send

from gentianbank.dataplane.exchange import Exchange
from gentianbank.dataplane.lookups import NoConfiguration
from gentianbank.domain.errors import FieldError

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.dataplane.forwarder import Forwarder
    from gentianbank.dataplane.lookups import Lookups
    from gentianbank.telemetry.metrics import Metrics


@dataclass(frozen=True, slots=True)
class EntryDocument:
    """One entry VM of a look-up's answer."""

    vm: str
    address: str
    incarnation: str
    epoch: int
    region: str
    weight_percent: int


@dataclass(frozen=True, slots=True)
class LookupDocument:
    """A look-up's answer."""

    entries: list[EntryDocument]
    cache_ms: int
    revision: int


@dataclass(frozen=True, slots=True)
class StateDocument:
    """Health or readiness of the node."""

    status: str
    revision: int


def build_app(
    *,
    forwarder: Forwarder,
    lookups: Lookups,
    metrics: Metrics,
    revision: Callable[[], int],
    is_stopping: Callable[[], bool],
    epoch_of: Callable[[str], int],
) -> Litestar:
    """Return the HTTP application of a node.

    Parameters
    ----------
    revision
        Returns the revision in force, 0 if there is none yet.
    is_stopping
        Returns whether this node is shutting down and so is not ready.
    epoch_of
        Returns the estimated epoch of the incarnation on a VM; callers put
        it into the keys that they make.
    """

    @get('/lookup')
    async def look_up(client: str) -> LookupDocument:
        match lookups.find(client):
            case Result(tag='ok', ok=answer):
                metrics.on_lookup()
            case Result(error=NoConfiguration() as error):
                raise HTTPException(str(error), status_code=503)
            case Result(error=FieldError() as error):
                raise HTTPException(str(error), status_code=400)
        entries = [
            EntryDocument(
                entry.vm,
                entry.address,
                entry.incarnation,
                epoch_of(entry.vm),
                entry.region,
                entry.weight_percent,
            )
            for entry in answer.entries
        ]
        return LookupDocument(entries, answer.cache_ms, answer.revision)

    @get('/healthz')
    async def show_health() -> StateDocument:
        return StateDocument('pass', revision())

    @get('/readyz')
    async def show_readiness() -> Response[StateDocument]:
        ready = revision() > 0 and not is_stopping()
        document = StateDocument('pass' if ready else 'fail', revision())
        return Response(document, status_code=200 if ready else 503)

    @get('/metrics', media_type='text/plain; version=0.0.4')
    async def show_metrics() -> bytes:
        return metrics.render()

    @asgi('/services', is_mount=True, copy_scope=False)
    async def serve(scope: Scope, receive: Receive, send: Send) -> None:
        arguments: tuple[Any, ...] = (scope, receive, send)
        await forwarder.serve(Exchange(*arguments))

    return Litestar(
        [look_up, show_health, show_readiness, show_metrics, serve],
        openapi_config=None,
        logging_config=None,
    )
