"""A short soak; each seed that ever failed stays here."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from gentianbank_standins.soak.main import run_soak

if TYPE_CHECKING:
    from pathlib import Path

DURATION_S = 8.0


@pytest.mark.parametrize('seed', [1])
def test_soak_keeps_the_promises(tmp_path: Path, seed: int) -> None:
    result = run_soak(seed, tmp_path, duration_s=DURATION_S)
    assert result.broken == ()
    assert result.faults
    assert result.seen['200'] > 0
