"""Tests of the shares of requests that other regions serve."""

from __future__ import annotations

import itertools

from gentianbank.policy.region_shares import BUSY_FRACTION_OF_LARGE
from gentianbank.policy.region_shares import RegionLoad
from gentianbank.policy.region_shares import RegionShares
from gentianbank.policy.region_shares import STEP_MS

RATE_PER_S = 0.03
IDLE_LOADS = {
    'west': RegionLoad(0, 12),
    'east': RegionLoad(0, 60),
    'hills': RegionLoad(0, 60),
}


def build_shares() -> RegionShares:
    return RegionShares('west', RATE_PER_S)


def run_steps(
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


def test_start_shifts_the_excess_of_a_small_region() -> None:
    shares = build_shares()
    shares.set_initial_shares(IDLE_LOADS)
    assert sum(shares.shares.values()) == 1 - 12 / 44
    assert shares.shares['east'] == shares.shares['hills']


def test_start_shifts_nothing_from_a_large_region() -> None:
    shares = RegionShares('east', RATE_PER_S)
    shares.set_initial_shares(IDLE_LOADS)
    assert not shares.shares


def test_shares_change_within_the_allowed_rate() -> None:
    shares = build_shares()
    busy = IDLE_LOADS | {'west': RegionLoad(12, 12)}
    sums = run_steps(shares, busy, 10) + run_steps(
        shares, IDLE_LOADS, 20, 10_000.0
    )
    changes = [abs(b - a) for a, b in itertools.pairwise(sums)]
    assert max(changes) <= RATE_PER_S * 2 * STEP_MS / 1_000 + 1e-9
    assert max(sums) > 0.2


def test_busy_region_sends_nothing_to_a_busier_one() -> None:
    shares = build_shares()
    loads = IDLE_LOADS | {
        'west': RegionLoad(10, 12),
        'east': RegionLoad(60, 60),
        'hills': RegionLoad(30, 60),
    }
    run_steps(shares, loads, 5)
    assert set(shares.shares) == {'hills'}


def test_idle_region_takes_its_requests_back() -> None:
    shares = build_shares()
    shares.set_initial_shares(IDLE_LOADS)
    assert run_steps(shares, IDLE_LOADS, 60)[-1] == 0


def test_region_without_targets_sends_all_elsewhere() -> None:
    shares = build_shares()
    loads = IDLE_LOADS | {'west': RegionLoad(0, 0)}
    shares.step(loads, 0.0)
    assert sum(shares.shares.values()) == 1


def test_share_of_a_region_whose_targets_name_limits_goes_to_the_others() -> (
    None
):
    shares = build_shares()
    shares.set_initial_shares(IDLE_LOADS)
    before = sum(shares.shares.values())
    limited = RegionLoad(0, 0, is_limited=True)
    shares.step(IDLE_LOADS | {'hills': limited}, STEP_MS)
    assert set(shares.shares) == {'east'}
    # The home region and the other one get it by their free slots.
    assert 0.7 * before <= shares.shares['east'] <= before


def test_share_of_a_region_whose_targets_are_cold_stays() -> None:
    shares = build_shares()
    shares.set_initial_shares(IDLE_LOADS)
    before = shares.shares['hills']
    shares.step(IDLE_LOADS | {'hills': RegionLoad(0, 0)}, STEP_MS)
    assert shares.shares['hills'] >= 0.9 * before


def test_share_stays_while_no_region_has_targets_that_can_be_used() -> None:
    shares = build_shares()
    shares.set_initial_shares(IDLE_LOADS)
    before = dict(shares.shares)
    nothing = RegionLoad(0, 0, is_limited=True)
    shares.step(dict.fromkeys(IDLE_LOADS, nothing), STEP_MS)
    assert shares.shares == before


def test_objects_keep_their_region_while_the_shares_hold() -> None:
    shares = build_shares()
    shares.set_initial_shares(IDLE_LOADS)
    topics = [f'read/{number}' for number in range(500)]
    regions = [shares.region_of(topic) for topic in topics]
    assert regions == [shares.region_of(topic) for topic in topics]
    assert 0.2 < regions.count('west') / 500 < 0.35


def test_overflow_is_limited_to_few_requests() -> None:
    shares = build_shares()
    overflowed = 0
    for number in range(200):
        shares.on_request(number * 5.0)
        if shares.may_overflow(number * 5.0):
            shares.on_overflow(number * 5.0)
            overflowed += 1
    assert 0 < overflowed <= 10


def test_small_traffic_shifts_faster_within_the_total_rate() -> None:
    busy = IDLE_LOADS | {'west': RegionLoad(12, 12)}
    shifts = {}
    for request_fraction in (0.05, 0.5, 1.0):
        shares = build_shares()
        shares.step(busy, 0.0, request_fraction)
        shares.step(busy, STEP_MS, request_fraction)
        shifts[request_fraction] = sum(shares.shares.values()) / 2
    normal_shift = RATE_PER_S * STEP_MS / 1_000
    assert shifts[0.5] <= 2 * normal_shift
    assert shifts[0.05] > 3 * normal_shift
    # As a share of all requests, the shift stays within the normal rate.
    assert shifts[0.05] * 0.05 <= normal_shift


def test_large_answers_stay_until_the_region_is_nearly_full() -> None:
    busy = IDLE_LOADS | {'west': RegionLoad(9, 12)}
    full = IDLE_LOADS | {'west': RegionLoad(12, 12)}
    shares = RegionShares('west', RATE_PER_S, BUSY_FRACTION_OF_LARGE)
    assert max(run_steps(shares, busy, 5)) == 0
    assert max(run_steps(shares, full, 5, 5_000.0)) > 0.1
