"""Settings of a node with the product's own interface, from YAML."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

from expression import Error
from expression import Result

from gentianbank.domain import documents
from gentianbank.domain import schema
from gentianbank.domain.connection_limits import ConnectionLimits
from gentianbank.domain.errors import FieldError
from gentianbank.domain.errors import InvalidDocument

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True, kw_only=True)
class Addresses:
    """Addresses that the node listens on, each as ``IP:port``."""

    http: str = schema.text(schema.ADDRESS_PATTERN)
    peer: str = schema.text(schema.ADDRESS_PATTERN)
    operators: str = schema.text(schema.ADDRESS_PATTERN)


@dataclass(frozen=True, slots=True, kw_only=True)
class Store:
    """How to reach the key-value store and the list of VMs."""

    url: str = schema.text(schema.URL_PATTERN)
    vm_list_url: str = schema.text(r'https?://\S+')
    timeout_ms: int = schema.integer(10, 60_000, default=1_000)
    key_prefix: str = schema.text(r'[a-z0-9/_-]{1,60}', default='gentianbank')


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits on the resources that the node uses.

    Parameters
    ----------
    max_requests
        Requests in flight in the node; more are refused as overload.
    max_retained_answer_bytes
        Largest body kept with the outcome of a request, to answer a retry.
    """

    max_requests: int = schema.integer(1, 1_000_000, default=2_000)
    max_retained_answer_bytes: int = schema.integer(
        0, 16_000_000, default=65_536
    )
    max_body_bytes: int = schema.integer(
        1, 1_000_000_000_000, default=8_000_000_000
    )
    connect_timeout_ms: int = schema.integer(1, 60_000, default=500)


@dataclass(frozen=True, slots=True, kw_only=True)
class Logging:
    """How the node logs.

    Parameters
    ----------
    request_lines_per_s
        Limit on the lines about requests that are written in any second, on
        the platform's interface. At most half of them are samples of
        answered requests.
    """

    json: bool = schema.flag(default=False)
    level: str = schema.text(
        choices=('debug', 'info', 'warning', 'error'), default='info'
    )
    requests: bool = schema.flag(default=False)
    request_lines_per_s: int = schema.integer(0, 100_000, default=200)


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Settings of one node with the product's own interface.

    Parameters
    ----------
    vm
        Name of the VM.
    fleet_key
        Secret with which nodes authenticate each other.
    seeds
        Addresses of other nodes to contact while this node is connected to
        none.
    balancer
        Registered name of the load balancing algorithm.
    recorder_path
        File that the decision on each request is appended to; empty for
        none.
    """

    vm: str = schema.name()
    region: str = schema.name()
    failure_domain: str = schema.name()
    addresses: Addresses = schema.nested(Addresses)
    store: Store = schema.nested(Store)
    fleet_key: str = schema.text(r'[!-~]{16,200}')
    seeds: tuple[str, ...] = schema.sequence(
        str, schema.ADDRESS_PATTERN, default=()
    )
    balancer: str = schema.name(default='power-of-two')
    limits: Limits = schema.nested(Limits, default=Limits())
    logging: Logging = schema.nested(Logging, default=Logging())
    recorder_path: str = schema.text(r'.{0,400}', default='')
    caller_limits: ConnectionLimits = schema.nested(
        ConnectionLimits, default=ConnectionLimits()
    )


def read_document(path: Path) -> Result[Any, InvalidDocument]:
    """Load a settings file as a plain document, unchecked."""
    try:
        data = path.read_bytes()
    except OSError as error:
        cause = FieldError('(file)', error.strerror or str(error))
        return Error(InvalidDocument(str(path), (cause,)))
    return documents.load_yaml(data, str(path))


def load_settings(path: Path) -> Result[Settings, InvalidDocument]:
    """Read and check a settings file of the product's own interface."""
    return read_document(path).bind(
        lambda raw: schema.read(Settings, raw, str(path))
    )
