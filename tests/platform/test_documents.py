"""Tests of the decoding of the platform's documents."""

from __future__ import annotations

import json
from typing import Any

from expression import Result
import pytest

from gentianbank.domain.registration import TargetRegistration
from gentianbank.domain.route_table import RouteTable
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
    route = table.find('shop.example', '/a/b/c')
    assert route is not None
    assert (route.name, route.idempotent) == ('long', False)
    assert route.home_regions == {'east'}
    other = table.find('shop.example', '/a/c')
    assert other is not None
    assert other.name == 'short'
    assert table.find('shop.example', '/c/') is None
    assert table.find('else.example', '/a/') is None


@pytest.mark.parametrize(
    ('changes', 'cause'),
    [
        ({'version': '7'}, 'version: expected a whole number'),
        ({'services': []}, "unknown service 'desk'"),
        ({'limits': None}, 'limits: expected an object'),
        (
            {'virtualHosts': [{'paths': []}]},
            'virtualHosts[0].host: expected text',
        ),
    ],
)
def test_wrong_configuration_names_the_field(
    changes: dict[str, Any], cause: str
) -> None:
    error = decode_table(**changes)
    assert isinstance(error, str)
    assert cause in error


@pytest.mark.parametrize('weight', [0, -1, 'much'])
def test_split_without_weight_is_refused(weight: Any) -> None:
    split = [{'service': 'desk', 'weight': weight}]
    path = CONFIGURATION['virtualHosts'][0]['paths'][1]
    hosts = [{'host': 'h', 'paths': [path | {'trafficSplit': split}]}]
    assert isinstance(decode_table(virtualHosts=hosts), str)
