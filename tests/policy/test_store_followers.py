"""Tests of the choice of followers and of the role of a node."""

from __future__ import annotations

import pytest

from gentianbank.policy.store_followers import choose_followers
from gentianbank.policy.store_followers import decide_role
from gentianbank.policy.store_followers import FRESH_MS
from gentianbank.policy.store_followers import MIN_REGION_NODES
from gentianbank.policy.store_followers import StoreRole

NODES = [f'vm-{number}' for number in range(30)]


def test_followers_do_not_depend_on_the_order_of_the_nodes() -> None:
    chosen = choose_followers(NODES, (), 2)
    assert len(chosen) == 2
    assert choose_followers(NODES[::-1], (), 2) == chosen


def test_lost_follower_is_replaced_and_the_other_one_stays() -> None:
    first, second = choose_followers(NODES, (), 2)
    replaced = choose_followers(NODES, {first}, 2)
    assert first not in replaced
    assert second in replaced
    assert len(replaced) == 2


def test_small_region_has_no_followers() -> None:
    assert not choose_followers(NODES[: MIN_REGION_NODES - 1], (), 2)
    assert choose_followers(NODES[:MIN_REGION_NODES], (), 2)


def test_no_followers_are_chosen_unless_set() -> None:
    assert not choose_followers(NODES, (), 0)


@pytest.mark.parametrize(
    ('followers', 'age_ms', 'role'),
    [
        ((), 0.0, StoreRole.ALONE),
        (('me', 'vm-1'), 0.0, StoreRole.FOLLOWER),
        (('vm-1',), None, StoreRole.READER),
        (('vm-1',), FRESH_MS, StoreRole.PASSIVE),
        (('vm-1',), FRESH_MS + 1, StoreRole.READER),
    ],
)
def test_role_follows_from_followers_and_age(
    followers: tuple[str, ...], age_ms: float | None, role: StoreRole
) -> None:
    assert decide_role('me', followers, age_ms) is role
