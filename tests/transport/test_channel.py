"""Tests of requests and replies over one connection."""

from __future__ import annotations

import asyncio

import pytest

from gentianbank.control.messages import LoanRequest
from gentianbank.transport import channel as channel_module
from gentianbank.transport.channel import RequestChannel

REQUEST = LoanRequest(request_id=0, budget='link', wanted=1.0)
SLOTS = 3


def test_requests_to_a_node_that_does_not_read_fail_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(channel_module, 'MAX_OUTBOX_REQUESTS', SLOTS)

    async def play() -> None:
        channel = RequestChannel()
        for _ in range(SLOTS):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0):
                    await channel.request(REQUEST)
        with pytest.raises(ConnectionError, match='does not read'):
            await channel.request(REQUEST)

    asyncio.run(play())
