"""Tests of the numbers in text that comes from outside."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st
import pytest

from gentianbank.domain.numbers import parse_number
from gentianbank.domain.numbers import parse_whole
from tests.support.machines import machine_settings

EXAMPLES = 500
NO_NUMBERS = (
    '',
    ' ',
    'much',
    'inf',
    '-Infinity',
    'nan',
    '1e400',
    '1_0',
    '0x10',
    '9' * 5_000,
    '٣',
    '1 0',
    '--1',
)


@pytest.mark.parametrize('text', NO_NUMBERS)
def test_text_that_is_no_number_in_range_is_refused(text: str) -> None:
    assert parse_number(text, -1e300, 1e300) is None
    assert parse_whole(text, -(10**100), 10**100) is None


@pytest.mark.parametrize(
    ('text', 'expected'),
    [('0', 0.0), (' 2.5 ', 2.5), ('1e2', 100.0), ('-1', None), ('3.1', None)],
)
def test_number_is_kept_within_its_bounds(
    text: str, expected: float | None
) -> None:
    assert parse_number(text, 0, 3 if text != '1e2' else 100) == expected


@pytest.mark.parametrize(
    ('text', 'expected'),
    [('0', 0), (' 7 ', 7), ('-1', None), ('8', None), ('2.0', None)],
)
def test_whole_number_is_kept_within_its_bounds(
    text: str, expected: int | None
) -> None:
    assert parse_whole(text, 0, 7) == expected


@given(text=st.text(max_size=60) | st.from_regex(r'[-+0-9.eE_ infa]{0,60}'))
@machine_settings(examples=EXAMPLES)
def test_any_text_gives_a_finite_number_in_range_or_none(text: str) -> None:
    number = parse_number(text, 0, 1_000)
    assert number is None or (math.isfinite(number) and 0 <= number <= 1_000)
    whole = parse_whole(text, 0, 1_000)
    assert whole is None or 0 <= whole <= 1_000
