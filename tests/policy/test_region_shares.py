"""Tests of the shares of requests that other regions serve."""

from __future__ import annotations

import itertools

from gentianbank.policy.region_shares import BUSY_FRACTION_OF_LARGE
from gentianbank.policy.region_shares import RegionLoad
from gentianbank.policy.region_shares import RegionShares
from gentianbank.policy.region_shares import STEP_MS

RATE_PER_S = 0.03
SMALL = {
    'west': RegionLoad(0, 12),
    'east': RegionLoad(0, 60),
    'hills': RegionLoad(0, 60),
}


def build() -> RegionShares:
    return RegionShares('west', RATE_PER_S)


def run(
    shares: RegionShares,
    loads: dict[str, RegionLoad],
    seconds: float,
    start_ms: float = 0.0,
) -> list[float]:
    sums = []
    now_ms = start_ms
    while now_ms < start_ms + seconds * 1_000:
        shares.step(loads, now_ms)
        sums.append(sum(shares.shares.values()))
        now_ms += STEP_MS
    return sums


def test_small_region_begins_with_its_part_of_the_slots() -> None:
    shares = build()
    shares.start(SMALL)
    assert sum(shares.shares.values()) == 1 - 12 / 44
    assert shares.shares['east'] == shares.shares['hills']


def test_large_region_begins_at_home() -> None:
    shares = RegionShares('east', RATE_PER_S)
    shares.start(SMALL)
    assert not shares.shares


def test_parts_never_move_faster_than_allowed() -> None:
    shares = build()
    busy = SMALL | {'west': RegionLoad(12, 12)}
    sums = run(shares, busy, 10) + run(shares, SMALL, 20, 10_000.0)
    moves = [abs(b - a) for a, b in itertools.pairwise(sums)]
    assert max(moves) <= RATE_PER_S * 2 * STEP_MS / 1_000 + 1e-9
    assert max(sums) > 0.2


def test_busy_region_sends_nothing_to_a_busier_one() -> None:
    shares = build()
    loads = SMALL | {
        'west': RegionLoad(10, 12),
        'east': RegionLoad(60, 60),
        'hills': RegionLoad(30, 60),
    }
    run(shares, loads, 5)
    assert set(shares.shares) == {'hills'}


def test_calm_region_takes_its_requests_back() -> None:
    shares = build()
    shares.start(SMALL)
    assert run(shares, SMALL, 60)[-1] == 0


def test_region_without_targets_sends_all_elsewhere() -> None:
    shares = build()
    loads = SMALL | {'west': RegionLoad(0, 0)}
    shares.step(loads, 0.0)
    assert sum(shares.shares.values()) == 1


def test_shift_objects_keep_their_region_while_the_parts_hold() -> None:
    shares = build()
    shares.start(SMALL)
    topics = [f'read/{number}' for number in range(500)]
    regions = [shares.region_of(topic) for topic in topics]
    assert regions == [shares.region_of(topic) for topic in topics]
    assert 0.2 < regions.count('west') / 500 < 0.35


def test_shift_few_requests_overflow() -> None:
    shares = build()
    overflowed = 0
    for number in range(200):
        shares.on_request(number * 5.0)
        if shares.may_overflow(number * 5.0):
            shares.on_overflow(number * 5.0)
            overflowed += 1
    assert 0 < overflowed <= 10


def test_few_requests_move_faster_within_the_bound_for_all() -> None:
    busy = SMALL | {'west': RegionLoad(12, 12)}
    moved = {}
    for part in (0.05, 0.5, 1.0):
        shares = build()
        shares.step(busy, 0.0, part)
        shares.step(busy, STEP_MS, part)
        moved[part] = sum(shares.shares.values()) / 2
    usual = RATE_PER_S * STEP_MS / 1_000
    assert moved[0.5] <= 2 * usual
    assert moved[0.05] > 3 * usual
    # As a share of all requests, the shift stays within the normal rate.
    assert moved[0.05] * 0.05 <= usual


def test_large_answers_stay_until_the_region_is_nearly_full() -> None:
    half = SMALL | {'west': RegionLoad(9, 12)}
    full = SMALL | {'west': RegionLoad(12, 12)}
    shares = RegionShares('west', RATE_PER_S, BUSY_FRACTION_OF_LARGE)
    assert max(run(shares, half, 5)) == 0
    assert max(run(shares, full, 5, 5_000.0)) > 0.1
