"""Decoding of what the operator and the targets write to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.domain.errors import FieldError
from gentianbank.domain.errors import InvalidDocument
from gentianbank.domain.registration import TargetRegistration
from gentianbank.domain.route_table import CallerLimits
from gentianbank.domain.route_table import Route
from gentianbank.domain.route_table import RouteTable
from gentianbank.domain.route_table import ServicePolicy
from gentianbank.domain.route_table import SplitPart
from gentianbank.platform import fields

if TYPE_CHECKING:
    from gentianbank.platform.fields import Fields

CONFIGURATION_KEY = 'op/config'
EVACUATION_PREFIX = 'op/evacuate/'
TARGET_PREFIX = 'servers/'
_ROUTE_KINDS = frozenset(('idempotent', 'non_idempotent', 'download'))
_TARGET_STATES = frozenset(('ready', 'draining'))
_MS_PER_S = 1_000


def decode_configuration(data: bytes) -> Result[RouteTable, InvalidDocument]:
    """Decode the operator's configuration."""
    errors: list[FieldError] = []
    match fields.parse(data, CONFIGURATION_KEY, errors):
        case Result(tag='ok', ok=document):
            pass
        case Result(error=error):
            return Error(error)
    services = {
        service.name: service
        for service in map(_decode_service, document.objects('services'))
    }
    hosts: dict[str, tuple[Route, ...]] = {}
    for host in document.objects('virtualHosts'):
        routes = [_decode_route(item) for item in host.objects('paths')]
        routes.sort(key=lambda route: len(route.prefix), reverse=True)
        hosts[host.text('host').lower()] = tuple(routes)
    limits = document.nested('limits')
    table = RouteTable(
        version=document.whole('version'),
        hosts=hosts,
        services=services,
        limits=CallerLimits(
            max_body_bytes=int(limits.number('maxBodyBytes')),
            idle_timeout_ms=limits.number('idleTimeoutMs'),
        ),
    )
    _check_traffic_splits(table, errors)
    if errors:
        return Error(InvalidDocument(CONFIGURATION_KEY, tuple(errors)))
    return Ok(table)


def decode_target(
    key: str, data: bytes
) -> Result[TargetRegistration, InvalidDocument]:
    """Decode the entry that a target keeps under a key of the store."""
    errors: list[FieldError] = []
    match fields.parse(data, key, errors):
        case Result(tag='ok', ok=entry):
            pass
        case Result(error=error):
            return Error(error)
    registration = TargetRegistration(
        target_id=key.removeprefix(TARGET_PREFIX),
        service=entry.text('service'),
        address=entry.text('address'),
        failure_domain=entry.text('zone'),
        slots=entry.whole('slots'),
        draining=entry.choice('state', _TARGET_STATES) == 'draining',
        cold_left_ms=entry.number('coldLeftMs'),
        born_ms=entry.whole('born', 0),
    )
    # A node does not use these two fields, but an entry without them is
    # invalid.
    entry.text('version')
    entry.whole('sequence')
    host, separator, port = registration.address.rpartition(':')
    if not errors and not (host and separator and port.isdecimal()):
        cause = f'expected IP:port, got {registration.address!r:.60}'
        errors.append(FieldError('address', cause))
    if not errors and not registration.slots:
        errors.append(FieldError('slots', 'expected at least 1'))
    if errors:
        return Error(InvalidDocument(key, tuple(errors)))
    return Ok(registration)


def _decode_service(raw: Fields) -> ServicePolicy:
    return ServicePolicy(
        name=raw.text('name'),
        health_path=raw.text('healthPath', '/'),
        max_connections=int(raw.number('maxConns', 100)),
        cold_start_ms=raw.number('coldStartS', 0) * _MS_PER_S,
        cold_per_s=raw.number('coldPerS', 0),
    )


def _decode_route(raw: Fields) -> Route:
    kind = raw.choice('kind', _ROUTE_KINDS)
    if raw.has('trafficSplit'):
        parts = tuple(
            SplitPart(part.text('service'), part.number('weight'))
            for part in raw.objects('trafficSplit')
        )
    else:
        parts = (SplitPart(raw.text('service'), 1.0),)
    return Route(
        name=raw.text('name', '-'),
        prefix=raw.text('prefix'),
        idempotent=kind != 'non_idempotent',
        large=kind == 'download',
        timeout_ms=raw.number('timeoutMs', 60_000),
        latency_objective_ms=raw.number('targetLatencyMs', 1_000),
        priority=int(raw.number('priority', 0)),
        parts=parts,
        max_attempts=max(1, int(raw.number('maxAttempts', 1))),
        sticky=raw.flag('sticky', default=False),
        home_regions=frozenset(raw.texts('homeRegions')),
    )


def _check_traffic_splits(table: RouteTable, errors: list[FieldError]) -> None:
    for host, routes in table.hosts.items():
        for route in routes:
            path = f'{host}{route.prefix}'
            if not any(part.weight > 0 for part in route.parts):
                errors.append(FieldError(path, 'no service has a weight'))
            for part in route.parts:
                if part.service not in table.services:
                    cause = f'unknown service {part.service!r:.60}'
                    errors.append(FieldError(path, cause))
