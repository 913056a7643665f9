"""Keys in requests and in the configuration."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

from expression import Result
import pytest

from gentianbank.domain.workspaces import Workspace
from gentianbank.platform.credentials import digest_key
from gentianbank.platform.credentials import NoKey
from gentianbank.platform.credentials import read_key
from gentianbank.platform.credentials import without_keys
from gentianbank.platform.documents import decode_configuration

if TYPE_CHECKING:
    from gentianbank.domain.route_table import RouteTable

KEY = 'a9rgy35ieispuxsr7i42'
ODD = [
    None,
    7,
    'lab',
    {'name': 'lab', 'apiKeys': KEY},
    {'name': 'lab', 'apiKeys': [KEY, 5]},
    {'name': 'lab', 'apiKeys': [{'secret': KEY}]},
    {'name': 7, 'apiKeys': [KEY]},
    {'name': 'lab', 'apiKeys': [KEY], 'homeRegions': 'east'},
    {'name': 'lab', 'apiKeys': [KEY], 'ratePerS': -1},
    {'name': 'lab', 'apiKeys': [KEY], 'burst': 'many'},
    {'name': 'lab\r\nx: y', 'apiKeys': [KEY]},
]


def test_key_is_read() -> None:
    headers = [(b'Authorization', f'Token {KEY}'.encode())]
    assert read_key(headers) == digest_key(KEY.encode())


@pytest.mark.parametrize(
    'values',
    [
        [],
        [b''],
        [b'Token'],
        [b'Token  '],
        [b'Bearer ' + KEY.encode()],
        [KEY.encode()],
        [b'Token ' + b'x' * 100_000],
        [b'Token ' + KEY.encode()] * 2,
    ],
)
def test_unreadable_key_is_none(values: list[bytes]) -> None:
    headers = [(b'authorization', value) for value in values]
    assert read_key(headers) == NoKey()


def test_workspace_is_decoded() -> None:
    workspace = {
        'name': 'lab',
        'apiKeys': [KEY, 'second'],
        'priority': 2,
        'ratePerS': 5,
        'burst': 10,
        'homeRegions': ['east'],
    }
    table = _decode([workspace])
    assert table.workspaces is not None
    assert table.workspaces.by_key[digest_key(b'second')] == Workspace(
        name='lab',
        priority=2,
        rate_per_s=5,
        burst=10,
        home_regions=frozenset({'east'}),
    )
    assert not table.problems


def test_configuration_without_workspaces_has_none() -> None:
    assert _decode(None).workspaces is None


def test_key_of_two_workspaces_belongs_to_none() -> None:
    table = _decode(
        [{'name': 'a', 'apiKeys': [KEY, 'x']}, {'name': 'b', 'apiKeys': [KEY]}]
    )
    assert table.workspaces is not None
    assert table.workspaces.by_key[digest_key(KEY.encode())] is None
    assert table.workspaces.by_key[digest_key(b'x')] is not None
    assert table.problems


@pytest.mark.parametrize('odd', ODD)
def test_odd_workspace_costs_only_itself(odd: Any) -> None:
    table = _decode([odd, {'name': 'good', 'apiKeys': ['good']}])
    assert table.workspaces is not None
    good = table.workspaces.by_key[digest_key(b'good')]
    assert good is not None and good.is_usable
    assert table.problems


def test_workspace_with_unreadable_homes_is_not_usable() -> None:
    # Its requests might be served where they must not be.
    odd = {'name': 'lab', 'apiKeys': [KEY], 'homeRegions': 7}
    workspaces = _decode([odd]).workspaces
    assert workspaces is not None
    workspace = workspaces.by_key[digest_key(KEY.encode())]
    assert workspace is not None and not workspace.is_usable


@pytest.mark.parametrize('odd', [*ODD, [KEY], {'apiKeys': {KEY: KEY}}])
def test_no_copy_and_no_error_shows_a_key(odd: Any) -> None:
    data = _document([odd])
    redacted = without_keys(data)
    assert KEY.encode() not in redacted
    for copy in (data, redacted):
        match decode_configuration(copy):
            case Result(tag='ok', ok=table):
                assert KEY not in str(table.problems)


@pytest.mark.parametrize(
    'workspaces', [{'lab': {'apiKeys': [KEY]}}, f'apiKeys {KEY}', 7]
)
def test_unreadable_workspaces_lose_their_keys_but_stay_known(
    workspaces: Any,
) -> None:
    # Without any workspace known, no key would be asked for.
    redacted = without_keys(_document(workspaces))
    assert KEY.encode() not in redacted
    table = _decode_data(redacted).workspaces
    assert table is not None
    assert not table.has_all_keys


def test_escaped_field_name_hides_no_key() -> None:
    data = _document([{'name': 'a', 'apiKeys': [KEY]}])
    escaped = data.replace(b'apiKeys', b'api\\u004beys')
    redacted = without_keys(escaped)
    assert KEY.encode() not in redacted
    assert _decode_data(redacted).workspaces == _decode_data(data).workspaces


def test_document_that_cannot_be_written_again_is_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Else a deeply nested document would fail the whole listing.
    def fail(_: Any) -> str:
        raise RecursionError

    monkeypatch.setattr(json, 'dumps', fail)
    assert without_keys(b'{"tenants": [{"apiKeys": ["x"]}]}') == b''


def test_configuration_cut_short_loses_its_keys() -> None:
    assert without_keys(_document([{'apiKeys': [KEY]}])[:-3]) == b''


def test_redacted_configuration_knows_the_same_keys() -> None:
    data = _document([{'name': 'a', 'apiKeys': [KEY]}])
    match decode_configuration(without_keys(data)):
        case Result(tag='ok', ok=table):
            assert table.workspaces == _decode_data(data).workspaces


def _document(workspaces: Any) -> bytes:
    document: dict[str, Any] = {
        'version': 1,
        'services': [],
        'virtualHosts': [],
        'limits': {},
    }
    if workspaces is not None:
        document['tenants'] = workspaces
    return json.dumps(document).encode()


def _decode(workspaces: Any) -> RouteTable:
    return _decode_data(_document(workspaces))


def _decode_data(data: bytes) -> RouteTable:
    match decode_configuration(data):
        case Result(tag='ok', ok=table):
            return table
    raise AssertionError('the configuration was refused')
