"""Tests of the rate limit on log lines about requests."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gentianbank.steering.request_log import RequestAbandoned
from gentianbank.steering.request_log import RequestAnswered
from gentianbank.steering.request_log import RequestLog

if TYPE_CHECKING:
    import pytest

EVENT = RequestAbandoned(request='r-1', held_ms=7)
SAMPLE = RequestAnswered(
    request='r-2',
    route='read',
    service='desk',
    topic='read/7',
    attempt=1,
    target='desk-1',
    failure_domain='east-1',
    outcome='answered',
    cause='',
    version=3,
    warm=True,
    occupancy=1.5,
    report_age_ms=None,
    slowdown=1.2,
    expected_ms=100,
    wait_ms=0,
    held_ms=1,
    took_ms=90,
)


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


def test_samples_leave_half_of_the_lines_to_failures(
    caplog: pytest.LogCaptureFixture,
) -> None:
    log = RequestLog(4, lambda: 0.0)
    with caplog.at_level(logging.INFO):
        for _ in range(10):
            log.write(SAMPLE)
        for _ in range(10):
            log.write(EVENT)
    messages = [record.message for record in caplog.records]
    assert messages == ['request answered'] * 2 + ['caller left'] * 2
