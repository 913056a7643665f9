"""Tests of budgets for memory."""

from __future__ import annotations

from gentianbank.policy.buffer_budget import BufferBudget
from gentianbank.policy.buffer_budget import JointBudget


def test_joint_budget_takes_from_all_or_from_none() -> None:
    large, small = BufferBudget(100), BufferBudget(10)
    joint = JointBudget((large, small))
    assert joint.try_take(8)
    assert not joint.try_take(8)
    assert (large.used_bytes, small.used_bytes) == (8, 8)
    joint.give_back(8)
    assert (large.left_bytes, small.left_bytes) == (100, 10)
