"""Tests of the detection of callers that retry a refused request."""

from __future__ import annotations

import pytest

from gentianbank.policy.returning_callers import ReturningCallerDetector


@pytest.mark.parametrize(
    ('patience_ms', 'returning'),
    [(3_000.0, False), (2_990.0, False), (2_700.0, True), (100.0, True)],
)
def test_caller_with_less_patience_than_others_is_returning(
    patience_ms: float, returning: bool
) -> None:
    memory = ReturningCallerDetector()
    assert not memory.is_returning(3_000.0)
    assert memory.is_returning(patience_ms) is returning


def test_first_caller_is_new_with_any_patience() -> None:
    assert not ReturningCallerDetector().is_returning(10.0)


def test_patience_memory_adapts_to_shorter_patience_of_all() -> None:
    memory = ReturningCallerDetector()
    memory.is_returning(3_000.0)
    for _ in range(2_000):
        memory.is_returning(2_000.0)
    assert not memory.is_returning(2_000.0)
