"""Tests of answers whose target does not end them in time."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from gentianbank.steering import sending
from gentianbank.targets import timed_body
from tests.support.steering import BodyEnd
from tests.support.steering import Caller
from tests.support.steering import ORDER
from tests.support.steering import ORDER_REQUEST
from tests.support.steering import Path
from tests.support.steering import READ
from tests.support.steering import Reply
from tests.support.steering import Script
from tests.support.steering import STAMP

LIMIT_S = 30.0
SLACK_MS = 100.0
PART_BYTES = 16_000
MB = 1_000_000
ENDLESS = Script(
    body=b'x' * PART_BYTES,
    chunk_bytes=PART_BYTES,
    bytes_per_s=3 * MB,
    end=BodyEnd.ENDLESS,
)
STATED = Script(
    body=b'x' * PART_BYTES,
    headers=(STAMP, (b'content-length', b'1000000000')),
    chunk_bytes=PART_BYTES,
    bytes_per_s=3 * MB,
    end=BodyEnd.ENDLESS,
)
SILENT = Script(body=b'x' * 1_280_000, bytes_per_s=10 * MB, end=BodyEnd.SILENT)
READ_REQUEST: dict[str, Any] = {}


def ask(
    node: Path, /, read_bytes_per_s: float = 0.0, **head: Any
) -> tuple[Reply, float]:
    """Send a request; return the answer and the time until its end."""
    caller = Caller(node.loop, **head)
    caller.read_bytes_per_s = read_bytes_per_s
    begin_ms = node.loop.now_ms()

    async def serve() -> None:
        async with asyncio.timeout(LIMIT_S):
            await node.proxy.serve(caller.exchange())

    node.run(serve())
    return caller.reply, node.loop.now_ms() - begin_ms


@pytest.mark.parametrize(
    ('head', 'timeout_ms'),
    [(READ_REQUEST, READ.timeout_ms), (ORDER_REQUEST, ORDER.timeout_ms)],
    ids=['idempotent', 'not idempotent'],
)
@pytest.mark.parametrize(
    'script',
    [ENDLESS, STATED, SILENT],
    ids=['chunks without end', 'large stated length', 'silence'],
)
def test_answer_without_end_ends_at_the_deadline(
    script: Script, head: dict[str, Any], timeout_ms: float
) -> None:
    """A caller was sent bytes, or nothing, until it left (review/14)."""
    path = Path()
    path.transport.default = script
    reply, took_ms = ask(path, **head)
    assert reply.status == 200
    assert not reply.complete
    assert timeout_ms - SLACK_MS <= took_ms <= timeout_ms + SLACK_MS


def test_silent_answer_ends_at_the_deadline_while_no_memory_is_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An answer of which little could be held was awaited for good."""
    monkeypatch.setattr(sending, 'READ_AHEAD_BUDGET_BYTES', 0)
    path = Path()
    path.transport.default = Script(
        body=b'x' * 50_000, chunk_bytes=20_000, end=BodyEnd.SILENT
    )
    reply, took_ms = ask(path)
    assert not reply.complete
    assert took_ms <= READ.timeout_ms + SLACK_MS


def test_ready_answer_is_whole_at_a_caller_that_reads_past_the_deadline() -> (
    None
):
    """A bound on the whole time would cut answers at slow callers."""
    path = Path()
    path.transport.default = Script(
        body=b'x' * 10 * MB, chunk_bytes=PART_BYTES, bytes_per_s=30 * MB
    )
    reply, took_ms = ask(path, read_bytes_per_s=MB)
    assert reply.complete
    assert len(reply.body) == 10 * MB
    assert took_ms >= 10_000.0


def test_answer_that_its_target_sends_slowly_in_time_is_whole() -> None:
    """The time ahead of the deadline is the target's."""
    path = Path()
    path.transport.default = Script(
        body=b'x' * 3 * MB, chunk_bytes=PART_BYTES, bytes_per_s=2.2 * MB
    )
    reply, took_ms = ask(path)
    assert reply.complete
    assert took_ms <= READ.timeout_ms


def test_caller_as_fast_as_its_target_gives_it_no_more_time() -> None:
    """The time that a part takes to be written was added to the target's."""
    path = Path()
    path.transport.default = ENDLESS
    reply, took_ms = ask(path, read_bytes_per_s=4 * MB)
    assert not reply.complete
    assert took_ms <= READ.timeout_ms + 500.0


def test_answer_without_end_at_a_slow_caller_is_bounded_in_bytes() -> None:
    """The caller's pace hid that the answer had no end."""
    path = Path()
    path.transport.default = ENDLESS
    reply, _ = ask(path, read_bytes_per_s=MB)
    assert not reply.complete
    deadline_bytes = READ.timeout_ms / 1_000 * 3 * MB
    assert len(reply.body) <= deadline_bytes + timed_body.MAX_LATE_BYTES


def test_silent_answer_at_a_slow_caller_ends() -> None:
    """What is left to write to the caller must not hide the silence."""
    path = Path()
    path.transport.default = SILENT
    reply, took_ms = ask(path, read_bytes_per_s=MB)
    assert not reply.complete
    # The caller takes 1.28 s for what had arrived.
    assert took_ms <= 1_280.0 + READ.timeout_ms + SLACK_MS


@pytest.mark.parametrize(
    'script',
    [SILENT, Script(body=b'x' * 3 * MB, cuts_after_bytes=2 * MB)],
    ids=['late', 'cut'],
)
def test_large_answer_that_is_not_whole_counts_against_its_target(
    script: Script,
) -> None:
    """Only what was read ahead told the health of a target."""
    path = Path(targets=1)
    path.transport.default = script
    reply, _ = ask(path)
    assert not reply.complete
    assert path.cluster_view.targets['desk-1'].failure_rate > 0.0


def test_answer_cut_at_a_slow_caller_does_not_count_against_its_target() -> (
    None
):
    """Targets end connections on which an answer is left unread."""
    path = Path(targets=1)
    path.transport.default = Script(
        body=b'x' * 3 * MB, cuts_after_bytes=2 * MB
    )
    reply, _ = ask(path, read_bytes_per_s=0.2 * MB)
    assert not reply.complete
    assert path.cluster_view.targets['desk-1'].failure_rate == 0.0
