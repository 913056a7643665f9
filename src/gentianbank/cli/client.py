"""Client of the remote procedure calls that operators use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result
import grpc

from gentianbank.cli.exit_codes import ExitCode
from gentianbank.rpc import operators_pb2 as pb
from gentianbank.rpc import operators_pb2_grpc
from gentianbank.rpc.server import MAX_MESSAGE_BYTES
from gentianbank.rpc.server import REFUSAL_METADATA

if TYPE_CHECKING:
    from collections.abc import Callable

    from google.protobuf.message import Message

READ_TIMEOUT_S = 10.0
CHANGE_TIMEOUT_S = 60.0
_EXIT_CODES = {
    grpc.StatusCode.INVALID_ARGUMENT: ExitCode.BAD_INPUT,
    grpc.StatusCode.ABORTED: ExitCode.CONFLICT,
    grpc.StatusCode.UNAVAILABLE: ExitCode.UNREACHABLE,
    grpc.StatusCode.DEADLINE_EXCEEDED: ExitCode.UNREACHABLE,
    grpc.StatusCode.UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
    grpc.StatusCode.NOT_FOUND: ExitCode.NOT_FOUND,
}


@dataclass(frozen=True, slots=True)
class CallFailure:
    """A call that was refused or not answered.

    Parameters
    ----------
    message
        What went wrong; printed only if there are no fields.
    fields
        Paths of the wrong fields, each with its cause.
    """

    exit_code: ExitCode
    message: str
    fields: tuple[str, ...] = ()

    def __str__(self) -> str:
        if not self.fields:
            return self.message
        return '\n'.join(self.fields)


class OperatorsClient:
    """Calls the first of several nodes that can be reached.

    Parameters
    ----------
    nodes
        Addresses for operators, in the order in which they are tried.
    """

    def __init__(self, nodes: tuple[str, ...]) -> None:
        self._nodes = nodes

    def read(self, method: str, request: Message) -> Result[Any, CallFailure]:
        """Make a call that changes nothing."""
        return self._call_any(method, request, READ_TIMEOUT_S, _is_unreachable)

    def change(
        self, method: str, request: Message
    ) -> Result[Any, CallFailure]:
        """Make a call that changes the configuration.

        A retry at the next node is safe here, too: a change is accepted at
        most once under the change id in the request.
        """
        return self._call_any(
            method, request, CHANGE_TIMEOUT_S, _is_unreachable
        )

    def _call_any(
        self,
        method: str,
        request: Message,
        timeout_s: float,
        may_try_next: Callable[[CallFailure], bool],
    ) -> Result[Any, CallFailure]:
        failure = CallFailure(ExitCode.BAD_INPUT, '--node: no address given')
        for node in self._nodes:
            match self._call(node, method, request, timeout_s):
                case Result(tag='ok', ok=reply):
                    return Ok(reply)
                case Result(error=failure):
                    if not may_try_next(failure):
                        break
        return Error(failure)

    def _call(
        self, node: str, method: str, request: Message, timeout_s: float
    ) -> Result[Any, CallFailure]:
        options = [
            ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
            ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
            ('grpc.enable_http_proxy', 0),
        ]
        with grpc.insecure_channel(node, options=options) as channel:
            stub = operators_pb2_grpc.OperatorsStub(channel)
            try:
                return Ok(getattr(stub, method)(request, timeout=timeout_s))
            except grpc.RpcError as error:
                return Error(_to_call_failure(node, error))


def _is_unreachable(failure: CallFailure) -> bool:
    return failure.exit_code == ExitCode.UNREACHABLE


def _to_call_failure(node: str, error: Any) -> CallFailure:
    code = error.code()
    exit_code = _EXIT_CODES.get(code, ExitCode.FAILED)
    message = error.details() or code.name.lower()
    if exit_code == ExitCode.UNREACHABLE:
        message = f'{node}: {message}'
    refusal = pb.Refusal()
    for key, value in error.trailing_metadata() or ():
        if key == REFUSAL_METADATA:
            refusal.ParseFromString(value)
    fields = tuple(f'{item.path}: {item.cause}' for item in refusal.fields)
    return CallFailure(exit_code, message, fields)
