"""Tests of the limits that targets name to all nodes together."""

from __future__ import annotations

import pytest

from gentianbank.domain.request_limit import NamedLimit
from tests.support.fleet import allowed_requests
from tests.support.fleet import Fleet
from tests.support.fleet import regions_of
from tests.support.steering import Path
from tests.support.steering import Script
from tests.support.steering import STAMP

SIX_DOMAINS = regions_of(6)


@pytest.mark.parametrize('limit_per_s', [2.5, 3.1, 4.0])
def test_nodes_together_send_a_target_no_more_than_the_limit_it_names(
    limit_per_s: float,
) -> None:
    fleet = Fleet(7, SIX_DOMAINS)
    fleet.play(5.0, requests_per_s=40)
    fleet.targets.limit_per_s = limit_per_s
    fleet.play(15.0, requests_per_s=40)
    assert fleet.targets.worst_window() <= allowed_requests(limit_per_s)


def test_limit_that_has_ended_is_forgotten_by_nodes_without_a_quota() -> None:
    fleet = Fleet(7, SIX_DOMAINS)
    fleet.targets.limit_per_s = 0.2
    fleet.play(6.0, requests_per_s=40)
    fleet.targets.limit_per_s = None
    fleet.play(20.0, requests_per_s=40)
    assert not any(
        node.cluster_view.limited_target_count for node in fleet.nodes
    )


def test_targets_that_all_name_limits_serve_objects_that_they_know() -> None:
    fleet = Fleet(7, SIX_DOMAINS, targets=8, objects=80)
    fleet.targets.limited = frozenset(fleet.nodes[0].cluster_view.targets)
    fleet.play(8.0, requests_per_s=40)
    fleet.targets.limit_per_s = 2.5
    fleet.play(12.0, requests_per_s=40)
    end_s = fleet.loop.time()
    known = [
        arrival.is_warm
        for arrival in fleet.targets.arrivals
        if arrival.time_s >= end_s - 10.0
    ]
    assert sum(known) >= 0.9 * len(known)
    assert len(known) >= 0.5 * 8 * 2.5 * 10.0


def test_limited_target_is_used_when_the_regions_in_the_plan_are_full() -> (
    None
):
    path = Path(targets=1)
    path.put_target('desk-2', failure_domain='west-1')
    now_ms = path.loop.now_ms()
    limited = path.cluster_view.targets['desk-1']
    limited.limit.on_answer(NamedLimit(40.0), now_ms, now_ms)
    for _ in range(10):
        path.cluster_view.targets['desk-2'].on_send(now_ms, '')
    assert path.ask(key='7').status == 200
    assert path.sent_to() == ['desk-1']


def test_limit_that_cannot_be_read_is_logged_once_for_each_text(
    caplog: pytest.LogCaptureFixture,
) -> None:
    path = Path(targets=1)
    for text in (b'few', b'few', b'none', b'none'):
        limit = (b'Server-Limit', text)
        path.transport.default = Script(headers=(STAMP, limit))
        assert path.ask().status == 200
    logged = [
        vars(record)['cause']
        for record in caplog.records
        if record.msg == 'limit of a target cannot be read'
    ]
    assert logged == ['few', 'none']
