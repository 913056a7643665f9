"""Tests of the composition root of a node for the platform."""

from __future__ import annotations

from pathlib import Path
import re
import subprocess
import sys
from typing import Any

from expression import Result
import pytest
import yaml

from gentianbank.domain import schema
from gentianbank.domain.steering_settings import SteeringSettings

ROOT = Path(__file__).parents[2]
SOURCES = ROOT / 'src' / 'gentianbank'
LARGE_LIBRARIES = ('grpc', 'litestar', 'httpx', 'opentelemetry', 'websockets')
SETTINGS: dict[str, Any] = {
    'vm': 'front-1',
    'region': 'east',
    'failure_domain': 'east-1',
    'regions': {'east-1': 'east'},
    'addresses': {
        'callers': '10.0.0.1:1',
        'readiness': '10.0.0.1:2',
        'lookups': '10.0.0.1:3',
        'peers': '10.0.0.1:4',
    },
    'store': {'address': '10.0.0.9:1'},
}
# Names of the platform's interface; only the ``platform`` package uses them.
PLATFORM_NAMES = re.compile(
    r'kv-|Expect-Instance|Not-Executed|Server-Load|Server-Stamp|'
    r'virtualHosts|trafficSplit|targetLatency|coldLeftMs|op/config|'
    r'servers/|currentRev|expectedRev|allowStale|Affinity-Key',
    re.IGNORECASE,
)


def test_platform_node_imports_no_library_that_it_does_not_need() -> None:
    code = (
        'import sys, gentianbank.daemon, gentianbank.nodes.steering;'
        f'print([m for m in {LARGE_LIBRARIES!r} if m in sys.modules],'
        "[m for m in sys.modules if 'client_map' in m or '.rpc' in m])"
    )
    done = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout == '[] []\n'


def test_platform_names_occur_in_the_platform_package_only() -> None:
    found = [
        f'{path.relative_to(SOURCES)}: {match[0]}'
        for path in SOURCES.rglob('*.py')
        if 'platform' not in path.parts
        for match in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert found == []


@pytest.mark.parametrize(
    ('changes', 'field'),
    [
        ({'vm': 7}, 'vm'),
        ({'store': {}}, 'store.address'),
        ({'store': {'address': 'x', 'lease_s': 1}}, 'store.lease_s'),
        ({'bounds': {'retry_ratio': 'much'}}, 'bounds.retry_ratio'),
        ({'regions': ['east']}, 'regions'),
    ],
)
def test_wrong_settings_name_the_field(
    changes: dict[str, Any], field: str
) -> None:
    match schema.read(SteeringSettings, SETTINGS | changes, 'settings'):
        case Result(tag='error', error=error):
            assert f'settings: {field}: ' in str(error)
        case _:
            raise AssertionError('accepted')


def test_template_has_only_fields_of_the_settings() -> None:
    template = (ROOT / 'deploy' / 'settings.yaml.in').read_text()
    text = re.sub(r'\{\{[#/][^}]*\}\}', '', template)
    raw = yaml.safe_load(
        re.sub(r'"?\{\{[^}]*\}\}(:\{\{[^}]*\}\}")?', '1', text)
    )
    assert raw.pop('interface') == 'platform'
    match schema.read(SteeringSettings, raw, 'template'):
        case Result(tag='error', error=error):
            causes = [fault.cause for fault in error.errors]
            assert not [c for c in causes if 'unknown' in c or c == 'missing']


@pytest.mark.parametrize(
    ('text', 'cause'),
    [
        ('interface: other', "interface: 'other' is none of own, platform"),
        ('interface: platform', 'vm: missing'),
        ('[', 'line 1'),
    ],
)
def test_daemon_refuses_wrong_settings(
    tmp_path: Path, text: str, cause: str
) -> None:
    path = tmp_path / 'settings.yaml'
    path.write_text(text)
    done = subprocess.run(
        [sys.executable, '-m', 'gentianbank.daemon', f'--settings={path}'],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert cause in done.stderr


def test_log_messages_are_constant() -> None:
    call = re.compile(r"logging\.(?:info|warning|error)\(\s*(f'|'[^']*%)")
    found = [
        f'{path.relative_to(SOURCES)}: {match[0]}'
        for folder in ('steering', 'telemetry')
        for path in (SOURCES / folder).rglob('*.py')
        for match in call.finditer(path.read_text())
    ]
    assert found == []
