"""Fixtures of the tests of this folder."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.support.store_copy import Copy

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def copy() -> Iterator[Copy]:
    """Return a node's copy of a store, which is stopped after the test."""
    made = Copy()
    yield made
    made.loop.end()
