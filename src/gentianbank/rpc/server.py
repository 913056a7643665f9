"""Server of the remote procedure calls that operators use."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import NoReturn
from typing import TYPE_CHECKING

from expression import Result
import grpc

from gentianbank.domain.difference import find_differences
from gentianbank.domain.errors import ChangeOutcomeUnknown
from gentianbank.domain.errors import InvalidDocument
from gentianbank.domain.errors import RevisionConflict
from gentianbank.domain.errors import StoreUnavailable
from gentianbank.domain.errors import ValueTooLarge
from gentianbank.rpc import conversion
from gentianbank.rpc import operators_pb2 as pb
from gentianbank.rpc import operators_pb2_grpc
from gentianbank.rpc.changes import AcceptedChange
from gentianbank.rpc.changes import ChangeOrigin

if TYPE_CHECKING:
    from gentianbank.dataplane.decisions import DecisionLog
    from gentianbank.dataplane.lookups import Lookups
    from gentianbank.domain.errors import ChangeError
    from gentianbank.rpc.changes import ConfigurationChanges
    from gentianbank.storage.revisions import RevisionStore

MAX_HISTORY = 1_000
MAX_MESSAGE_BYTES = 256 * 1024 * 1024
REFUSAL_METADATA = 'refusal-bin'

Context = grpc.aio.ServicerContext[Any, Any]
StatusSource = Callable[[], pb.StatusReply]


class OperatorsServicer(operators_pb2_grpc.OperatorsServicer):
    """Answers the calls of ``operators.proto``.

    Parameters
    ----------
    status
        Returns the status of the fleet as this node sees it.
    """

    def __init__(
        self,
        *,
        changes: ConfigurationChanges,
        store: RevisionStore,
        lookups: Lookups,
        decisions: DecisionLog,
        status: StatusSource,
    ) -> None:
        self._changes = changes
        self._store = store
        self._lookups = lookups
        self._decisions = decisions
        self._status = status

    async def Get(
        self, request: pb.GetRequest, context: Context
    ) -> pb.GetReply:
        """Return the accepted configuration."""
        match await self._changes.current():
            case Result(tag='ok', ok=None):
                return pb.GetReply()
            case Result(tag='ok', ok=current) if current is not None:
                message = conversion.to_message(current.document())
                return pb.GetReply(
                    revision=current.revision, configuration=message
                )
            case Result(error=error):
                await _abort(context, error)
        raise AssertionError('a result is either ok or an error')

    async def Diff(
        self, request: pb.DiffRequest, context: Context
    ) -> pb.DiffReply:
        """Compare a configuration with the accepted one."""
        match await self._changes.current():
            case Result(tag='ok', ok=current):
                pass
            case Result(error=error):
                await _abort(context, error)
        before = current.document() if current else {}
        after = conversion.to_document(request.configuration)
        return pb.DiffReply(
            revision=current.revision if current else 0,
            differences=[
                pb.Difference(path=d.path, before=d.before, after=d.after)
                for d in find_differences(before, after)
            ],
        )

    async def Apply(
        self, request: pb.ApplyRequest, context: Context
    ) -> pb.ChangeReply:
        """Replace the configuration."""
        document = conversion.to_document(request.configuration)
        base_revision = None
        if request.HasField('base_revision'):
            base_revision = request.base_revision
        origin = ChangeOrigin(request.author, request.change_id)
        result = await self._changes.apply(document, base_revision, origin)
        return await _change_reply(context, result)

    async def SetDraining(
        self, request: pb.SetDrainingRequest, context: Context
    ) -> pb.ChangeReply:
        """Start or end the drain of a target."""
        origin = ChangeOrigin(request.author, request.change_id)
        result = await self._changes.set_draining(
            request.target, request.draining, origin
        )
        return await _change_reply(context, result)

    async def History(
        self, request: pb.HistoryRequest, context: Context
    ) -> pb.HistoryReply:
        """Return the audit trail, the newest entry first."""
        limit = min(request.limit or MAX_HISTORY, MAX_HISTORY)
        match await self._store.read_history(limit):
            case Result(tag='ok', ok=entries):
                pass
            case Result(error=error):
                await _abort(context, error)
        return pb.HistoryReply(
            entries=[
                pb.AuditEntry(
                    revision=entry.revision,
                    base_revision=entry.base_revision,
                    change_id=entry.change_id,
                    author=entry.author,
                    time_ms=entry.time_ms,
                    summary=entry.summary,
                )
                for entry in entries
            ]
        )

    async def Status(
        self, request: pb.StatusRequest, context: Context
    ) -> pb.StatusReply:
        """Return the status of the fleet as this node sees it."""
        return self._status()

    async def Explain(
        self, request: pb.ExplainRequest, context: Context
    ) -> pb.ExplainReply:
        """Return what this node decided about a request."""
        decision = self._decisions.find(request.request_id)
        if decision is None:
            await context.abort(
                grpc.StatusCode.NOT_FOUND,
                f'request {request.request_id!r} is not known to this node',
            )
        return pb.ExplainReply(
            service=decision.service,
            method=decision.method,
            revision=decision.revision,
            targets=decision.targets,
            result=decision.result,
            outcome=decision.outcome,
            cause=decision.cause,
            duration_ms=decision.duration_ms,
        )

    async def Lookup(
        self, request: pb.LookupRequest, context: Context
    ) -> pb.LookupReply:
        """Answer a look-up as a caller would get it."""
        match self._lookups.find(request.client):
            case Result(tag='ok', ok=answer):
                pass
            case Result(error=error):
                await context.abort(
                    grpc.StatusCode.INVALID_ARGUMENT, str(error)
                )
        return pb.LookupReply(
            entries=[
                pb.Entry(
                    vm=entry.vm,
                    address=entry.address,
                    incarnation=entry.incarnation,
                    region=entry.region,
                    weight_percent=entry.weight_percent,
                )
                for entry in answer.entries
            ],
            cache_ms=answer.cache_ms,
            revision=answer.revision,
        )


def build_server(servicer: OperatorsServicer, address: str) -> grpc.aio.Server:
    """Return a server for an address; it must be started."""
    server_options = [
        ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
        ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
        ('grpc.so_reuseport', 0),
    ]
    server = grpc.aio.server(options=server_options)
    operators_pb2_grpc.add_OperatorsServicer_to_server(servicer, server)
    server.add_insecure_port(address)
    return server


async def _change_reply(
    context: Context, result: Result[AcceptedChange, ChangeError]
) -> pb.ChangeReply:
    match result:
        case Result(tag='ok', ok=accepted):
            return pb.ChangeReply(
                revision=accepted.revision, summary=accepted.summary
            )
        case Result(error=error):
            await _abort(context, error)
    raise AssertionError('a result is either ok or an error')


async def _abort(context: Context, error: ChangeError) -> NoReturn:
    detail = pb.Refusal()
    match error:
        case InvalidDocument():
            code = grpc.StatusCode.INVALID_ARGUMENT
            detail.fields.extend(
                pb.FieldError(path=item.path, cause=item.cause)
                for item in error.errors[:1_000]
            )
        case ValueTooLarge():
            code = grpc.StatusCode.INVALID_ARGUMENT
            cause = str(error)
            detail.fields.append(pb.FieldError(path=error.key, cause=cause))
        case RevisionConflict():
            code = grpc.StatusCode.ABORTED
            detail.conflict.CopyFrom(
                pb.Conflict(
                    expected_revision=error.expected_revision,
                    current_revision=error.current_revision,
                    author=error.author,
                    summary=error.summary,
                )
            )
        case StoreUnavailable():
            code = grpc.StatusCode.UNAVAILABLE
        case ChangeOutcomeUnknown():
            code = grpc.StatusCode.UNKNOWN
    metadata = ((REFUSAL_METADATA, detail.SerializeToString()),)
    await context.abort(code, str(error)[:4_000], metadata)
    raise AssertionError('abort does not return')
