"""Real daemons under bad input: clear answers, and the nodes live on."""

from __future__ import annotations

import copy
import json
from typing import Any
from typing import TYPE_CHECKING

import httpx
import pytest
import yaml

from gentianbank.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from gentianbank_standins.fleet import Fleet

VM = 'kingston-1'
UPLOAD_BYTES = 2_000_000


@pytest.fixture
def base(fleet: Fleet) -> str:
    return f'http://{fleet.nodes[VM].http}/services'


def test_requests_get_typed_answers(fleet: Fleet, base: str) -> None:
    stock = f'{base}/ordering/stock/1?token=t'
    table: list[tuple[str, str, dict[str, str], int, str]] = [
        ('GET', f'{base}/nothing/x', {}, 404, 'unknown-service'),
        ('GET', stock, {'request-timeout-ms': '0'}, 504, 'deadline-too-short'),
        ('GET', stock, {'request-timeout-ms': '-5'}, 400, 'bad-request'),
        ('GET', stock, {'request-timeout-ms': '9' * 30}, 400, 'bad-request'),
        ('POST', stock, {'idempotency-key': 'a' * 300}, 400, 'bad-request'),
        ('POST', stock, {'idempotency-key': ''}, 400, 'bad-request'),
    ]
    for method, url, headers, status, kind in table:
        answer = httpx.request(method, url, headers=headers, timeout=5)
        document = answer.json()
        assert answer.status_code == status, (headers, document)
        assert document['type'] == f'urn:gentianbank:refusal:{kind}'
        assert document['outcome'] == 'not-run'
    assert httpx.get(stock, timeout=5).status_code == 200


def test_bodies_pass_in_every_framing(fleet: Fleet, base: str) -> None:
    url = f'{base}/ordering/orders?token=t'

    def chunked() -> Iterator[bytes]:
        for _ in range(UPLOAD_BYTES // 50_000):
            yield b'z' * 50_000

    bodies: list[Any] = [b'', b'small', b'z' * UPLOAD_BYTES, chunked()]
    for body in bodies:
        answer = httpx.post(url, content=body, timeout=30)
        assert answer.status_code == 200, answer.text
        assert answer.json()['token'] == 't'
    journal = fleet.journal()['executions']
    sizes = sorted(len(key.partition(' ')[2]) for key in journal)
    assert sizes == [0, 5, UPLOAD_BYTES, UPLOAD_BYTES]


def test_key_for_another_request_is_refused(base: str) -> None:
    url = f'{base}/ordering/orders?token=t'
    key = {'idempotency-key': 'mine'}
    first = httpx.post(url, content=b'one', headers=key, timeout=5)
    other = httpx.post(url, content=b'two', headers=key, timeout=5)
    again = httpx.post(url, content=b'one', headers=key, timeout=5)
    assert first.content == again.content
    assert other.json()['type'].endswith('key-reused')


def test_cut_answer_of_a_target_is_not_passed_as_whole(
    fleet: Fleet, base: str
) -> None:
    for place in fleet.configuration['services']['documents']['places']:
        for target in place['targets']:
            fleet.set_target_faults(target['name'], truncate_fraction=1.0)
    with (
        pytest.raises(httpx.RemoteProtocolError),
        httpx.stream(
            'GET', f'{base}/documents/drawings/500000?token=t', timeout=10
        ) as answer,
    ):
        answer.read()


def test_command_line_names_field_and_cause(
    fleet: Fleet, tmp_path: Path
) -> None:
    path = tmp_path / 'bad.yaml'
    cases: list[tuple[str, str]] = [
        ('lookups: {cache_ms: 5}\nregions: {}\n', 'lookups.cache_ms: 5 is'),
        ('a: 1\na: 2\n', "line 2: duplicate or complex key 'a'"),
        ('[]', 'expected a mapping'),
    ]
    for text, expected in cases:
        path.write_text(text)
        refused = fleet.command('apply', str(path))
        assert refused.returncode == ExitCode.BAD_INPUT
        assert expected in refused.stderr, refused.stderr
    path.write_text(yaml.safe_dump(fleet.configuration))
    same = fleet.command('diff', str(path))
    assert same.returncode == ExitCode.OK, same.stdout + same.stderr
    stale = fleet.command('apply', str(path), '--base_revision=0')
    assert stale.returncode == ExitCode.CONFLICT
    assert 'the current one is 1' in stale.stderr
    unreachable = fleet.command_at('127.0.0.1:1', 'status')
    assert unreachable.returncode == ExitCode.UNREACHABLE
    missing = fleet.command('explain', 'no-such-request', node=VM)
    assert missing.returncode == ExitCode.NOT_FOUND


def test_value_over_the_limit_is_refused(fleet: Fleet, tmp_path: Path) -> None:
    configuration = copy.deepcopy(fleet.configuration)
    place = configuration['services']['ordering']['places'][0]
    place['targets'] = [
        {**place['targets'][0], 'name': f'many-{number}'}
        for number in range(9_000)
    ]
    path = tmp_path / 'large.yaml'
    path.write_text(json.dumps(configuration))
    refused = fleet.command('apply', str(path), node=VM)
    assert refused.returncode == ExitCode.BAD_INPUT
    assert 'over the limit of 1000000 bytes' in refused.stderr
    assert fleet.revision_of(VM) == 1
