"""Settings of one daemon, read from its YAML file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

from expression import Error
from expression import Result

from gentianbank.domain import documents
from gentianbank.domain import schema
from gentianbank.domain.errors import FieldError
from gentianbank.domain.errors import InvalidDocument

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True, kw_only=True)
class Addresses:
    """Where the daemon listens, each as ``IP:port``."""

    http: str = schema.text(schema.ADDRESS_PATTERN)
    peer: str = schema.text(schema.ADDRESS_PATTERN)
    operators: str = schema.text(schema.ADDRESS_PATTERN)


@dataclass(frozen=True, slots=True, kw_only=True)
class Store:
    """The platform's key-value store and list of VMs."""

    url: str = schema.text(schema.URL_PATTERN)
    vm_list_url: str = schema.text(r'https?://\S+')
    timeout_ms: int = schema.integer(10, 60_000, default=1_000)
    key_prefix: str = schema.text(r'[a-z0-9/_-]{1,60}', default='gentianbank')


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits of the daemon's own resources."""

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
    """How the daemon logs.

    Parameters
    ----------
    request_lines_per_s
        Lines of requests that are written in any second, on the users'
        platform; half of them may be samples of what went well.
    """

    json: bool = schema.flag(default=False)
    level: str = schema.text(
        choices=('debug', 'info', 'warning', 'error'), default='info'
    )
    requests: bool = schema.flag(default=False)
    request_lines_per_s: int = schema.integer(0, 100_000, default=200)


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Settings of one daemon.

    Parameters
    ----------
    vm
        Name of the VM.
    fleet_key
        Secret that nodes prove to each other.
    seeds
        Peer addresses that are asked while the platform is out.
    balancer
        Registered name of the target choice.
    recorder_path
        File for traces of decisions; empty for none.
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


def read_document(path: Path) -> Result[Any, InvalidDocument]:
    """Read the plain document of a settings file."""
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
