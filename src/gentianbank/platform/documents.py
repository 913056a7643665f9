"""Decoding of what the operator and the targets write to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.domain.addresses import is_address
from gentianbank.domain.errors import InvalidDocument
from gentianbank.domain.registration import TargetRegistration
from gentianbank.domain.route_table import CallerLimits
from gentianbank.domain.route_table import Route
from gentianbank.domain.route_table import RouteTable
from gentianbank.domain.route_table import ServicePolicy
from gentianbank.domain.route_table import SplitPart
from gentianbank.domain.route_table import UnusableRoute
from gentianbank.platform import fields
from gentianbank.platform.workspace_documents import decode_workspaces

if TYPE_CHECKING:
    from gentianbank.domain.errors import FieldError
    from gentianbank.platform.fields import Fields

# What the operator writes; nodes may write nothing there.
OPERATOR_PREFIX = 'op/'
CONFIGURATION_KEY = 'op/config'
EVACUATION_PREFIX = 'op/evacuate/'
TARGET_PREFIX = 'servers/'
# Kinds of routes whose requests may run more than once; any other kind, also
# one that is not known, forbids that.
_IDEMPOTENT_KINDS = frozenset(('idempotent', 'download'))
_LARGE_KINDS = frozenset(('download', 'upload'))
_ROUTE_KINDS = _IDEMPOTENT_KINDS | _LARGE_KINDS | {'non_idempotent'}
_TARGET_STATES = frozenset(('ready', 'draining'))
_EVERY_PATH = ''
# Limits on callers that hold if the document has none that can be read.
_DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024
_MAX_SLOTS = 100_000
_MS_PER_S = 1_000


def decode_configuration(data: bytes) -> Result[RouteTable, InvalidDocument]:
    """Decode the operator's configuration.

    A route, service or host that is invalid costs only itself; the table
    names it among its problems.

    Returns
    -------
    Result
        An error if the document as a whole cannot be used: no JSON object,
        no version, or no lists of services and hosts.
    """
    match fields.parse(data, CONFIGURATION_KEY):
        case Result(tag='ok', ok=document):
            pass
        case Result(error=error):
            return Error(error)
    version = document.whole('version')
    raw_services = document.required_objects('services')
    raw_hosts = document.required_objects('virtualHosts')
    if document.errors:
        errors = tuple(document.errors)
        return Error(InvalidDocument(CONFIGURATION_KEY, errors))
    problems: list[FieldError] = []
    services = _decode_services(raw_services, problems)
    hosts = _decode_hosts(raw_hosts, services, problems)
    limits = _decode_limits(document, problems)
    workspaces = decode_workspaces(document, problems)
    return Ok(
        RouteTable(
            version=version,
            hosts=hosts,
            services=services,
            limits=limits,
            workspaces=workspaces,
            problems=tuple(problems),
        )
    )


def decode_target(
    key: str, data: bytes
) -> Result[TargetRegistration, InvalidDocument]:
    """Decode the entry that a target keeps under a key of the store."""
    match fields.parse(data, key):
        case Result(tag='ok', ok=entry):
            pass
        case Result(error=error):
            return Error(error)
    registration = TargetRegistration(
        target_id=key.removeprefix(TARGET_PREFIX),
        service=entry.text('service'),
        address=entry.text('address'),
        failure_domain=entry.text('zone'),
        slots=entry.whole('slots', maximum=_MAX_SLOTS),
        draining=entry.choice('state', _TARGET_STATES) == 'draining',
        cold_left_ms=entry.number('coldLeftMs'),
        born_ms=entry.whole('born', 0),
    )
    # A node does not use these two fields, but an entry without them is
    # invalid.
    entry.text('version')
    entry.whole('sequence')
    if not entry.errors and not is_address(registration.address):
        cause = f'expected IP:port, got {registration.address!r:.60}'
        entry.reject('address', cause)
    if not entry.errors and not registration.slots:
        entry.reject('slots', 'expected at least 1')
    # The id is sent to the target in a header.
    target_id = registration.target_id
    if not (target_id and target_id.isascii() and target_id.isprintable()):
        entry.reject('', 'expected an id of printable ASCII characters')
    if entry.errors:
        return Error(InvalidDocument(key, tuple(entry.errors)))
    return Ok(registration)


def _decode_services(
    raw: list[Fields], problems: list[FieldError]
) -> dict[str, ServicePolicy]:
    services = {}
    for item in raw:
        service = _decode_service(item)
        if not item.errors:
            services[service.name] = service
        problems += item.errors
    return services


def _decode_service(raw: Fields) -> ServicePolicy:
    return ServicePolicy(
        name=raw.text('name'),
        health_path=raw.text('healthPath', '/'),
        max_connections=int(raw.number('maxConns', 100)),
        cold_start_ms=raw.number('coldStartS', 0) * _MS_PER_S,
        cold_per_s=raw.number('coldPerS', 0),
    )


def _decode_hosts(
    raw: list[Fields],
    services: dict[str, ServicePolicy],
    problems: list[FieldError],
) -> dict[str, tuple[Route | UnusableRoute, ...]]:
    routes_by_host: dict[str, list[Route | UnusableRoute]] = {}
    for item in raw:
        host = item.text('host').lower()
        paths = item.objects('paths')
        problems += item.errors
        if not host:
            continue
        routes = routes_by_host.setdefault(host, [])
        if item.errors:
            routes.append(UnusableRoute(_EVERY_PATH))
        for path in paths:
            routes.append(_decode_route(path, services))
            problems += path.errors
    return {
        host: tuple(sorted(routes, key=lambda r: len(r.prefix), reverse=True))
        for host, routes in routes_by_host.items()
    }


def _decode_route(
    raw: Fields, services: dict[str, ServicePolicy]
) -> Route | UnusableRoute:
    """Decode a route.

    If not even its prefix can be read, it stands for every path that no
    other route matches: a 404 would say that there is no such route.
    """
    prefix = raw.text('prefix')
    if not prefix:
        return UnusableRoute(_EVERY_PATH)
    parts = _decode_parts(raw, services)
    kind = raw.text('kind')
    route = Route(
        name=raw.text('name', '-'),
        prefix=prefix,
        idempotent=kind in _IDEMPOTENT_KINDS,
        large=kind in _LARGE_KINDS,
        timeout_ms=raw.number('timeoutMs', 60_000),
        latency_objective_ms=raw.number('targetLatencyMs', 1_000),
        priority=int(raw.number('priority', 0)),
        parts=parts,
        max_attempts=max(1, int(raw.number('maxAttempts', 1))),
        sticky=raw.flag('sticky', default=False),
        home_regions=frozenset(raw.texts('homeRegions')),
        public=raw.flag('public', default=False),
    )
    if raw.errors:
        return UnusableRoute(prefix)
    if kind not in _ROUTE_KINDS:
        raw.reject(
            'kind', f'unknown kind {kind!r:.60}; requests run at most once'
        )
    return route


def _decode_parts(
    raw: Fields, services: dict[str, ServicePolicy]
) -> tuple[SplitPart, ...]:
    """Decode the services of a route and their weights.

    A split with an invalid part is invalid as a whole, since the share of
    that part must not go to the others.
    """
    if not raw.has('trafficSplit'):
        service = raw.text('service')
        if service and service not in services:
            raw.reject('service', f'unknown service {service!r:.60}')
        return (SplitPart(service, 1.0),)
    parts = []
    for item in raw.objects('trafficSplit'):
        part = SplitPart(item.text('service'), item.number('weight'))
        if part.service and part.service not in services:
            item.reject('service', f'unknown service {part.service!r:.60}')
        raw.errors += item.errors
        parts.append(part)
    if not any(part.weight > 0 for part in parts):
        raw.reject('trafficSplit', 'no service has a weight')
    return tuple(parts)


def _decode_limits(
    document: Fields, problems: list[FieldError]
) -> CallerLimits:
    raw = document.nested('limits')
    max_body_bytes = raw.whole('maxBodyBytes', _DEFAULT_MAX_BODY_BYTES)
    # A limit of 0 would refuse every caller, so it counts as not stated.
    idle_timeout_ms = raw.number('idleTimeoutMs', 0) or None
    max_header_bytes = raw.whole('maxHeaderBytes', 0) or None
    header_timeout_ms = raw.number('headerTimeoutMs', 0) or None
    problems += raw.errors
    if raw.errors:
        return CallerLimits(
            max_body_bytes=_DEFAULT_MAX_BODY_BYTES, idle_timeout_ms=None
        )
    return CallerLimits(
        max_body_bytes=max_body_bytes,
        idle_timeout_ms=idle_timeout_ms,
        max_header_bytes=max_header_bytes,
        header_timeout_ms=header_timeout_ms,
    )
