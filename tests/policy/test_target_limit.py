"""Tests of the limit that a target names."""

from __future__ import annotations

from gentianbank.domain.request_limit import NamedLimit
from gentianbank.domain.request_limit import NoLimit
from gentianbank.domain.request_limit import UnreadableLimit
from gentianbank.policy.fleet_limits import LIMIT_WINDOW_MS
from gentianbank.policy.target_limit import LimitNews
from gentianbank.policy.target_limit import PROBE_STEP_MS
from gentianbank.policy.target_limit import SILENCE_MS
from gentianbank.policy.target_limit import TargetLimit


def test_limit_holds_from_the_answer_that_names_it() -> None:
    limit = TargetLimit()
    assert limit.on_answer(NamedLimit(2.5), 0.0, 500.0)
    assert limit.requests_per_s == 2.5
    assert not limit.on_answer(NamedLimit(2.5), 100.0, 600.0)
    assert limit.on_answer(NamedLimit(4.0), 200.0, 700.0)
    assert limit.requests_per_s == 4.0


def test_limit_ends_with_an_answer_to_a_later_request() -> None:
    limit = TargetLimit()
    limit.on_answer(NamedLimit(2.5), 0.0, 500.0)
    assert not limit.on_answer(NoLimit(), 400.0, 600.0)
    assert limit.requests_per_s == 2.5
    assert limit.on_answer(NoLimit(), 501.0, 900.0)
    assert limit.requests_per_s is None


def test_limit_that_cannot_be_read_changes_nothing() -> None:
    limit = TargetLimit()
    limit.on_answer(NamedLimit(2.5), 0.0, 500.0)
    assert not limit.on_answer(UnreadableLimit('few'), 600.0, 900.0)
    assert limit.requests_per_s == 2.5


def test_older_news_of_a_peer_changes_nothing() -> None:
    limit = TargetLimit()
    limit.on_answer(NamedLimit(2.5), 0.0, 500.0)
    assert not limit.on_peer_news(LimitNews(None, 400.0))
    assert limit.requests_per_s == 2.5
    assert limit.on_peer_news(LimitNews(None, 600.0))
    assert limit.requests_per_s is None


def test_requests_between_two_limits_count_under_the_second() -> None:
    limit = TargetLimit()
    limit.on_answer(NamedLimit(2.5), 0.0, 500.0)
    limit.on_answer(NoLimit(), 501.0, 900.0)
    limit.on_send(1_000.0)
    limit.on_send(1_100.0)
    limit.on_answer(NamedLimit(2.5), 1_000.0, 1_200.0)
    assert not limit.may_send(1_300.0, quota=2)
    assert limit.may_send(1_100.0 + LIMIT_WINDOW_MS, quota=2)


def test_nodes_without_a_quota_ask_one_after_the_other() -> None:
    limit = TargetLimit()
    limit.on_answer(NamedLimit(0.2), 0.0, 500.0)
    due_ms = 500.0 + SILENCE_MS
    assert not limit.may_probe(due_ms, rank=0, nodes=7)
    assert limit.may_probe(due_ms + 1, rank=0, nodes=7)
    assert not limit.may_probe(due_ms + 1, rank=1, nodes=7)
    assert limit.may_probe(due_ms + PROBE_STEP_MS + 1, rank=1, nodes=7)
    limit.on_send(due_ms + 1)
    assert not limit.may_probe(due_ms + 2, rank=0, nodes=7)
    next_ms = due_ms + 1 + 7 * PROBE_STEP_MS
    assert not limit.may_probe(next_ms - 1, rank=0, nodes=7)
    assert limit.may_probe(next_ms, rank=0, nodes=7)
