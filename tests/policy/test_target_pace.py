"""Tests of the pace of a target that has just started or recovered."""

from __future__ import annotations

from collections import Counter
import math
from typing import TYPE_CHECKING

from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from gentianbank.policy import target_pace
from gentianbank.policy.cold_ratio import ColdRatio
from gentianbank.policy.cold_ratio import INITIAL_COLD_RATIO
from gentianbank.policy.cold_ratio import MAX_COLD_RATIO
from gentianbank.policy.gossip_schedule import GossipSchedule
from gentianbank.policy.target_pace import MAX_PACE_MS
from gentianbank.policy.target_pace import MIN_ALLOWANCE
from gentianbank.policy.target_pace import MIN_ERRORS
from gentianbank.policy.target_pace import PaceCause
from gentianbank.policy.target_pace import PaceNews
from gentianbank.policy.target_pace import SHRINK_PERIOD_MS
from gentianbank.policy.target_pace import TargetPace
from gentianbank.policy.target_pace import TURN_MS
from tests.support.machines import check_machine
from tests.support.machines import check_mutant

if TYPE_CHECKING:
    import pytest

SLOTS = 3
NODES = 40
SENDERS = 4
TURN_OF_NODES_MS = GossipSchedule(NODES - 1, 0).tick_ms
LATE = 10.0
OCCURRED: Counter[str] = Counter()


def started(now_ms: float = 0.0) -> TargetPace:
    """Return a pace that has started."""
    pace = TargetPace(SLOTS)
    pace.start(now_ms, PaceCause.COLD)
    return pace


def allowance_of(pace: TargetPace) -> float:
    """Return the allowance of an active pace."""
    assert pace.allowance is not None
    return pace.allowance


def test_target_without_a_pace_is_not_held_back() -> None:
    assert TargetPace(SLOTS).may_send(100.0, 9, 39, NODES, 0.0)


def test_pace_counts_the_requests_of_all_nodes() -> None:
    pace = started()
    limit = allowance_of(pace)
    assert pace.may_send(limit - 1, 0, 0, NODES, 0.0)
    assert not pace.may_send(limit - 0.5, 0, 0, NODES, 0.0)


def test_node_has_only_its_part_of_the_allowance() -> None:
    assert not started().may_send(1.0, 1, 0, NODES, 0.0)


def test_only_some_nodes_have_their_turn_and_each_gets_one() -> None:
    pace = started()
    at_once = math.ceil(allowance_of(pace) * target_pace.NODES_PER_ALLOWANCE)
    turns = [
        {
            rank
            for rank in range(NODES)
            if pace.may_send(0.0, 0, rank, NODES, turn * TURN_OF_NODES_MS)
        }
        for turn in range(NODES)
    ]
    assert all(len(ranks) == at_once for ranks in turns)
    assert set().union(*turns) == set(range(NODES))


def test_target_that_answers_in_time_recovers_soon() -> None:
    pace = started()
    answers = 1
    while not pace.on_answer(1.0, 10.0):
        answers += 1
    assert answers <= SLOTS


def test_late_answers_and_rejections_shrink_the_allowance() -> None:
    pace = started()
    first = allowance_of(pace)
    assert not pace.on_answer(LATE, 0.0)
    second = allowance_of(pace)
    pace.on_rejected(SHRINK_PERIOD_MS)
    assert allowance_of(pace) < second < first


def test_requests_that_fail_at_once_shrink_the_allowance_once() -> None:
    pace = started()
    pace.on_failed(0.0, 0.0)
    once = allowance_of(pace)
    pace.on_failed(0.0, 1.0)
    assert allowance_of(pace) == once


def test_errors_in_a_row_call_for_a_pace_and_an_answer_between_does_not() -> (
    None
):
    pace = TargetPace(SLOTS)
    for _ in range(3):
        assert not pace.on_failed(0.1, 0.0)
        pace.on_answer(1.0, 0.0)
    results = [pace.on_failed(0.1, 0.0) for _ in range(MIN_ERRORS)]
    assert results == [False] * (MIN_ERRORS - 1) + [True]


def test_request_without_an_answer_starts_a_pace_before_its_deadline() -> None:
    pace = TargetPace(SLOTS)
    pace.on_send(1, due_ms=800.0)
    assert not pace.is_overdue(800.0)
    assert pace.is_overdue(801.0)
    pace.on_overdue(801.0)
    assert pace.unlogged is PaceCause.OVERDUE
    pace.on_end(1)
    assert not pace.is_overdue(900.0)


def test_word_of_a_peer_starts_no_pace() -> None:
    pace = started()
    pace.end(2_000.0, PaceCause.RECOVERED)
    pace.on_peer_news(PaceNews(1.0, 4_000.0), 4_100.0)
    assert not pace.is_active


def test_word_of_an_older_pace_changes_nothing() -> None:
    pace = started(5_000.0)
    before = pace.allowance
    pace.on_peer_news(PaceNews(1.0, 1_000.0), 5_100.0)
    pace.on_peer_news(PaceNews(None, 1_000.0), 5_100.0)
    assert pace.allowance == before


def test_peers_word_of_the_end_ends_a_pace_without_an_echo() -> None:
    pace = started()
    pace.has_news = False
    pace.on_peer_news(PaceNews(None, 0.0), 500.0)
    assert not pace.is_active
    assert pace.pop_news() is None


