"""Parsing and checking of the head of a request."""

from __future__ import annotations

from dataclasses import dataclass
import re
import secrets
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.dataplane import headers
from gentianbank.dataplane.refusal import Refusal
from gentianbank.dataplane.refusal import RefusalKind
from gentianbank.domain.request_key import parse_key

if TYPE_CHECKING:
    from gentianbank.dataplane.exchange import Exchange
    from gentianbank.domain.configuration import Configuration
    from gentianbank.domain.configuration import Service
    from gentianbank.domain.errors import FieldError
    from gentianbank.domain.request_key import RequestKey
    from gentianbank.domain.settings import Limits

PATH_PREFIX = b'/services/'
_REQUEST_ID_PATTERN = re.compile(r'[!-~]{1,100}')
_TIMEOUT_PATTERN = re.compile(r'\d{1,12}')


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request whose head has been checked.

    Parameters
    ----------
    service_name
        Name of the service.
    path
        Path and query as sent to the target, without the service prefix.
    end_ms
        Deadline, on this node's monotonic clock.
    key
        Idempotency key that the caller gave, if any; always ``None`` for an
        idempotent request.
    """

    request_id: str
    service_name: str
    service: Service
    method: str
    path: bytes
    end_ms: float
    idempotent: bool
    key: RequestKey | None
    received_headers: list[tuple[bytes, bytes]]
    client: str
    chunked: bool


def parse_request(
    exchange: Exchange,
    configuration: Configuration | None,
    limits: Limits,
    now_ms: float,
) -> Result[Request, Refusal]:
    """Check the head of a request.

    Parameters
    ----------
    now_ms
        Time at which the request arrived, on this node's monotonic clock.
    """
    if configuration is None:
        return _refuse(RefusalKind.NO_CONFIGURATION, 'no revision yet')
    _, _, rest = exchange.path.removeprefix(PATH_PREFIX).partition(b'/')
    name_in_path = service_name_in_path(exchange)
    service = configuration.services.get(name_in_path)
    if service is None:
        cause = f'there is no service {name_in_path[:60]!r}'
        return _refuse(RefusalKind.UNKNOWN_SERVICE, cause)
    timeout_ms = _parse_timeout(exchange, service)
    if isinstance(timeout_ms, Refusal):
        return Error(timeout_ms)
    size_refusal = _check_size(exchange, limits)
    if size_refusal is not None:
        return Error(size_refusal)
    idempotent = exchange.method in service.idempotent_methods
    key: RequestKey | None = None
    if not idempotent:
        match parse_key_header(exchange, name_in_path):
            case Result(tag='ok', ok=key):
                pass
            case Result(error=error):
                return _refuse(RefusalKind.BAD_REQUEST, str(error))
    return Ok(
        Request(
            request_id=_request_id(exchange),
            service_name=name_in_path,
            service=service,
            method=exchange.method,
            path=b'/' + rest,
            end_ms=now_ms + timeout_ms,
            idempotent=idempotent,
            key=key,
            received_headers=exchange.raw_headers,
            client=exchange.client,
            chunked=exchange.header(b'transfer-encoding') is not None,
        )
    )


def parse_key_header(
    exchange: Exchange, service: str
) -> Result[RequestKey | None, FieldError]:
    """Return the idempotency key that the caller gave, if any."""
    raw = exchange.header(headers.IDEMPOTENCY_KEY)
    if raw is None:
        return Ok(None)
    # The mapping only widens the type of the key by ``None``.
    return parse_key(service, raw).map(lambda key: key)


def service_name_in_path(exchange: Exchange) -> str:
    """Return the name of the service in the path."""
    name, _, _ = exchange.path.removeprefix(PATH_PREFIX).partition(b'/')
    return name.partition(b'?')[0].decode('latin-1')


def _parse_timeout(exchange: Exchange, service: Service) -> float | Refusal:
    raw = exchange.header(headers.REQUEST_TIMEOUT)
    if raw is None:
        return service.deadline_ms
    if not _TIMEOUT_PATTERN.fullmatch(raw):
        cause = 'Request-Timeout-Ms: expected whole milliseconds'
        return Refusal(RefusalKind.BAD_REQUEST, cause)
    if int(raw) == 0:
        return Refusal(RefusalKind.DEADLINE, 'the deadline has passed')
    return min(int(raw), service.max_deadline_ms)


def _check_size(exchange: Exchange, limits: Limits) -> Refusal | None:
    raw = exchange.header(b'content-length') or '0'
    if not raw.isdigit():
        return Refusal(RefusalKind.BAD_REQUEST, 'Content-Length: not a number')
    if int(raw) > limits.max_body_bytes:
        cause = f'{raw} bytes are over {limits.max_body_bytes}'
        return Refusal(RefusalKind.TOO_LARGE, cause)
    return None


def _request_id(exchange: Exchange) -> str:
    given = exchange.header(headers.REQUEST_ID)
    if given and _REQUEST_ID_PATTERN.fullmatch(given):
        return given
    return secrets.token_hex(8)


def _refuse(kind: RefusalKind, cause: str) -> Result[Request, Refusal]:
    return Error(Refusal(kind, cause))
