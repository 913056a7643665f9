"""Tests of the HTTP headers on the platform."""

from __future__ import annotations

import pytest

from gentianbank.domain.load_report import LoadReport
from gentianbank.domain.load_report import UnreadableReport
from gentianbank.domain.request_limit import LimitStatement
from gentianbank.domain.request_limit import NamedLimit
from gentianbank.domain.request_limit import NoLimit
from gentianbank.domain.request_limit import UnreadableLimit
from gentianbank.platform import headers as wire
from gentianbank.platform.headers import BodyFraming
from gentianbank.policy.run_evidence import AnswerMeaning


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (b'3,0,8', LoadReport(3, 0, 8, 1.0)),
        (b'3, 1, 8, 250', LoadReport(3, 1, 8, 2.5)),
        (b'3,0,8,100,7', LoadReport(3, 0, 8, 1.0)),
        (b'3,0', UnreadableReport('3,0')),
        (b'much', UnreadableReport('much')),
        (b'', UnreadableReport('')),
    ],
)
def test_load_is_decoded(
    text: bytes, expected: LoadReport | UnreadableReport
) -> None:
    assert wire.decode_load_report([(b'Server-Load', text)]) == expected


@pytest.mark.parametrize(
    'text',
    [
        b'3,0,8,inf',
        b'3,0,8,nan',
        b'3,0,8,0',
        b'3,0,8,-100',
        b'3,0,8,1e400',
        b'3,0,8,' + b'9' * 5_000,
        b'-3,0,8',
        b'3,-1,8,100',
        b'9' * 400 + b',0,8,100',
        b'1_0,0,8,100',
    ],
)
def test_load_with_a_figure_that_is_no_number_in_range_is_refused(
    text: bytes,
) -> None:
    report = wire.decode_load_report([(b'Server-Load', text)])
    assert report == UnreadableReport(text.decode()[:60])


def test_answer_without_the_header_reports_no_load() -> None:
    assert wire.decode_load_report([(b'server-limit', b'1')]) is None


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
        (503, [(b'Not-Executed', b'1')], AnswerMeaning.REJECTION),
        (400, [(b'not-executed', b'1')], AnswerMeaning.REJECTION),
        (421, [(b'Not-Executed', b'1')], AnswerMeaning.REJECTION),
        (421, [], AnswerMeaning.UNPROVED),
        (503, [], AnswerMeaning.UNPROVED),
        (429, [], AnswerMeaning.UNPROVED),
        (408, [], AnswerMeaning.UNPROVED),
        (500, [], AnswerMeaning.RESULT),
        (200, [], AnswerMeaning.RESULT),
        (200, [(b'Not-Executed', b'1')], AnswerMeaning.CONTRADICTION),
        (
            503,
            [(b'Not-Executed', b'1'), (b'Server-Stamp', b'stamp')],
            AnswerMeaning.CONTRADICTION,
        ),
    ],
)
def test_rejection_needs_the_header(
    status: int, headers: list[tuple[bytes, bytes]], expected: AnswerMeaning
) -> None:
    named = [(b'Request-Id', b'r-1'), *headers]
    assert wire.judge(status, named, b'r-1') is expected
    for other in (headers, [*named, (b'Request-Id', b'r-2')]):
        meaning = wire.judge(status, other, b'r-1')
        assert meaning is AnswerMeaning.NAMES_OTHERS


@pytest.mark.parametrize(
    ('named', 'expected'),
    [
        ((), True),
        ((b'r-1',), True),
        ((b'r-2', b'r-1'), True),
        ((b'r-2, r-1',), True),
        ((b'r-2',), False),
        ((b'r-2', b'r-3'), False),
        ((b'r-10',), False),
    ],
)
def test_answer_that_names_only_others_is_for_others(
    named: tuple[bytes, ...], expected: bool
) -> None:
    headers = [(b'Request-Id', name) for name in named]
    assert wire.may_answer(headers, b'r-1') is expected
    assert wire.may_answer([(b'Request-Id', b'a,b')], b'a,b')


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
