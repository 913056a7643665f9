"""Attribution of requests to workspaces."""

from __future__ import annotations

import pytest

from gentianbank.domain.workspaces import Workspace
from gentianbank.domain.workspaces import WorkspaceTable
from gentianbank.policy.attribution import attribute
from gentianbank.policy.attribution import Attributed
from gentianbank.policy.attribution import CopyAge
from gentianbank.policy.attribution import UndecidedKey
from gentianbank.policy.attribution import UnknownKey

LAB = Workspace(name='lab')
BROKEN = Workspace(name='broken', is_usable=False)
TABLE = WorkspaceTable(by_key={b'l': LAB, b'b': BROKEN, b'shared': None})
CURRENT = CopyAge(is_current=True)
OLD = CopyAge(is_current=False)
EXPIRED = CopyAge(is_current=False, is_expired=True)


def test_key_names_its_workspace() -> None:
    result = attribute(TABLE, b'l', OLD, is_public=False)
    assert result == Attributed(LAB)


@pytest.mark.parametrize('key', [None, b'unknown'])
def test_public_route_takes_requests_without_a_valid_key(
    key: bytes | None,
) -> None:
    assert attribute(TABLE, key, OLD, is_public=True) == Attributed(None)


def test_public_route_keeps_the_workspace_of_a_valid_key() -> None:
    assert attribute(TABLE, b'l', OLD, is_public=True) == Attributed(LAB)


@pytest.mark.parametrize('key', [None, b'unknown'])
def test_current_copy_knows_that_a_key_is_unknown(key: bytes | None) -> None:
    result = attribute(TABLE, key, CURRENT, is_public=False)
    assert result == UnknownKey()


def test_old_copy_does_not_call_a_key_unknown() -> None:
    # Callers never retry after a 401, so a key that was added a moment ago
    # must not get one.
    result = attribute(TABLE, b'unknown', OLD, is_public=False)
    assert isinstance(result, UndecidedKey)


def test_request_without_a_key_is_refused_by_an_old_copy_too() -> None:
    assert attribute(TABLE, None, OLD, is_public=False) == UnknownKey()


def test_unreadable_keys_leave_unknown_keys_undecided() -> None:
    table = WorkspaceTable(by_key={}, has_all_keys=False)
    result = attribute(table, b'unknown', CURRENT, is_public=False)
    assert isinstance(result, UndecidedKey)


@pytest.mark.parametrize('key', [b'b', b'shared'])
def test_unusable_workspace_and_shared_key_are_undecided(key: bytes) -> None:
    result = attribute(TABLE, key, CURRENT, is_public=False)
    assert isinstance(result, UndecidedKey)


def test_expired_copy_honors_no_key() -> None:
    result = attribute(TABLE, b'l', EXPIRED, is_public=False)
    assert isinstance(result, UndecidedKey)
