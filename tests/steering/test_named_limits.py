"""Tests of the limits that targets name to all nodes together."""

from __future__ import annotations

import pytest

from tests.support.fleet import allowed_requests
from tests.support.fleet import Fleet
from tests.support.fleet import regions_of

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
