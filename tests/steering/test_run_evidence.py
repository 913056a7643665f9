"""Tests of what a node says about whether a request has run."""

from __future__ import annotations

from typing import Any

import pytest

from tests.support.steering import FAILED
from tests.support.steering import LOST
from tests.support.steering import ORDER_REQUEST
from tests.support.steering import Path
from tests.support.steering import REFUSED
from tests.support.steering import Script
from tests.support.steering import SHED


@pytest.mark.parametrize(
    ('script', 'evidence'),
    [
        (REFUSED, 'never-sent'),
        (SHED, 'rejected'),
        (LOST, 'may-have-run'),
    ],
)
def test_refusal_is_logged_with_the_evidence_that_it_rests_on(
    caplog: pytest.LogCaptureFixture, script: Script, evidence: str
) -> None:
    path = Path()
    path.transport.default = script
    with caplog.at_level('INFO'):
        path.ask(**ORDER_REQUEST)
    (line,) = records(caplog, 'request refused')
    assert line['evidence'] == evidence


def test_failure_that_is_passed_on_is_logged_with_its_status(
    caplog: pytest.LogCaptureFixture,
) -> None:
    path = Path()
    path.transport.default = FAILED
    with caplog.at_level('INFO'):
        path.ask(**ORDER_REQUEST)
    (line,) = records(caplog, 'failure passed on')
    assert (line['request'], line['status']) == ('r-1', 500)


def records(
    caplog: pytest.LogCaptureFixture, message: str
) -> list[dict[str, Any]]:
    return [vars(r) for r in caplog.records if r.getMessage() == message]
