"""Tests of a node's view of one target."""

from __future__ import annotations

import pytest

from gentianbank.domain.load_report import LoadReport
from gentianbank.policy.target_load import MAX_BACKOFF_MS
from gentianbank.policy.target_load import MAX_WARM_OBJECTS
from gentianbank.policy.target_load import TargetLoad
from tests.support.steering import registration

NOW_MS = 50_000.0


def build_target() -> TargetLoad:
    return TargetLoad(registration('desk-1'), 'east', 0.0)


def test_occupancy_is_never_below_the_own_requests() -> None:
    target = build_target()
    for _ in range(3):
        target.on_send(NOW_MS, '')
    target.on_report(LoadReport(1, 0, 4, 1.0), NOW_MS)
    assert target.occupancy(NOW_MS) == 3


def test_occupancy_of_an_old_report_decays() -> None:
    target = build_target()
    target.on_report(LoadReport(4, 4, 4, 1.0), NOW_MS)
    assert target.occupancy(NOW_MS) == 8
    assert target.occupancy(NOW_MS + 5_000) < 0.1


def test_requests_that_ended_without_a_report_do_not_fill_a_target() -> None:
    # Streamed uploads that were too long took a target out for good: it was
    # believed to be full, so that nothing was sent that brings a report.
    target = build_target()
    target.on_report(LoadReport(0, 0, 4, 1.0), NOW_MS)
    for _ in range(5):
        target.on_send(NOW_MS, '')
    assert target.occupancy(NOW_MS + 5_000) == 5
    for _ in range(5):
        target.on_end()
    assert target.occupancy(NOW_MS) == 5
    assert target.occupancy(NOW_MS + 5_000) < 0.1


def test_least_recently_used_objects_are_forgotten() -> None:
    target = build_target()
    for number in range(MAX_WARM_OBJECTS + 1):
        target.on_send(NOW_MS, f'read/{number}')
    assert not target.has_warm_object('read/0')
    assert target.has_warm_object('read/1')


def test_single_truncated_answer_starts_no_backoff() -> None:
    target = build_target()
    target.on_broken(NOW_MS)
    assert not target.is_suspect(NOW_MS)
    target.on_broken(NOW_MS)
    assert target.is_suspect(NOW_MS)


def test_backoff_grows_with_each_failed_connection() -> None:
    target = build_target()
    backoff_ends_ms = []
    for _ in range(4):
        target.on_unreachable(NOW_MS)
        backoff_ends_ms.append(target.suspect_until_ms)
    assert backoff_ends_ms == sorted(set(backoff_ends_ms))


@pytest.mark.parametrize('later_ms', [0.0, 1.0, 499.0, 501.0, 3_000.0])
def test_target_is_cold_until_the_latest_time_that_was_told(
    later_ms: float,
) -> None:
    target = build_target()
    target.on_restart(NOW_MS + 3_000, NOW_MS)
    target.on_restart(NOW_MS + 3_000 + later_ms, NOW_MS)
    target.on_restart(NOW_MS + 1_000, NOW_MS)
    assert target.cold_until_ms == NOW_MS + 3_000 + later_ms


def test_answer_ends_the_backoff() -> None:
    target = build_target()
    target.on_unreachable(NOW_MS)
    target.on_answer(failed=False)
    assert not target.is_suspect(NOW_MS)


def test_backoff_stays_bounded_after_thousands_of_failures() -> None:
    target = build_target()
    for _ in range(3_000):
        target.on_unreachable(NOW_MS)
        target.on_broken(NOW_MS)
    assert target.suspect_until_ms == NOW_MS + MAX_BACKOFF_MS