def test_cold_ratio_follows_answers_within_its_bounds() -> None:
    ratio = ColdRatio()
    assert ratio.value == INITIAL_COLD_RATIO
    for _ in range(100):
        ratio.on_answer(0.1)
    assert 1.0 <= ratio.value < 1.1
    for _ in range(100):
        ratio.on_answer(1e9)
    assert MAX_COLD_RATIO - 0.1 < ratio.value <= MAX_COLD_RATIO


class Paces(RuleBasedStateMachine):
    """Some nodes of a fleet send to one target that started.

    Each node knows the requests in flight of all, as in calm conditions;
    word of the allowance is delivered at any later time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.in_flight = [0] * SENDERS
        self.paces = [started() for _ in range(SENDERS)]
        self.news: list[tuple[int, PaceNews]] = []

    @rule()
    def start_again(self) -> None:
        if not any(pace.is_active for pace in self.paces):
            self.in_flight = [0] * SENDERS
            self.now_ms += MAX_PACE_MS
            self.news.clear()
            for pace in self.paces:
                pace.start(self.now_ms, PaceCause.RESTART)
            OCCURRED['started again'] += 1

    @rule(node=st.integers(0, SENDERS - 1))
    def send(self, node: int) -> None:
        for _ in range(SLOTS):
            pace = self.paces[node]
            occupancy = self.occupancy_for(node)
            if pace.is_active and pace.may_send(
                occupancy, self.in_flight[node], node, SENDERS, self.now_ms
            ):
                self.in_flight[node] += 1
                OCCURRED['sent'] += 1

    def sender_from(self, node: int) -> int:
        """Return the next node with a request in flight, if there is one."""
        order = [(node + step) % SENDERS for step in range(SENDERS)]
        return next((name for name in order if self.in_flight[name]), node)

    def occupancy_for(self, node: int) -> int:
        """Return the requests at the target that a node counts."""
        return sum(self.in_flight)

    @rule(
        node=st.integers(0, SENDERS - 1),
        ratio=st.sampled_from([0.5, 1.0, 1.2, 2.0, LATE]),
    )
    def answer(self, node: int, ratio: float) -> None:
        node = self.sender_from(node)
        if not self.in_flight[node]:
            return
        self.in_flight[node] -= 1
        OCCURRED['late' if ratio == LATE else 'answered'] += 1
        pace = self.paces[node]
        if pace.on_answer(ratio, self.now_ms):
            pace.end(self.now_ms, PaceCause.RECOVERED)
            OCCURRED['recovered'] += 1
        self.tell(node)

    @rule(node=st.integers(0, SENDERS - 1), fails=st.booleans())
    def reject(self, node: int, fails: bool) -> None:
        node = self.sender_from(node)
        if not self.in_flight[node]:
            return
        self.in_flight[node] -= 1
        pace = self.paces[node]
        before = pace.allowance
        if not pace.is_active:
            return
        if fails:
            pace.on_failed(0.0, self.now_ms)
        else:
            pace.on_rejected(self.now_ms)
        assert before is not None
        assert allowance_of(pace) <= before, 'grew on a rejection'
        OCCURRED['failed' if fails else 'rejected'] += 1
        self.tell(node)

    def tell(self, node: int) -> None:
        news = self.paces[node].pop_news()
        if news is not None:
            self.news += [
                (other, news) for other in range(SENDERS) if other != node
            ]

    @rule(data=st.data())
    def hear(self, data: st.DataObject) -> None:
        if self.news:
            index = data.draw(st.integers(0, len(self.news) - 1))
            node, news = self.news.pop(index)
            self.paces[node].on_peer_news(news, self.now_ms)
            OCCURRED['heard'] += 1

    @rule(delay_ms=st.sampled_from([10.0, 50.0, TURN_MS, 3_000.0]))
    def wait(self, delay_ms: float) -> None:
        self.now_ms += delay_ms
        for pace in self.paces:
            if pace.has_expired(self.now_ms):
                pace.end(self.now_ms, PaceCause.EXPIRED)
                OCCURRED['expired'] += 1

    @invariant()
    def requests_do_not_add_up(self) -> None:
        if any(pace.is_active for pace in self.paces):
            assert sum(self.in_flight) <= SLOTS, 'ramps add up'

    @invariant()
    def pace_ends(self) -> None:
        for pace in self.paces:
            if pace.is_active:
                age_ms = self.now_ms - pace.started_ms
                assert age_ms < MAX_PACE_MS, 'pace does not end'
                assert allowance_of(pace) >= MIN_ALLOWANCE


def test_paces_of_nodes_stay_within_the_slots_and_end() -> None:
    check_machine(
        Paces,
        OCCURRED,
        (
            'sent',
            'answered',
            'late',
            'failed',
            'rejected',
            'recovered',
            'heard',
            'expired',
            'started again',
        ),
        examples=200,
    )


def test_mutant_whose_ramps_add_up_is_caught() -> None:
    class OwnRequestsOnly(Paces):
        def occupancy_for(self, node: int) -> int:
            return self.in_flight[node]

    check_mutant(OwnRequestsOnly, 'ramps add up')


def test_mutant_whose_ramp_never_ends_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(TargetPace, 'has_expired', lambda *_: False)
    check_mutant(Paces, 'pace does not end')


def test_mutant_that_grows_on_rejections_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def grow(pace: TargetPace, now_ms: float) -> None:
        pace.on_answer(1.0, now_ms)

    monkeypatch.setattr(TargetPace, 'on_rejected', grow)
    check_mutant(Paces, 'grew on a rejection')
