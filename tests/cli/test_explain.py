"""Tests of the timeline of a request."""

from __future__ import annotations

import io
import json
import logging
from typing import Any
from typing import TYPE_CHECKING

import pytest

from gentianbank.cli.explain import explain
from gentianbank.cli.explain import LogLine
from gentianbank.cli.explain import read_lines
from gentianbank.cli.explain import render
from gentianbank.cli.main import Commands
from gentianbank.telemetry.logs import JsonFormatter
from tests.support.steering import FAILED
from tests.support.steering import LOST
from tests.support.steering import ORDER_REQUEST
from tests.support.steering import Path
from tests.support.steering import SHED
from tests.support.steering import SILENT

if TYPE_CHECKING:
    from tests.support.steering import Script


def texts_of(caplog: pytest.LogCaptureFixture) -> list[str]:
    formatter = JsonFormatter('vm-1')
    return [f'12.5 vm-1 {formatter.format(r)}' for r in caplog.records]


def line(time_ms: int, message: str, request: str = '', **f: Any) -> LogLine:
    return LogLine(time_ms, 'vm-1', message, request, f)


@pytest.mark.parametrize(
    ('script', 'verdict'),
    [
        (LOST, '502: reset; tried desk-1: reset'),
        (SILENT, '504: no answer in time; tried desk-1: no answer in time'),
        (
            FAILED,
            'failed by its target; tried desk-1: the target answered 500',
        ),
        (SHED, '503: every target is busy; tried desk-1: the target answered'),
    ],
)
def test_timeline_names_the_cause_that_the_node_logged(
    caplog: pytest.LogCaptureFixture, script: Script, verdict: str
) -> None:
    path = Path(targets=1)
    path.transport.default = script
    with caplog.at_level(logging.INFO):
        path.ask(**ORDER_REQUEST)
    lines, unparsed = read_lines(texts_of(caplog))
    assert unparsed == 0
    timeline = explain(lines, 'r-1')
    assert timeline.verdict.startswith(verdict)
    assert 'desk-1' in render(timeline)


def test_timeline_holds_changes_that_the_node_learned_before() -> None:
    lines = [
        line(500, 'configuration in force', version=3),
        line(20_000, 'store lost'),
        line(21_000, 'target gone', target='desk-1'),
        line(21_500, 'target gone', target='desk-2'),
        line(22_000, 'attempt failed', 'r-1', target='desk-1', cause='reset'),
        line(22_100, 'request refused', 'r-1', status=502, cause='reset'),
        line(22_200, 'store answers again'),
    ]
    timeline = explain(reversed(lines), 'r-1')
    assert [item.time_ms for item in timeline.context] == [20_000, 21_000]
    assert [item.time_ms for item in timeline.events] == [22_000, 22_100]


@pytest.mark.parametrize(
    'message',
    ['store was restored from a copy', 'peer told of a restored store'],
)
def test_timeline_tells_of_a_restore_of_the_store(message: str) -> None:
    lines = [
        line(20_000, message, era=2, held_era=1),
        line(22_100, 'request refused', 'r-1', status=503, cause='no target'),
    ]
    assert [item.time_ms for item in explain(lines, 'r-1').context] == [20_000]


def test_unparsed_lines_are_counted() -> None:
    lines, unparsed = read_lines(['', 'Traceback', '{"time_ms": ', '{}'])
    assert (lines, unparsed) == ([], 2)


def test_explain_command_reads_standard_input(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    document = {
        'time_ms': 7,
        'node': 'vm-1',
        'message': 'caller left',
        'request': 'r-1',
        'held_ms': 30,
    }
    monkeypatch.setattr('sys.stdin', io.StringIO(json.dumps(document)))
    Commands().explain('r-1', '-')
    assert 'the caller left after 30 ms' in capsys.readouterr().out
    with pytest.raises(SystemExit) as stopped:
        Commands().explain('r-2', '/does/not/exist')
    assert stopped.value.code == 2
