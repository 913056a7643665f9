"""Running of state machines, and of mutants that they must catch."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test
import pytest

if TYPE_CHECKING:
    from collections import Counter

EXAMPLES = 60
# A mutant ends its run as soon as it is caught.
MUTANT_EXAMPLES = 2_000
STEPS = 40


def machine_settings(
    examples: int = EXAMPLES, steps: int = STEPS, *, shrink: bool = True
) -> settings:
    """Return settings under which every run does the same."""
    phases = [Phase.generate] + ([Phase.shrink] if shrink else [])
    return settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        stateful_step_count=steps,
        phases=phases,
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )


def check_machine(
    machine: type[RuleBasedStateMachine],
    fired: Counter[str],
    faults: tuple[str, ...],
    examples: int = EXAMPLES,
    steps: int = STEPS,
) -> None:
    """Run a machine; every fault must have occurred in its runs."""
    fired.clear()
    run_state_machine_as_test(
        machine, settings=machine_settings(examples, steps)
    )
    missing = [fault for fault in faults if not fired[fault]]
    assert not missing, f'never occurred: {missing}; occurred: {fired}'


def check_mutant(
    machine: type[RuleBasedStateMachine],
    match: str,
    examples: int = MUTANT_EXAMPLES,
    steps: int = STEPS,
) -> None:
    """Run a machine on a broken mechanism; it must find the fault."""
    with pytest.raises(AssertionError, match=match):
        run_state_machine_as_test(
            machine, settings=machine_settings(examples, steps, shrink=False)
        )
