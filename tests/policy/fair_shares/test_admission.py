"""Admission of a fraction of the requests."""

from __future__ import annotations

import pytest

from gentianbank.policy.fair_shares.admission import ClassAdmission
from gentianbank.policy.fair_shares.admission import CreditCounter
from gentianbank.policy.fair_shares.division import Asked


@pytest.mark.parametrize('fraction', [0.0, 0.1, 1 / 3, 0.5, 0.9, 1.0])
@pytest.mark.parametrize('start', [0.0, 0.4, 0.9])
def test_every_run_of_requests_gets_its_fraction(
    fraction: float, start: float
) -> None:
    counter = CreditCounter(start)
    admitted = [counter.admits(fraction) for _ in range(200)]
    for begin in range(0, 150, 7):
        for length in (1, 10, 50):
            count = sum(admitted[begin : begin + length])
            assert abs(count - length * fraction) < 1 + 1e-6


def test_returning_callers_use_the_share_first() -> None:
    admission = ClassAdmission()
    admission.apply(Asked(10.0, 4.0), 6.0)
    assert admission.returning_fraction == 1.0
    assert admission.new_fraction == pytest.approx(0.2)


def test_share_below_the_returning_ones_leaves_none_for_new_ones() -> None:
    admission = ClassAdmission()
    admission.apply(Asked(10.0, 4.0), 3.0)
    assert admission.returning_fraction == pytest.approx(0.75)
    assert admission.new_fraction == 0.0
    assert not any(admission.admits(returning=False) for _ in range(50))


def test_class_within_its_share_is_admitted_in_full() -> None:
    admission = ClassAdmission()
    admission.apply(Asked(10.0, 4.0), 14.0)
    for number in range(50):
        assert admission.admits(returning=bool(number % 3))
