"""Tests of the log lines of requests."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gentianbank.steering.request_log import AttemptFailed
from gentianbank.steering.request_log import RequestLog

if TYPE_CHECKING:
    import pytest

EVENT = AttemptFailed('r-1', 'desk-1', 'Broken', 'reset')


def test_lines_are_limited_and_the_rest_is_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    now_ms = [0.0]
    log = RequestLog(3, lambda: now_ms[0])
    with caplog.at_level(logging.INFO):
        for _ in range(10):
            log.write(EVENT)
        now_ms[0] = 1_500.0
        log.write(EVENT)
    records = [vars(record) for record in caplog.records]
    assert len(records) == 4
    assert records[0]['request'] == 'r-1'
    assert 'lines_suppressed' not in records[2]
    assert records[3]['lines_suppressed'] == 7
