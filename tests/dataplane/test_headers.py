"""Tests of the HTTP headers between nodes and targets."""

from __future__ import annotations

import pytest

from gentianbank.dataplane import headers


def report(in_flight: str) -> bytes:
    return f'JSON {{"named_metrics": {{"in_flight": {in_flight}}}}}'.encode()


@pytest.mark.parametrize(('figure', 'expected'), [('0', 0), ('7.0', 7)])
def test_requests_in_flight_are_decoded(figure: str, expected: int) -> None:
    raw = [(headers.LOAD_REPORT, report(figure))]
    assert headers.reported_in_flight(raw) == expected


@pytest.mark.parametrize(
    'value',
    [
        report('NaN'),
        report('Infinity'),
        report('-1'),
        report('1e308'),
        report('1' + '0' * 400),
        report('9' * 5_000),
        report('true'),
        report('"7"'),
        report('[' * 20_000),
        b'JSON []',
        b'JSON',
        b'\xff',
    ],
)
def test_report_that_is_no_number_in_range_counts_as_none(
    value: bytes,
) -> None:
    raw = [(headers.LOAD_REPORT, value)]
    assert headers.reported_in_flight(raw) is None
