"""Tests of the heads of the answers of targets."""

from __future__ import annotations

import h11
import pytest

from gentianbank.targets.response_head import check_head
from gentianbank.targets.response_head import DEFAULT_IDLE_S
from gentianbank.targets.response_head import IDLE_MARGIN_S
from gentianbank.targets.response_head import idle_timeout_s


@pytest.mark.parametrize(
    ('value', 'expected_s'),
    [
        (b'timeout=10', 10 - IDLE_MARGIN_S),
        (b'max=5, timeout=20', 20 - IDLE_MARGIN_S),
        (b'timeout=1', 0.0),
        (b'timeout=0', 0.0),
        (b'timeout=-5', DEFAULT_IDLE_S),
        (b'timeout=inf', DEFAULT_IDLE_S),
        (b'timeout=' + b'9' * 400, DEFAULT_IDLE_S),
        (b'timeout=', DEFAULT_IDLE_S),
        (b'max=5', DEFAULT_IDLE_S),
    ],
)
def test_idle_timeout_is_a_number_in_range(
    value: bytes, expected_s: float
) -> None:
    head = h11.Response(status_code=200, headers=[(b'Keep-Alive', value)])
    assert idle_timeout_s(head) == expected_s


@pytest.mark.parametrize('status', [200, 204, 404, 503, 599])
def test_head_with_a_status_and_plain_headers_is_valid(status: int) -> None:
    headers = [(b'X-Cause', b'a\tb \xe9'), (b'Content-Length', b'0')]
    check_head(h11.Response(status_code=status, headers=headers))
