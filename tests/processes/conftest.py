"""A fleet of real processes for the tests of this folder."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from gentianbank_standins.fleet import Fleet

if TYPE_CHECKING:
    from collections.abc import Iterator

EXAMPLE = Path(__file__).parents[2] / 'examples' / 'blue-mahoe'


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Return a running fleet with revision 1 in force."""
    running = Fleet(EXAMPLE, tmp_path)
    try:
        running.start()
        assert running.apply().returncode == 0
        running.wait_revision(1)
        yield running
    finally:
        running.stop()
