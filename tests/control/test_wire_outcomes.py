"""Tests of the wire form of request outcomes."""

from __future__ import annotations

import pytest

from gentianbank.control.wire_outcomes import decode_outcome
from gentianbank.control.wire_outcomes import encode_outcome
from gentianbank.domain.outcome import Answered
from gentianbank.domain.outcome import Header
from gentianbank.domain.outcome import NotRun
from gentianbank.domain.outcome import Outcome
from gentianbank.domain.outcome import Unknown


@pytest.mark.parametrize(
    'outcome',
    [
        Answered(200, (Header('a', 'b'),), b'whole'),
        Answered(500, (), None),
        NotRun('never sent', sealed=True),
        Unknown('lost'),
    ],
)
def test_outcome_is_the_same_after_its_wire_form(outcome: Outcome) -> None:
    assert decode_outcome(encode_outcome(outcome)) == outcome


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_answer_of_an_older_peer_is_not_replayed_as_not_run(
    status: int,
) -> None:
    wire = encode_outcome(Answered(status, (), b''))
    assert isinstance(decode_outcome(wire), Unknown)
