"""Tests of what holds after the store was restored from an older copy."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from gentianbank.policy import restored_store
from gentianbank.policy.restored_store import CAUTION_MS
from gentianbank.policy.restored_store import GONE_MEMORY_MS
from gentianbank.policy.restored_store import GoneTargets
from gentianbank.policy.restored_store import KnownBefore
from gentianbank.policy.restored_store import TargetUse
from tests.support.machines import check_machine
from tests.support.machines import check_mutant

if TYPE_CHECKING:
    from collections.abc import Callable

REVISION = 100
TARGETS = ('i-1', 'i-2', 'i-3')
TARGET = st.sampled_from(TARGETS)
FAULTS = ('gone', 'drained', 'restored', 'written', 'copied', 'over')
COUNTS: Counter[str] = Counter()


def known(**changes: object) -> KnownBefore:
    """Return what was known at a restore, with a target of each kind."""
    fields: dict[str, object] = {
        'revision': REVISION,
        'ends_ms': CAUTION_MS,
        'evacuated': frozenset({'east-1'}),
        'draining': {'i-1': 50},
        'gone': {'i-2': 50},
    }
    return KnownBefore(**(fields | changes))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ('target_id', 'born_ms', 'revision', 'use'),
    [
        ('i-1', 50, REVISION, TargetUse.DRAINING),
        ('i-1', 51, REVISION, TargetUse.AS_STORED),
        ('i-1', 0, REVISION, TargetUse.DRAINING),
        ('i-1', 50, REVISION + 1, TargetUse.AS_STORED),
        ('i-2', 50, REVISION, TargetUse.UNUSED),
        ('i-2', 49, REVISION, TargetUse.UNUSED),
        ('i-2', 51, REVISION, TargetUse.AS_STORED),
        ('i-2', 50, REVISION + 1, TargetUse.AS_STORED),
        ('i-3', 50, REVISION, TargetUse.AS_STORED),
    ],
)
def test_copy_does_not_bring_a_target_back(
    target_id: str, born_ms: int, revision: int, use: TargetUse
) -> None:
    assert known().use_of_target(target_id, born_ms, revision) is use


def test_target_without_a_start_is_held_too() -> None:
    before = known(gone={'i-2': 0})
    assert before.use_of_target('i-2', 0, REVISION) is TargetUse.UNUSED


def test_entry_that_was_written_again_ends_the_caution() -> None:
    before = known()
    before.use_of_target('i-2', 50, REVISION + 1)
    assert before.use_of_target('i-2', 50, REVISION) is TargetUse.AS_STORED


def test_evacuation_ends_with_its_removal_from_the_restored_store() -> None:
    before = known()
    before.on_evacuated('east-1', REVISION)
    assert before.evacuated == {'east-1'}
    before.on_evacuation_removed('east-1')
    assert not before.evacuated


def test_evacuation_that_was_written_again_is_left_to_the_store() -> None:
    before = known()
    before.on_evacuated('east-1', REVISION + 1)
    assert not before.evacuated


def test_caution_ends() -> None:
    assert not known().is_over(CAUTION_MS - 1)
    assert known().is_over(CAUTION_MS)


def test_gone_targets_are_remembered_for_some_time() -> None:
    gone = GoneTargets()
    gone.put('i-1', 50, 0.0)
    gone.put('i-2', 60, 1_000.0)
    assert gone.recent(GONE_MEMORY_MS - 1) == {'i-1': 50, 'i-2': 60}
    assert gone.recent(GONE_MEMORY_MS) == {'i-2': 60}
    gone.forget('i-2')
    assert not gone.recent(GONE_MEMORY_MS)


def test_target_that_goes_again_is_remembered_from_then_on() -> None:
    gone = GoneTargets()
    gone.put('i-1', 50, 0.0)
    gone.put('i-2', 60, 1_000.0)
    gone.put('i-1', 70, 2_000.0)
    assert gone.recent(GONE_MEMORY_MS + 1_500) == {'i-1': 70}


def test_gone_targets_are_limited_in_number(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(restored_store, 'MAX_GONE_TARGETS', 2)
    gone = GoneTargets()
    for number in range(4):
        gone.put(f'i-{number}', 50, 0.0)
    assert gone.recent(0.0) == {'i-2': 50, 'i-3': 50}


@dataclass(frozen=True, slots=True)
class Written:
    """An entry of a target; ``None`` for no start when it is gone."""

    born_ms: int
    is_draining: bool
    revision: int


class RestoreMachine(RuleBasedStateMachine):
    """A store, a node that has read all of it, and one restore.

    The model is the history: what the last change of each target before the
    restore said, and what was written after it.
    """

    @initialize(born_ms=st.sampled_from((0, 50)))
    def begin(self, born_ms: int) -> None:
        self.now_ms = 0.0
        self.revision = 10
        self.born_ms = born_ms
        self.gone = GoneTargets()
        self.caution: KnownBefore | None = None
        self.store: dict[str, Written] = {}
        self.last_gone: dict[str, tuple[int, float]] = {}
        self.copies: list[dict[str, Written]] = []
        self.rewritten: set[str] = set()
        for name in TARGETS:
            self.write(name, draining=False, restarted=False)

    @rule(name=TARGET, draining=st.booleans(), restarted=st.booleans())
    def write(self, name: str, draining: bool, restarted: bool) -> None:
        self.revision += 1
        if restarted:
            self.born_ms += 10
        born_ms = self.born_ms
        if name in self.store and not restarted:
            born_ms = self.store[name].born_ms
        self.store[name] = Written(born_ms, draining, self.revision)
        if self.caution:
            COUNTS['written'] += 1
            self.rewritten.add(name)
            self.read(name)
            return
        COUNTS['drained'] += draining
        self.gone.forget(name)
        self.last_gone.pop(name, None)

    @precondition(lambda self: not self.caution)
    @rule(name=TARGET)
    def leave(self, name: str) -> None:
        entry = self.store.pop(name, None)
        if entry:
            COUNTS['gone'] += 1
            self.revision += 1
            self.gone.put(name, entry.born_ms, self.now_ms)
            self.last_gone[name] = (entry.born_ms, self.now_ms)

    @precondition(lambda self: not self.caution)
    @rule()
    def copy(self) -> None:
        self.copies.append(dict(self.store))

    @rule(wait_ms=st.sampled_from((100.0, 4_000.0, 20_000.0)))
    def wait(self, wait_ms: float) -> None:
        self.now_ms += wait_ms

    @precondition(lambda self: not self.caution and self.copies)
    @rule(number=st.integers(0, 3))
    def restore(self, number: int) -> None:
        COUNTS['restored'] += 1
        self.before = dict(self.store)
        self.gone_before = {
            name: born_ms
            for name, (born_ms, gone_ms) in self.last_gone.items()
            if self.now_ms - gone_ms < GONE_MEMORY_MS
        }
        self.store = dict(self.copies[number % len(self.copies)])
        revisions = [entry.revision for entry in self.store.values()]
        self.revision = max(revisions, default=0)
        self.restored_ms = self.now_ms
        self.caution = KnownBefore(
            revision=self.revision,
            ends_ms=self.now_ms + CAUTION_MS,
            evacuated=frozenset(),
            draining={
                name: entry.born_ms
                for name, entry in self.before.items()
                if entry.is_draining
            },
            gone=self.gone.recent(self.now_ms),
        )

    @precondition(lambda self: self.caution)
    @rule(name=TARGET)
    def read(self, name: str) -> None:
        entry = self.store.get(name)
        if not entry:
            return
        assert self.caution
        is_over = self.caution.is_over(self.now_ms)
        expected = self.now_ms - self.restored_ms >= CAUTION_MS
        assert is_over == expected, 'does not end in time'
        use = self.caution.use_of_target(name, entry.born_ms, entry.revision)
        if is_over:
            COUNTS['over'] += 1
        elif name in self.rewritten:
            assert use is TargetUse.AS_STORED, 'written again and held back'
        else:
            self.check_copied(name, entry, use)

    def check_copied(self, name: str, entry: Written, use: TargetUse) -> None:
        COUNTS['copied'] += 1
        if name in self.gone_before:
            if entry.born_ms <= self.gone_before[name]:
                assert use is TargetUse.UNUSED, 'gone target is used'
            return
        known = self.before.get(name)
        if known and known.is_draining and entry.born_ms <= known.born_ms:
            assert use is TargetUse.DRAINING, 'not used as one that drains'
            return
        assert use is TargetUse.AS_STORED, 'nothing speaks against it'


def test_no_copy_brings_a_target_back() -> None:
    """Guards against use of a target that had left before a restore."""
    check_machine(RestoreMachine, COUNTS, FAULTS)


def _forget_gone(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(GoneTargets, 'recent', lambda self, now_ms: {})


def _believe_the_copy(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(KnownBefore, 'use_of_target', lambda *_: TargetUse.AS_STORED)


def _ignore_what_is_written(patch: pytest.MonkeyPatch) -> None:
    use = KnownBefore.use_of_target
    patch.setattr(
        KnownBefore,
        'use_of_target',
        lambda self, target_id, born_ms, _: use(self, target_id, born_ms, 0),
    )


def _ignore_that_targets_come_back(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(GoneTargets, 'forget', lambda self, target_id: None)


def _end_never(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(KnownBefore, 'is_over', lambda self, now_ms: False)


@pytest.mark.parametrize(
    ('mutate', 'match'),
    [
        (_forget_gone, 'gone target is used'),
        (_believe_the_copy, 'gone target is used|as one that drains'),
        (_ignore_what_is_written, 'written again'),
        (_ignore_that_targets_come_back, 'nothing speaks|as one that drains'),
        (_end_never, 'does not end in time'),
    ],
)
def test_machine_catches_mutant(
    mutate: Callable[[pytest.MonkeyPatch], None],
    match: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a state machine that no longer sees a broken rule."""
    mutate(monkeypatch)
    check_mutant(RestoreMachine, match)
