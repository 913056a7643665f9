"""Property tests: no document of the store stops or misleads a node."""

from __future__ import annotations

import copy
import json
from typing import Any

from expression import Result
from hypothesis import given
from hypothesis import strategies as st
import pytest

from gentianbank.domain.registration import MemberRegistration
from gentianbank.domain.registration import NodeRegistration
from gentianbank.domain.route_table import Route
from gentianbank.domain.route_table import RouteTable
from gentianbank.platform import keyspace
from gentianbank.policy.weighted_round_robin import WeightedRoundRobin
from gentianbank.storage.store import StoredValue
from tests.platform.test_documents import CONFIGURATION
from tests.platform.test_documents import ENTRY
from tests.support.machines import machine_settings

EXAMPLES = 500
NODE = {
    'vm': 'vm-1',
    'region': 'east',
    'failure_domain': 'east-1',
    'callers': '10.0.0.1:1',
    'peers': '10.0.0.1:2',
}
DOCUMENTS: dict[str, Any] = {
    'op/config': CONFIGURATION,
    'servers/i-1': ENTRY,
    'nodes/vm-1': NODE,
    'members/vm-1': {'vm': 'vm-1', 'region': 'east'},
}
DEPTH = 100_000
Steps = tuple[str | int, ...]


def nest(depth: int) -> Any:
    value: Any = 0
    for _ in range(depth):
        value = [value]
    return value


JUNK: tuple[Any, ...] = (
    None,
    True,
    False,
    -1,
    0,
    1.5,
    10**30,
    10**400,
    float('inf'),
    float('nan'),
    '',
    'unheard of',
    'half a pair \ud800',
    'line\r\nbreak',
    'x' * 10_000,
    [],
    {},
    [None],
    [{}],
    {'name': 1},
    nest(50),
)


def list_paths(value: Any, path: Steps = ()) -> list[Steps]:
    """Return the path of each value inside a document."""
    children: list[tuple[str | int, Any]] = []
    if isinstance(value, dict):
        children = list(value.items())
    elif isinstance(value, list):
        children = list(enumerate(value))
    paths = [path] if path else []
    for step, child in children:
        paths += list_paths(child, (*path, step))
    return paths


def parent_of(document: Any, path: Steps) -> Any:
    for step in path[:-1]:
        document = document[step]
    return document


def decode(key: str, document: Any) -> Any:
    """Decode a document; return its errors as text if there are any."""
    data = document
    if not isinstance(data, bytes):
        data = json.dumps(document).encode()
    match keyspace.decode(StoredValue(key, data, 1)):
        case Result(tag='ok', ok=value):
            return value
        case Result(error=error):
            return str(error)


def use(table: RouteTable) -> None:
    """Use a configuration as the request path does."""
    for host, routes in table.hosts.items():
        for route in routes:
            found = table.find(host, f'{route.prefix}x')
            assert found is not None
            if isinstance(found, Route):
                service = WeightedRoundRobin().choose(found.parts)
                assert service in table.services
                table.lowest_priority(service)
                f'{found.name}/1'.encode()


@pytest.mark.parametrize('key', DOCUMENTS)
@given(data=st.data())
@machine_settings(examples=EXAMPLES)
def test_changed_document_costs_no_more_than_what_is_wrong(
    key: str, data: st.DataObject
) -> None:
    document = copy.deepcopy(DOCUMENTS[key])
    path = data.draw(st.sampled_from(list_paths(document)))
    parent = parent_of(document, path)
    if data.draw(st.booleans()):
        parent[path[-1]] = data.draw(st.sampled_from(JUNK))
    else:
        del parent[path[-1]]
    if data.draw(st.booleans()) and isinstance(document, dict):
        document['unheard of'] = data.draw(st.sampled_from(JUNK[:-1]))
    value = decode(key, document)
    if isinstance(value, str):
        # The error names the document and the field, or a parent of it.
        assert value.startswith(f'{key}: ')
        assert str(path[0]) in value
    elif isinstance(value, RouteTable):
        use(value)
        check_untouched_routes(value, path)
        for problem in value.problems:
            assert names_cause(str(problem), path)
    elif isinstance(value, NodeRegistration | MemberRegistration):
        assert value.vm


def check_untouched_routes(table: RouteTable, path: Steps) -> None:
    """Check that routes outside of what was changed are served."""
    if path[0] in ('services', 'virtualHosts'):
        is_in_route = 'paths' in path and len(path) > 3
        if not is_in_route:
            return
    changed = path[3] if path[0] == 'virtualHosts' else None
    paths = CONFIGURATION['virtualHosts'][0]['paths']
    for index, wanted in enumerate(paths):
        if index != changed:
            found = table.find('shop.example', f'{wanted["prefix"]}x')
            assert isinstance(found, Route)
            assert found.name == wanted['name']


def names_cause(problem: str, path: Steps) -> bool:
    """Return whether a problem names the changed field or what needs it."""
    steps = [step for step in path if isinstance(step, str)]
    if steps[-1] == 'trafficSplit' and '.service: ' in problem:
        # Without a split, the route lacks the service that it needs instead.
        return True
    return steps[-1] in problem or 'unknown service' in problem


@pytest.mark.parametrize('address', ['10.0.0.1:65536', '10.0.0.256:80'])
def test_node_with_an_address_that_cannot_be_used_is_refused(
    address: str,
) -> None:
    assert 'peers' in decode('nodes/vm-1', NODE | {'peers': address})


@given(data=st.binary(max_size=300))
@machine_settings(examples=EXAMPLES)
def test_bytes_of_any_kind_are_refused_by_name(data: bytes) -> None:
    for key in DOCUMENTS:
        assert isinstance(decode(key, data), str)


@pytest.mark.parametrize(
    'data',
    [
        b'[' * DEPTH,
        b'{"a":' * DEPTH,
        b'{"version": 1' + b'0' * 5_000 + b'}',
        b'\xff{}',
        b'{"version": 1e999, "services": [], "virtualHosts": []}',
    ],
)
def test_deep_and_huge_documents_are_refused(data: bytes) -> None:
    for key in DOCUMENTS:
        assert isinstance(decode(key, data), str)
