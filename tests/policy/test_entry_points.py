"""Tests of the choice of entry VMs for a caller."""

from __future__ import annotations

import pytest

from gentianbank.domain.registration import NodeRegistration
from gentianbank.policy.entry_points import choose_entry_points


def node(number: int, region: str, failure_domain: str) -> NodeRegistration:
    return NodeRegistration(
        vm=f'vm-{number}',
        region=region,
        failure_domain=failure_domain,
        callers=f'10.0.0.{number}:80',
        peers=f'10.0.0.{number}:81',
    )


NODES = [
    node(1, 'east', 'east-1'),
    node(2, 'east', 'east-2'),
    node(3, 'west', 'west-1'),
]


@pytest.mark.parametrize(
    ('region', 'failure_domain', 'expected'),
    [
        ('east', 'east-1', ('10.0.0.1:80',)),
        ('east', 'east-3', ('10.0.0.1:80', '10.0.0.2:80')),
        ('south', 'south-1', ('10.0.0.1:80', '10.0.0.2:80', '10.0.0.3:80')),
    ],
)
def test_entry_points_are_the_nearest_nodes(
    region: str, failure_domain: str, expected: tuple[str, ...]
) -> None:
    assert choose_entry_points(NODES, region, failure_domain) == expected


def test_entry_points_are_empty_without_nodes() -> None:
    assert choose_entry_points([], 'east', 'east-1') == ()
