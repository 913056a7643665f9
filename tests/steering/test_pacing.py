"""Tests of the pace of targets in the request path of several nodes."""

from __future__ import annotations

import logging

import pytest

from gentianbank.policy.target_load import TargetLoad
from gentianbank.policy.target_pace import MAX_PACE_MS
from gentianbank.policy.target_pace import PaceCause
from gentianbank.policy.target_pace import PaceNews
from gentianbank.steering.load_update import build_row
from gentianbank.steering.load_update import decode_rows
from gentianbank.steering.load_update import encode_rows
from tests.support.pace_fleet import Figures
from tests.support.pace_fleet import PaceFleet
from tests.support.pace_fleet import SLOTS
from tests.support.steering import Path
from tests.support.steering import registration
from tests.support.steering import SILENT

RATE_PER_S = 50.0


def play(kind: str, *, with_pace: bool, cold: bool) -> Figures:
    """Return what callers got while the subject started or failed."""
    fleet = PaceFleet(kind, with_pace=with_pace)
    fleet.play(6.0, RATE_PER_S)
    fleet.start_subject(cold=cold)
    fleet.play(12.0, RATE_PER_S)
    figures = fleet.figures()
    fleet.loop.jump(MAX_PACE_MS / 1_000)
    assert not fleet.paced_nodes
    return figures


@pytest.mark.parametrize(
    ('kind', 'cold'),
    [
        ('fast', True),
        ('cold', True),
        ('slow', False),
        ('flapping', True),
        ('flapping', False),
        ('silent', False),
        ('lying', False),
    ],
)
def test_pace_costs_callers_of_a_small_fleet_few_answers_in_time(
    kind: str, cold: bool
) -> None:
    before = play(kind, with_pace=False, cold=cold)
    after = play(kind, with_pace=True, cold=cold)
    assert after.in_time >= 0.98 * before.in_time
    assert after.most_at_subject <= before.most_at_subject + 1


def test_many_nodes_together_do_not_flood_a_cold_target() -> None:
    fleet = PaceFleet('cold', with_pace=True, nodes=40)
    fleet.start_subject()
    fleet.play(6.0, 80.0)
    figures = fleet.figures()
    assert 0 < figures.most_under_pace <= SLOTS


def test_pace_that_is_off_keeps_no_state_and_sends_nothing() -> None:
    fleet = PaceFleet('flapping', with_pace=False, nodes=3)
    fleet.start_subject()
    fleet.play(4.0, RATE_PER_S)
    targets = [
        target
        for node in fleet.nodes.values()
        for target in node.cluster_view.targets.values()
    ]
    assert all(target.pace is None for target in targets)


def test_start_and_end_of_a_pace_are_logged_with_their_causes(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    path = Path(targets=0, with_pace=True)
    path.cluster_view.put_target(
        registration('desk-1'), path.loop.now_ms(), from_first_listing=False
    )
    for _ in range(3):
        assert path.ask().status == 200
    logged = [
        (record.msg, vars(record)['cause'])
        for record in caplog.records
        if record.msg.startswith('pace of a target')
    ]
    assert logged == [
        ('pace of a target starts', PaceCause.COLD.value),
        ('pace of a target ends', PaceCause.RECOVERED.value),
    ]


def test_silent_target_is_paced_after_its_first_requests() -> None:
    path = Path(targets=1, with_pace=True)
    path.transport.default = SILENT
    path.ask_many([{'deadline_ms': 1_400}] * 3)
    pacing = path.placer.pacing
    assert pacing is not None
    assert pacing.paced_target_count == 1


def target_under(news: PaceNews) -> TargetLoad:
    """Return a target whose pace has news for peers."""
    target = TargetLoad(registration('desk-1'), 'east', 0.0)
    pace = target.ensure_pace()
    pace.allowance = news.allowance
    pace.started_ms = news.started_ms
    pace.has_news = True
    return target


@pytest.mark.parametrize('allowance', [1.5, None])
def test_message_carries_the_allowance_and_the_end_of_a_pace(
    allowance: float | None,
) -> None:
    news = PaceNews(allowance, 400.0)
    row = build_row(target_under(news), 'desk-1')
    (told,) = decode_rows(encode_rows([row], 1_000.0), 1_000.0)
    assert told.pace == news
