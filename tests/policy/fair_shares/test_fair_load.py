"""A load over several nodes is served by weighted max-min shares."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from gentianbank.policy.fair_shares import service_shares
from gentianbank.policy.fair_shares.admission import ClassAdmission
from gentianbank.policy.fair_shares.service_shares import ServiceShares
from tests.support.machines import check_machine
from tests.support.machines import check_mutant
from tests.support.share_fleet import Callers
from tests.support.share_fleet import Outcomes
from tests.support.share_fleet import ShareFleet

if TYPE_CHECKING:
    import pytest

    from gentianbank.policy.fair_shares.division import Asked
    from gentianbank.policy.fair_shares.division import ClassKey

NODES = 5
SLOTS = 40
SETTLE_S = 20.0
MEASURE_S = 40.0
TOLERANCE = 0.05
# Requests that are under way at the edges of the measured time.
EDGE_REQUESTS = 8
MIN_USED = 0.95
# Comparisons with the fair parts that the run must make.
MIN_SHORT = 15
OCCURRED: Counter[str] = Counter()
REQUIRED = (
    'hot',
    'one domain',
    'retry storm',
    'urgent',
    'node cut off',
    'calm',
    'short',
)


def fair_parts(
    outcomes: Outcomes, callers: list[Callers], room: float
) -> dict[str, float]:
    """Return the fair part of each workspace, found by bisection."""
    asked = {c.name: float(outcomes.asked[c.name]) for c in callers}
    mean = min(1.0, room / sum(asked.values()))
    parts = {name: count * mean / 4 for name, count in asked.items()}
    for priority in sorted({c.priority for c in callers}):
        names = [c.name for c in callers if c.priority == priority]
        others = sum(parts.values()) - sum(parts[name] for name in names)
        low, high = 0.0, max(asked.values())
        floors = dict(parts)
        for _ in range(60):
            level = (low + high) / 2
            for name in names:
                parts[name] = max(floors[name], min(asked[name], level))
            fits = others + sum(parts[name] for name in names) <= room
            low, high = (level, high) if fits else (low, level)
    return parts


class FairLoad(RuleBasedStateMachine):
    """Changes the load, lets it settle and compares with the fair parts."""

    @initialize(seed=st.integers(0, 1_000))
    def start(self, seed: int) -> None:
        self.fleet = ShareFleet(NODES, SLOTS, seed)
        self.by_name = {
            c.name: c
            for c in (
                Callers('hot', 60.0),
                Callers('large', 50.0),
                Callers('near', 40.0, domain=1),
                Callers('small', 5.0),
                Callers('tiny', 2.0, domain=3),
                Callers('urgent', 20.0, priority=0),
            )
        }
        self.fleet.callers = list(self.by_name.values())

    @rule(
        hot=st.sampled_from((100.0, 250.0, 450.0)),
        hot_attempts=st.integers(1, 4),
        near_attempts=st.integers(1, 4),
        domain=st.none() | st.integers(0, NODES - 1),
        urgent=st.sampled_from((20.0, 60.0, 120.0)),
    )
    def load(
        self,
        hot: float,
        hot_attempts: int,
        near_attempts: int,
        domain: int | None,
        urgent: float,
    ) -> None:
        self.by_name['hot'].rate_per_s = hot
        self.by_name['hot'].attempts = hot_attempts
        self.by_name['near'].attempts = near_attempts
        self.by_name['large'].domain = domain
        self.by_name['urgent'].rate_per_s = urgent
        OCCURRED['hot'] += hot > 200.0
        OCCURRED['retry storm'] += max(hot_attempts, near_attempts) > 2
        OCCURRED['one domain'] += domain is not None
        OCCURRED['urgent'] += urgent > 20.0
        self.check()

    @rule(node=st.integers(0, NODES - 1))
    def cut_off_for_a_while(self, node: int) -> None:
        self.fleet.cut = {node}
        self.fleet.run_s(8.0)
        self.fleet.cut = set()
        OCCURRED['node cut off'] += 1

    @rule()
    def calm_down(self) -> None:
        self.by_name['hot'].rate_per_s = 20.0
        self.by_name['urgent'].rate_per_s = 20.0
        self.check()

    def check(self) -> None:
        self.fleet.run_s(SETTLE_S)
        outcomes = self.fleet.run_s(MEASURE_S)
        capacity = self.fleet.capacity_per_s * MEASURE_S
        asked = sum(outcomes.asked.values())
        if asked < 0.9 * capacity:
            OCCURRED['calm'] += 1
            assert not +outcomes.by_share, 'refused with room left'
            return
        if asked < 1.05 * capacity:
            return
        OCCURRED['short'] += 1
        served = sum(outcomes.served.values())
        assert served >= MIN_USED * capacity, 'room left unused'
        parts = fair_parts(outcomes, self.fleet.callers, served)
        mean = served / asked
        for name, part in parts.items():
            got = outcomes.served[name]
            count = outcomes.asked[name]
            slack = TOLERANCE * part + EDGE_REQUESTS
            assert abs(got - part) <= slack, f'unfair: {name} {got} {part}'
            floor = count * mean / 4
            assert got >= floor - slack, f'below the floor: {name}'
        for name in ('small', 'tiny'):
            left = outcomes.asked[name] - outcomes.served[name]
            assert left <= 0.02 * outcomes.asked[name] + 2, f'unfair: {name}'


def test_load_is_served_by_fair_shares() -> None:
    check_machine(FairLoad, OCCURRED, REQUIRED, examples=20, steps=4)
    assert OCCURRED['short'] >= MIN_SHORT


def test_proof_catches_shares_of_single_nodes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Each node would divide the room as if its callers were all.
    def sum_own_only(own: object, heard: object, scale: float) -> object:
        return own

    monkeypatch.setattr(service_shares, 'sum_counts', sum_own_only)
    check_mutant(FairLoad, 'unfair', examples=200, steps=4)


def test_proof_catches_equal_fractions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def divide_in_proportion(
        asked: dict[ClassKey, Asked], room_per_s: float
    ) -> dict[ClassKey, float]:
        total = sum(item.per_s for item in asked.values())
        part = min(1.0, room_per_s / max(total, 1e-9))
        return {key: item.per_s * part for key, item in asked.items()}

    monkeypatch.setattr(service_shares, 'divide_room', divide_in_proportion)
    check_mutant(FairLoad, 'unfair', examples=200, steps=4)


def test_proof_catches_missing_admission(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def admit_all(self: ClassAdmission, *, returning: bool) -> bool:
        return True

    monkeypatch.setattr(ClassAdmission, 'admits', admit_all)
    check_mutant(FairLoad, 'unfair', examples=200, steps=4)


def test_proof_catches_shares_that_never_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clear = ServiceShares._clear

    def keep(self: ServiceShares) -> None:
        if self._room.room_per_s is not None or not self.shares:
            clear(self)

    monkeypatch.setattr(ServiceShares, '_clear', keep)
    check_mutant(FairLoad, 'room left|unfair', examples=200, steps=4)


def test_part_of_the_peers_suffices() -> None:
    fleet = ShareFleet(24, 80, seed=3, peers=10)
    fleet.callers = [
        Callers('hot', 600.0, attempts=3),
        Callers('large', 100.0),
        Callers('near', 100.0, domain=5),
        Callers('small', 10.0),
    ]
    fleet.run_s(SETTLE_S)
    outcomes = fleet.run_s(MEASURE_S)
    parts = fair_parts(outcomes, fleet.callers, sum(outcomes.served.values()))
    # Each node knows the fleet's sums from 11 of 24 nodes only, of which
    # nearly none has callers of the near workspace.
    for name in ('hot', 'large', 'near', 'small'):
        ratio = outcomes.served[name] / parts[name]
        assert 0.75 <= ratio <= 1.25, f'{name}: {ratio}'
