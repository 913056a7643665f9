"""Tests of targets whose answers say that they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.support.steering import Path
from tests.support.steering import Script
from tests.support.steering import STAMP

if TYPE_CHECKING:
    import pytest

LEAVING = (b'Server-Leaving', b'1')


def test_first_answer_that_says_leaving_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level('INFO')
    path = Path(targets=1)
    path.transport.default = Script(headers=(STAMP, LEAVING))
    for _ in range(2):
        path.ask()
    logged = [
        (vars(record)['target'], vars(record)['draining'])
        for record in caplog.records
        if record.msg == 'target says that it leaves'
    ]
    assert logged == [('desk-1', False)]
