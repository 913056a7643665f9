"""Tests of a node's view of one target."""

from __future__ import annotations

from gentianbank.domain.load_report import LoadReport
from gentianbank.policy.target_load import MAX_WARM_OBJECTS
from gentianbank.policy.target_load import TargetLoad
from tests.support.steering import registration

NOW_MS = 50_000.0


def build() -> TargetLoad:
    return TargetLoad(registration('desk-1'), 'east', 0.0)


def test_occupancy_is_never_below_the_own_requests() -> None:
    target = build()
    for _ in range(3):
        target.on_send(NOW_MS, '')
    target.on_report(LoadReport(1, 0, 4, 1.0), NOW_MS)
    assert target.occupancy(NOW_MS) == 3


def test_occupancy_of_an_old_report_fades() -> None:
    target = build()
    target.on_report(LoadReport(4, 4, 4, 1.0), NOW_MS)
    assert target.occupancy(NOW_MS) == 8
    assert target.occupancy(NOW_MS + 5_000) < 0.1


def test_objects_that_were_not_used_lately_are_forgotten() -> None:
    target = build()
    for number in range(MAX_WARM_OBJECTS + 1):
        target.on_send(NOW_MS, f'read/{number}')
    assert not target.knows('read/0')
    assert target.knows('read/1')


def test_one_broken_answer_is_no_reason_to_avoid() -> None:
    target = build()
    target.on_broken(NOW_MS)
    assert not target.is_suspect(NOW_MS)
    target.on_broken(NOW_MS)
    assert target.is_suspect(NOW_MS)


def test_refused_connections_avoid_the_target_longer_each_time() -> None:
    target = build()
    ends = []
    for _ in range(4):
        target.on_unreachable(NOW_MS)
        ends.append(target.suspect_until_ms)
    assert ends == sorted(set(ends))


def test_an_answer_ends_the_suspicion() -> None:
    target = build()
    target.on_unreachable(NOW_MS)
    target.on_answer(failed=False)
    assert not target.is_suspect(NOW_MS)
