"""Division of a service's room."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from gentianbank.policy.fair_shares.division import Asked
from gentianbank.policy.fair_shares.division import ClassKey
from gentianbank.policy.fair_shares.division import divide_room
from gentianbank.policy.fair_shares.division import FLOOR_FRACTION


def _key(name: str, priority: int = 1, route_priority: int = 1) -> ClassKey:
    return ClassKey(name, priority, route_priority)


def _divide(room_per_s: float, **asked_per_s: float) -> dict[str, float]:
    asked = {_key(name): Asked(rate) for name, rate in asked_per_s.items()}
    shares = divide_room(asked, room_per_s)
    return {key.workspace: share for key, share in shares.items()}


def test_room_for_all_serves_all_in_full() -> None:
    assert _divide(10.0, hot=9.0, small=1.0) == {'hot': 9.0, 'small': 1.0}


def test_nobody_asks_for_anything() -> None:
    assert divide_room({}, 10.0) == {}


def test_no_room_serves_nobody() -> None:
    assert _divide(0.0, hot=9.0, small=1.0) == {'hot': 0.0, 'small': 0.0}


def test_small_ones_are_served_in_full_and_the_hot_one_pays() -> None:
    shares = _divide(100.0, hot=200.0, large=60.0, small=10.0)
    assert shares == {
        'hot': pytest.approx(45.0),
        'large': pytest.approx(45.0),
        'small': pytest.approx(10.0),
    }


def test_more_urgent_ones_go_first_above_the_floor_of_others() -> None:
    urgent, other, late = _key('u', 0), _key('o'), _key('l', 1, 2)
    asked = {key: Asked(60.0) for key in (urgent, other, late)}
    shares = divide_room(asked, 90.0)
    floor_per_s = 60.0 * 90.0 / 180.0 * FLOOR_FRACTION
    assert shares[urgent] == pytest.approx(60.0)
    assert shares[late] == pytest.approx(floor_per_s)
    assert shares[other] == pytest.approx(30.0 - floor_per_s)


def test_floor_goes_before_max_min() -> None:
    # Max-min alone would leave the hot one with 10 of 1,000.
    asked = {f's{number}': 10.0 for number in range(10)}
    shares = _divide(100.0, hot=1_000.0, **asked)
    assert shares['hot'] == pytest.approx(1_000.0 * 100 / 1_100 / 4)


def test_retries_raise_the_floor_by_a_bounded_factor() -> None:
    calm = {_key('a', 0): Asked(100.0), _key('b'): Asked(50.0)}
    storm = {_key('a', 0): Asked(100.0), _key('b'): Asked(50.0, 150.0)}
    room_per_s = 100.0
    assert divide_room(storm, room_per_s) == divide_room(calm, room_per_s)


def test_classes_that_are_added_up_count_each() -> None:
    asked = {_key('hot'): Asked(100.0), _key('*'): Asked(60.0, 0.0, 3)}
    shares = divide_room(asked, 80.0)
    assert shares[_key('*')] == pytest.approx(60.0)


_RATES = st.floats(0.0, 1_000.0)


@settings(derandomize=True, database=None, max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(_RATES, _RATES, st.integers(0, 2), st.integers(0, 2)),
        min_size=1,
        max_size=12,
    ),
    st.floats(0.1, 2_000.0),
)
def test_room_is_used_up_and_nobody_is_below_the_floor(
    rows: list[tuple[float, float, int, int]], room_per_s: float
) -> None:
    asked = {
        ClassKey(f'w{number}', priority, route): Asked(new, returning)
        for number, (new, returning, priority, route) in enumerate(rows)
    }
    shares = divide_room(asked, room_per_s)
    attempts_per_s = sum(item.per_s for item in asked.values())
    distinct_per_s = sum(item.distinct_per_s for item in asked.values())
    total_per_s = sum(shares.values())
    assert total_per_s == pytest.approx(min(room_per_s, attempts_per_s))
    for key, item in asked.items():
        assert shares[key] <= item.per_s * (1 + 1e-9)
        if distinct_per_s > room_per_s:
            mean = room_per_s / distinct_per_s
            floor_per_s = FLOOR_FRACTION * mean * item.distinct_per_s
            assert shares[key] >= floor_per_s * (1 - 1e-9)
