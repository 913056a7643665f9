"""Tests of the decoding of the platform's documents."""

from __future__ import annotations

import json
from typing import Any

from expression import Result
import pytest

from gentianbank.domain.registration import TargetRegistration
from gentianbank.domain.route_table import CallerLimits
from gentianbank.domain.route_table import Route
from gentianbank.domain.route_table import RouteTable
from gentianbank.domain.route_table import UnusableRoute
from gentianbank.platform.documents import decode_configuration
from gentianbank.platform.documents import decode_target

ENTRY: dict[str, Any] = {
    'service': 'desk',
    'address': '10.128.0.9:8080',
    'zone': 'east-1',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'coldLeftMs': 250,
    'sequence': 4,
    'born': 1_784_286_382_838,
    'unknown': [],
}
CONFIGURATION: dict[str, Any] = {
    'version': 7,
    'services': [
        {
            'name': 'desk',
            'healthPath': '/health',
            'maxConns': 330,
            'protocol': 'h1',
            'coldStartS': 3.0,
            'coldPerS': 7.0,
        }
    ],
    'limits': {
        'maxHeaderBytes': 16_384,
        'maxBodyBytes': 67_108_864,
        'headerTimeoutMs': 3_000,
        'idleTimeoutMs': 15_000,
    },
    'virtualHosts': [
        {
            'host': 'Shop.example',
            'paths': [
                {
                    'name': 'short',
                    'prefix': '/a/',
                    'kind': 'idempotent',
                    'service': 'desk',
                },
                {
                    'name': 'long',
                    'prefix': '/a/b/',
                    'kind': 'non_idempotent',
                    'timeoutMs': 2_000,
                    'targetLatencyMs': 600,
                    'priority': 1,
                    'maxAttempts': 2,
                    'sticky': True,
                    'homeRegions': ['east'],
                    'trafficSplit': [{'service': 'desk', 'weight': 90}],
                },
            ],
        }
    ],
}


def decode_entry(**changes: Any) -> TargetRegistration | str:
    data = json.dumps(ENTRY | changes).encode()
    match decode_target('servers/i-1', data):
        case Result(tag='ok', ok=entry):
            return entry
        case Result(error=error):
            return str(error)


def decode_table(**changes: Any) -> RouteTable | str:
    match decode_configuration(json.dumps(CONFIGURATION | changes).encode()):
        case Result(tag='ok', ok=table):
            return table
        case Result(error=error):
            return str(error)


def test_target_entry_is_decoded() -> None:
    entry = decode_entry()
    assert isinstance(entry, TargetRegistration)
    assert entry.target_id == 'i-1'
    assert entry.failure_domain == 'east-1'
    assert (entry.slots, entry.cold_left_ms) == (6, 250)
    assert entry.born_ms == ENTRY['born']
    assert not entry.draining


def test_limits_of_callers_are_decoded() -> None:
    table = decode_table()
    assert isinstance(table, RouteTable)
    assert table.limits == CallerLimits(
        max_body_bytes=67_108_864,
        idle_timeout_ms=15_000,
        max_header_bytes=16_384,
        header_timeout_ms=3_000,
    )


@pytest.mark.parametrize('limits', [{}, {'maxHeaderBytes': 0}])
def test_limits_that_are_not_stated_are_left_to_the_settings(
    limits: dict[str, Any],
) -> None:
    # A limit of 0 would refuse every caller.
    table = decode_table(limits=limits)
    assert isinstance(table, RouteTable)
    assert table.limits.max_header_bytes is None
    assert table.limits.header_timeout_ms is None
    assert table.limits.idle_timeout_ms is None


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('state', 'asleep'),
        ('state', None),
        ('slots', '6'),
        ('slots', 0),
        ('slots', 1.5),
        ('slots', True),
        ('address', 'nowhere'),
        ('address', 'host.example:80'),
        ('address', '10.128.0.9:65536'),
        ('address', '10.128.0.9:' + '9' * 5_000),
        ('slots', 10**400),
        ('coldLeftMs', float('inf')),
        ('coldLeftMs', float('nan')),
        ('service', 'desk\ud800'),
        ('service', ''),
        ('coldLeftMs', -1),
        ('coldLeftMs', 'soon'),
        ('sequence', None),
        ('version', 1),
        ('born', 1.5),
        ('zone', ['east-1']),
    ],
)
def test_target_entry_with_a_wrong_field_names_it(
    field: str, value: Any
) -> None:
    error = decode_entry(**{field: value})
    assert isinstance(error, str)
    assert f'servers/i-1: {field}: ' in error


@pytest.mark.parametrize('data', [b'', b'\xff\x00', b'[]', b'{', b'[' * 9999])
def test_unreadable_entry_is_refused(data: bytes) -> None:
    assert decode_target('servers/i-1', data).is_error()


def test_configuration_is_decoded() -> None:
    table = decode_table()
    assert isinstance(table, RouteTable)
    assert table.version == 7
    assert not table.problems
    route = table.find('shop.example', '/a/b/c')
    assert isinstance(route, Route)
    assert (route.name, route.idempotent) == ('long', False)
    assert route.home_regions == {'east'}
    other = table.find('shop.example', '/a/c')
    assert isinstance(other, Route)
    assert other.name == 'short'
    assert table.find('shop.example', '/c/') is None
    assert table.find('else.example', '/a/') is None


