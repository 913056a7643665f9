"""Tests of the nodes among which limits are divided."""

from __future__ import annotations

from gentianbank.policy.fleet_members import FleetMembers
from gentianbank.policy.fleet_members import MEMORY_MS


def test_node_counts_for_some_time_after_its_entry_is_gone() -> None:
    members = FleetMembers()
    members.put('vm-1', 'east')
    members.on_entry_gone('vm-1', 1_000.0)
    members.on_entry_gone('vm-1', 2_000.0)
    members.forget_departed(999.0 + MEMORY_MS)
    assert members.regions == {'vm-1': 'east'}
    members.forget_departed(1_000.0 + MEMORY_MS)
    assert not members.regions


def test_node_that_registers_again_is_not_forgotten() -> None:
    members = FleetMembers()
    members.put('vm-1', 'east')
    members.on_entry_gone('vm-1', 1_000.0)
    members.put('vm-1', 'east')
    members.forget_departed(2_000.0 + MEMORY_MS)
    assert 'vm-1' in members


def test_generation_counts_changes_only() -> None:
    members = FleetMembers()
    members.put('vm-1', 'east')
    before = members.generation
    members.put('vm-1', 'east')
    members.on_entry_gone('vm-1', 1_000.0)
    assert members.generation == before
    members.forget_departed(1_000.0 + MEMORY_MS)
    assert members.generation == before + 1
