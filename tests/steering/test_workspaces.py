"""Requests of workspaces on the request path."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from gentianbank.domain.workspaces import Workspace
from gentianbank.domain.workspaces import WorkspaceTable
from gentianbank.platform.credentials import digest_key
from tests.support.steering import header
from tests.support.steering import Path
from tests.support.steering import READ
from tests.support.steering import table

if TYPE_CHECKING:
    from gentianbank.domain.route_table import Route

LAB = Workspace(name='lab')
KEY = {'authorization': 'Token secret'}
PUBLIC = replace(READ, name='open', prefix='/open/', public=True)


def _path(workspace: Workspace = LAB, *routes: Route) -> Path:
    path = Path()
    _put(path, 2, workspace, *routes)
    return path


def _put(
    path: Path, version: int, workspace: Workspace, *routes: Route
) -> None:
    workspaces = WorkspaceTable(by_key={digest_key(b'secret'): workspace})
    path.cluster_view.put_table(
        replace(
            table(version, *(routes or (READ, PUBLIC))), workspaces=workspaces
        )
    )


def test_target_gets_the_name_and_not_the_key() -> None:
    path = _path()
    reply = path.ask(headers=KEY | {'tenant': 'forged'})
    assert reply.status == 200
    sent = path.transport.requests[0].headers
    assert [v for k, v in sent if k == b'tenant'] == [b'lab']
    assert not header(sent, b'authorization')


@pytest.mark.parametrize(
    'headers',
    [{}, {'authorization': 'Token other'}, {'authorization': 'Basic secret'}],
)
def test_request_without_a_valid_key_is_refused(
    headers: dict[str, str],
) -> None:
    path = _path()
    assert path.ask(headers=headers).status == 401
    assert not path.transport.requests


def test_public_route_hides_a_made_up_name() -> None:
    path = _path()
    headers = {'tenant': 'lab', 'authorization': 'Token other'}
    assert path.ask(path='/open/1', headers=headers).status == 200
    sent = path.transport.requests[0].headers
    assert not header(sent, b'tenant')
    assert not header(sent, b'authorization')


def test_without_workspaces_headers_pass_unchanged() -> None:
    path = Path()
    assert path.ask(headers=KEY | {'tenant': 'x'}).status == 200
    sent = path.transport.requests[0].headers
    assert header(sent, b'authorization') == b'Token secret'
    assert header(sent, b'tenant') == b'x'


def test_node_that_may_have_missed_a_key_does_not_call_it_unknown() -> None:
    # A caller never comes back after a 401.
    path = _path()
    path.cluster_view.is_store_reachable = False
    reply = path.ask(headers={'authorization': 'Token new'})
    assert reply.status == 503
    assert header(reply.headers, b'retry-after')


def test_withdrawn_key_stops_with_the_next_configuration() -> None:
    path = _path()
    assert path.ask(headers=KEY).status == 200
    path.cluster_view.put_table(
        replace(table(3, READ), workspaces=WorkspaceTable(by_key={}))
    )
    assert path.ask(headers=KEY).status == 401
    # An older configuration that arrives late does not bring it back.
    _put(path, 2, LAB)
    assert path.ask(headers=KEY).status == 401


@pytest.mark.parametrize(
    ('of_route', 'of_workspace', 'status'),
    [
        (('east',), (), 200),
        ((), ('east',), 200),
        (('east', 'west'), ('east',), 200),
        (('west',), ('east',), 503),
        ((), ('west',), 503),
    ],
)
def test_homes_of_route_and_workspace_both_bind(
    of_route: tuple[str, ...], of_workspace: tuple[str, ...], status: int
) -> None:
    route = replace(READ, home_regions=frozenset(of_route))
    workspace = replace(LAB, home_regions=frozenset(of_workspace))
    assert _path(workspace, route).ask(headers=KEY).status == status


def test_strict_revocation_refuses_keys_of_an_unconfirmed_copy() -> None:
    path = Path(strict_revocation=True, revoke_ms=5_000)
    _put(path, 2, LAB)
    path.cluster_view.store_answered_ms = path.loop.now_ms() - 5_001
    assert path.ask(headers=KEY).status == 503
