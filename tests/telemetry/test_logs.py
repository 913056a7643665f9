"""Tests of the structured logs of a process."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

CODE = """
from absl import logging
from gentianbank.domain.settings import Logging
from gentianbank.telemetry.line_writer import LineClass
from gentianbank.telemetry.logs import CLASS_FIELD
from gentianbank.telemetry.logs import open_logs
with open_logs(Logging(json={json}, level='info'), 'vm-1'):
    logging.debug('not written')
    logging.info('target gone', extra={{'target': 'desk-1'}})
    logging.info('sample', extra={{CLASS_FIELD: LineClass.SAMPLE}})
"""


@pytest.fixture(params=[True, False])
def is_json(request: pytest.FixtureRequest) -> bool:
    return bool(request.param)


def run_code(code: str) -> str:
    """Return what a process writes to standard output."""
    done = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stderr == ''
    return done.stdout


def test_lines_go_to_standard_output_with_their_fields(is_json: bool) -> None:
    lines = run_code(CODE.format(json=is_json)).splitlines()
    assert len(lines) == 2
    if not is_json:
        assert lines[0].endswith('info target gone target=desk-1')
        return
    gone, sample = map(json.loads, lines)
    assert isinstance(gone.pop('time_ms'), int)
    assert gone == {
        'level': 'info',
        'node': 'vm-1',
        'message': 'target gone',
        'target': 'desk-1',
    }
    assert 'line_class' not in sample


def test_text_without_an_encoding_is_written_all_the_same(
    is_json: bool,
) -> None:
    code = CODE.replace("'desk-1'", "'half \\ud800'")
    assert 'half \\ud800' in run_code(code.format(json=is_json))
