"""Recorded traces are replayed and must end in the recorded outcomes."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import pytest

from tests.support.replay import load_trace
from tests.support.replay import replay_trace

TRACES = Path(__file__).parent / 'traces'


@pytest.mark.parametrize('name', ['faulty-targets'])
def test_trace_ends_as_recorded(name: str) -> None:
    trace = load_trace(TRACES / f'{name}.jsonl')
    replayed = replay_trace(trace)
    for item in replayed:
        assert item.outcome == item.recorded.outcome, item
        if item.recorded.method == 'POST':
            assert item.runs <= 1, item
        if item.outcome == 'not-run':
            assert item.runs == 0, item
    recorded = Counter(item.recorded.outcome for item in replayed)
    assert set(recorded) == {'answered', 'not-run', 'unknown'}
