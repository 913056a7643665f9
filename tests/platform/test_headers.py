"""Tests of the HTTP headers on the platform."""

from __future__ import annotations

import pytest

from gentianbank.domain.load_report import LoadReport
from gentianbank.domain.request_limit import LimitStatement
from gentianbank.domain.request_limit import NamedLimit
from gentianbank.domain.request_limit import NoLimit
from gentianbank.domain.request_limit import UnreadableLimit
from gentianbank.platform import headers as wire
from gentianbank.platform.headers import BodyFraming


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (b'3,0,8', LoadReport(3, 0, 8, 1.0)),
        (b'3, 1, 8, 250', LoadReport(3, 1, 8, 2.5)),
        (b'3,0', None),
        (b'much', None),
        (b'', None),
    ],
)
def test_load_is_decoded(text: bytes, expected: LoadReport | None) -> None:
    assert wire.decode_load_report([(b'Server-Load', text)]) == expected


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (b'2.5', NamedLimit(2.5)),
        (b' 0 ', NamedLimit(0.0)),
        (b'-1', UnreadableLimit('-1')),
        (b'inf', UnreadableLimit('inf')),
        (b'nan', UnreadableLimit('nan')),
        (b'few', UnreadableLimit('few')),
        (b'', UnreadableLimit('')),
    ],
)
def test_limit_is_decoded(text: bytes, expected: LimitStatement) -> None:
    assert wire.decode_request_limit([(b'Server-Limit', text)]) == expected


def test_answer_without_the_header_names_no_limit() -> None:
    assert wire.decode_request_limit([(b'server-load', b'1')]) == NoLimit()


@pytest.mark.parametrize(
    ('status', 'headers', 'expected'),
    [
        (503, [(b'Not-Executed', b'1')], True),
        (400, [(b'not-executed', b'1')], True),
        (421, [], True),
        (503, [], False),
        (500, [], False),
    ],
)
def test_not_run_needs_the_header_or_a_421(
    status: int, headers: list[tuple[bytes, bytes]], expected: bool
) -> None:
    assert wire.says_not_run(status, headers) is expected


def test_request_has_the_expected_target_and_the_time_left() -> None:
    received = [
        (b'host', b'shop.example'),
        (b'deadline-ms', b'3000'),
        (b'expect-instance', b'forged'),
        (b'transfer-encoding', b'chunked'),
        (b'request-id', b'r-1'),
    ]
    sent = wire.for_target(
        received, target_id='i-1', time_left_ms=12.7, body=BodyFraming(3)
    )
    assert sorted(sent) == [
        (b'content-length', b'3'),
        (b'deadline-ms', b'12'),
        (b'expect-instance', b'i-1'),
        (b'host', b'shop.example'),
        (b'request-id', b'r-1'),
    ]