@pytest.mark.parametrize('key', ['servers/a\r\nb', 'servers/\u0430'])
def test_target_with_an_id_that_fits_no_header_is_refused(key: str) -> None:
    assert decode_target(key, json.dumps(ENTRY).encode()).is_error()


@pytest.mark.parametrize(
    ('changes', 'cause'),
    [
        ({'version': '7'}, 'version: expected a whole number'),
        ({'version': 10**400}, 'version: expected a whole number'),
        ({'services': None}, 'services: expected a list'),
        ({'virtualHosts': 'all'}, 'virtualHosts: expected a list'),
    ],
)
def test_configuration_that_is_useless_names_the_field(
    changes: dict[str, Any], cause: str
) -> None:
    error = decode_table(**changes)
    assert isinstance(error, str)
    assert cause in error


@pytest.mark.parametrize(
    ('changes', 'cause'),
    [
        ({'services': []}, "paths[0].service: unknown service 'desk'"),
        ({'services': [{'name': 1}]}, 'services[0].name: expected text'),
        ({'limits': None}, 'limits: expected an object'),
        (
            {'virtualHosts': [{'paths': []}]},
            'virtualHosts[0].host: expected text',
        ),
        (
            {'virtualHosts': [{'host': 'h', 'paths': [{}]}]},
            'virtualHosts[0].paths[0].prefix: expected text',
        ),
    ],
)
def test_invalid_part_of_a_configuration_is_named(
    changes: dict[str, Any], cause: str
) -> None:
    table = decode_table(**changes)
    assert isinstance(table, RouteTable)
    assert cause in '\n'.join(map(str, table.problems))


def decode_with_path(**changes: Any) -> RouteTable:
    """Return a configuration whose second route has changed fields."""
    short, long = CONFIGURATION['virtualHosts'][0]['paths']
    hosts = [{'host': 'h', 'paths': [short, long | changes]}]
    table = decode_table(virtualHosts=hosts)
    assert isinstance(table, RouteTable)
    return table


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('timeoutMs', 'long'),
        ('timeoutMs', float('inf')),
        ('priority', 1e400),
        ('maxAttempts', -1),
        ('sticky', 1),
        ('homeRegions', [None]),
        ('kind', 7),
        ('trafficSplit', [{'service': 'desk', 'weight': 0}]),
        ('trafficSplit', [{'service': 'desk', 'weight': -1}]),
        ('trafficSplit', [{'service': 'desk', 'weight': 'much'}]),
        ('trafficSplit', [{'service': 'else', 'weight': 1}]),
        ('trafficSplit', 'desk'),
    ],
)
def test_invalid_route_costs_itself_only(field: str, value: Any) -> None:
    table = decode_with_path(**{field: value})
    # Its requests are not for the route with the shorter prefix either.
    assert table.find('h', '/a/b/c') == UnusableRoute('/a/b/')
    other = table.find('h', '/a/c')
    assert isinstance(other, Route)
    assert other.name == 'short'
    assert f'paths[1].{field}' in str(table.problems[0])


def test_unknown_kind_of_route_runs_at_most_once() -> None:
    table = decode_with_path(kind='replayable')
    route = table.find('h', '/a/b/c')
    assert isinstance(route, Route)
    assert not route.idempotent
    assert "paths[1].kind: unknown kind 'replayable'" in str(table.problems[0])


@pytest.mark.parametrize(
    ('kind', 'idempotent', 'large', 'label'),
    [
        ('idempotent', True, False, 'idempotent'),
        ('non_idempotent', False, False, 'once'),
        ('download', True, True, 'large'),
        ('upload', False, True, 'upload'),
    ],
)
def test_kind_of_route_says_what_may_run_again(
    kind: str, idempotent: bool, large: bool, label: str
) -> None:
    table = decode_with_path(kind=kind)
    route = table.find('h', '/a/b/c')
    assert isinstance(route, Route)
    assert (route.idempotent, route.large) == (idempotent, large)
    assert route.kind == label
    assert not table.problems


@pytest.mark.parametrize('paths', ['all', [{'kind': 'idempotent'}]])
def test_host_whose_routes_cannot_be_read_is_not_without_them(
    paths: Any,
) -> None:
    table = decode_table(virtualHosts=[{'host': 'h', 'paths': paths}])
    assert isinstance(table, RouteTable)
    assert isinstance(table.find('h', '/a/'), UnusableRoute)
    assert table.find('else', '/a/') is None


def test_host_that_is_named_twice_keeps_all_its_routes() -> None:
    short, long = CONFIGURATION['virtualHosts'][0]['paths']
    hosts = [{'host': 'h', 'paths': [path]} for path in (short, long)]
    table = decode_table(virtualHosts=hosts)
    assert isinstance(table, RouteTable)
    assert isinstance(table.find('h', '/a/b/'), Route)
    found = table.find('h', '/a/c')
    assert isinstance(found, Route)
    assert found.name == 'short'
