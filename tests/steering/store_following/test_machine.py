"""Model test: copies of the store under faults of followers and links.

The tests named ``test_mutant_...`` break a mechanism and check that the
machine then fails.
"""

from __future__ import annotations

from collections import Counter
from typing import Any
from typing import TYPE_CHECKING

from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from gentianbank.policy import store_followers
from gentianbank.steering.store_following import following
from gentianbank.steering.store_following import newest_values
from gentianbank.steering.store_following.store_sync import StoreSync
from tests.support.machines import check_machine
from tests.support.machines import check_mutant
from tests.support.store_fleet import StoreFleet

if TYPE_CHECKING:
    import pytest

    from gentianbank.storage.prefix_store import Changes

NODES = 9
EXAMPLES = 60
MUTANT_EXAMPLES = 400
STEPS = 25
OCCURRED: Counter[str] = Counter()
REQUIRED = (
    'change',
    'burst',
    'compact',
    'kill',
    'kill all followers',
    'freeze',
    'freeze all followers',
    'refuse',
    'silent',
    'slow',
    'store out',
    'stall',
    'stall all of a node',
    'slow links',
    'large versions',
    'restore',
    'restore at once',
    'restore with the counter behind',
    'restore with the counter past',
    'restore with silent watches',
    'restore with late messages',
    'restore with a node turned away',
    'restore twice',
)
LARGE_BYTES = 200_000

vms = st.sampled_from([f'vm-{number}' for number in range(NODES)])
domains = st.sampled_from(('east-1', 'east-2', 'east-3'))


class Copies(RuleBasedStateMachine):
    """Each copy stays true and in time whatever fails."""

    @initialize()
    def start(self) -> None:
        self.fleet = StoreFleet(NODES)

    def teardown(self) -> None:
        if hasattr(self, 'fleet'):
            self.fleet.loop.end()

    @rule(domain=domains, seconds=st.sampled_from((0.0, 0.2, 0.5)))
    def change(self, domain: str, seconds: float) -> None:
        self._toggle(domain)
        self.fleet.advance(seconds)
        OCCURRED['change'] += 1

    @rule(count=st.integers(2, 30))
    def burst(self, count: int) -> None:
        for number in range(count):
            self._toggle(f'east-{number % 3}')
            if number % 5 == 0:
                self.fleet.advance(0.1)
        OCCURRED['burst'] += 1

    @rule(count=st.integers(1, 4), domain=domains)
    def large_versions(self, count: int, domain: str) -> None:
        """Write versions whose changes are too large for one answer."""
        for number in range(count):
            self.fleet.log.write('op/config', b'%*d' % (LARGE_BYTES, number))
            self._toggle(domain)
            self._toggle(f'east-{number % 3 + 1}')
        OCCURRED['large versions'] += 1

    @rule()
    def compact(self) -> None:
        self.fleet.log.compact()
        OCCURRED['compact'] += 1

    @rule(seconds=st.sampled_from((0.1, 0.9, 1.5, 3.0, 6.0)))
    def advance(self, seconds: float) -> None:
        self.fleet.advance(seconds)

    @rule(vm=vms)
    def kill(self, vm: str) -> None:
        self.fleet.kill(vm)
        OCCURRED['kill'] += 1

    @rule()
    def start_killed(self) -> None:
        for vm, node in self.fleet.nodes.items():
            if not node.is_alive:
                self.fleet.start(vm)
                return

    @rule(fault=st.sampled_from(('kill', 'freeze', 'refuse', 'silent')))
    def fail_all_followers(self, fault: str) -> None:
        for vm in self.fleet.followers:
            match fault:
                case 'kill':
                    self.fleet.kill(vm)
                case 'freeze':
                    self.fleet.freeze(vm)
                case _:
                    self.fleet.nodes[vm].store.fault = fault
            OCCURRED[f'{fault} all followers'] += 1

    @rule(vm=vms)
    def freeze(self, vm: str) -> None:
        self.fleet.freeze(vm)
        OCCURRED['freeze'] += 1

    @rule()
    def thaw_all(self) -> None:
        for vm in self.fleet.nodes:
            self.fleet.thaw(vm)

    @rule(vm=vms, fault=st.sampled_from(('refuse', 'silent')))
    def refuse(self, vm: str, fault: str) -> None:
        self.fleet.nodes[vm].store.fault = fault
        OCCURRED[fault] += 1

    @rule(seconds=st.sampled_from((0.5, 3.0)))
    def store_out(self, seconds: float) -> None:
        for node in self.fleet.nodes.values():
            node.store.fault = 'refuse'
        self.fleet.advance(seconds)
        self.mend_store()
        OCCURRED['store out'] += 1

    @rule()
    def mend_store(self) -> None:
        for node in self.fleet.nodes.values():
            node.store.fault = ''

    @rule(follower=st.integers(0, 1), delay_s=st.sampled_from((0.3, 0.6)))
    def slow(self, follower: int, delay_s: float) -> None:
        names = self.fleet.followers
        if names:
            vm = names[follower % len(names)]
            self.fleet.nodes[vm].slow_store(delay_s)
            OCCURRED['slow'] += 1

    @rule(first=vms, second=vms)
    def stall(self, first: str, second: str) -> None:
        self.fleet.stall_link(first, second)
        OCCURRED['stall'] += 1

    @rule(vm=vms)
    def stall_all_of_a_node(self, vm: str) -> None:
        for other in self.fleet.nodes:
            self.fleet.stall_link(vm, other)
        OCCURRED['stall all of a node'] += 1

    @rule(domain=domains, delay_s=st.sampled_from((0.4, 0.8)))
    def slow_links(self, domain: str, delay_s: float) -> None:
        self.fleet.slow_links(delay_s)
        self.fleet.advance(1.5)
        self._toggle(domain)
        self.fleet.advance(1.0)
        self.fleet.mend_links()
        OCCURRED['slow links'] += 1

    @rule(
        age_s=st.sampled_from((0.5, 2.0, 5.0, 10.0)),
        away_s=st.sampled_from((0.0, 0.1, 1.0, 5.0)),
        changes=st.sampled_from((0, 1, 10, 40)),
        are_watches_silent=st.booleans(),
    )
    def restore(
        self,
        age_s: float,
        away_s: float,
        changes: int,
        are_watches_silent: bool,
    ) -> None:
        """Restore the store; others write before the nodes ask again."""
        lost = self.fleet.log.revision
        self.fleet.restore_store(
            age_s, away_s, are_watches_silent=are_watches_silent
        )
        for number in range(changes):
            self._toggle(f'east-{number % 3 + 1}')
        is_past = self.fleet.log.revision > lost
        counter = 'past' if is_past else 'behind'
        OCCURRED[f'restore with the counter {counter}'] += 1
        OCCURRED['restore'] += 1
        if not away_s:
            OCCURRED['restore at once'] += 1
        if are_watches_silent:
            OCCURRED['restore with silent watches'] += 1

    @rule(
        domain=domains,
        delay_s=st.sampled_from((0.4, 0.8)),
        changes=st.sampled_from((0, 10)),
    )
    def restore_with_late_messages(
        self, domain: str, delay_s: float, changes: int
    ) -> None:
        """Let messages of the old era come in the new one."""
        self.fleet.slow_links(delay_s)
        self.fleet.advance(0.5)
        self._toggle(domain)
        self.fleet.advance(0.4)
        self.restore(2.0, 0.0, changes, are_watches_silent=False)
        self.fleet.advance(1.0)
        self.fleet.mend_links()
        OCCURRED['restore with late messages'] += 1

    @rule(vm=vms, domain=domains, changes=st.sampled_from((0, 10)))
    def restore_with_a_node_turned_away(
        self, vm: str, domain: str, changes: int
    ) -> None:
        self.fleet.nodes[vm].store.fault = 'refuse'
        self._toggle(domain)
        self.fleet.advance(1.0)
        self.restore(2.0, 0.1, changes, are_watches_silent=False)
        self.fleet.advance(1.5)
        self._toggle(domain)
        OCCURRED['restore with a node turned away'] += 1

    @rule(seconds=st.sampled_from((0.0, 0.3, 1.0)))
    def restore_twice(self, seconds: float) -> None:
        self.restore(2.0, 0.1, 10, are_watches_silent=False)
        self.fleet.advance(seconds)
        self.restore(2.0, 0.0, 10, are_watches_silent=False)
        OCCURRED['restore twice'] += 1

    @rule()
    def mend_links(self) -> None:
        self.fleet.mend_links()

    def _toggle(self, domain: str) -> None:
        key = f'op/evacuate/{domain}'
        if key in self.fleet.log.values:
            self.fleet.log.remove(key)
        else:
            self.fleet.log.write(key, b'{}')


def test_copies_stay_true_and_in_time() -> None:
    check_machine(Copies, OCCURRED, REQUIRED, EXAMPLES, STEPS)


def catch(match: str, examples: int = MUTANT_EXAMPLES) -> None:
    check_mutant(Copies, match, examples, STEPS)


def test_mutant_whose_copy_goes_back_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def apply_all(self: Any, changes: Changes) -> None:
        for event in changes.events:
            self._record_change(event)
            self._entries.apply(event)
        self._revision = changes.revision

    monkeypatch.setattr(StoreSync, '_apply_changes', apply_all)
    catch('copy went back|copy differs')


def test_mutant_that_forgets_removals_beside_large_versions_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    merge = newest_values.merge
    monkeypatch.setattr(
        newest_values,
        'merge',
        lambda listing, possible_keys, others, after_revision: merge(
            listing, (), others, after_revision
        ),
    )
    catch('copy differs')


def test_mutant_that_trusts_a_follower_past_its_time_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_followers, 'FRESH_MS', 6_000.0)
    monkeypatch.setattr(following, 'FRESH_MS', 6_000.0)
    # Such a copy also keeps what was known before a restore for too long.
    catch('change late|copy differs', 2_000)


def test_mutant_that_skips_a_gap_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def apply(self: Any, after_revision: int, changes: Changes) -> bool:
        if self._revision:
            self._apply_changes(changes)
        return bool(self._revision)

    monkeypatch.setattr(StoreSync, 'apply_follower_changes', apply)
    catch('copy differs|age of the copy')


def test_mutant_that_takes_held_up_messages_for_new_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    on_update = following.StoreFollowing._on_update

    def take_for_new(self: Any, vm: str, update: Any) -> None:
        self._trust.on_echo(vm, self._boot_clock(), update.sent_ms)
        on_update(self, vm, update)

    monkeypatch.setattr(following.StoreFollowing, '_on_update', take_for_new)
    catch('age of the copy')


def test_mutant_that_vouches_for_answers_of_before_a_freeze_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def on_read_answered(self: Any, waited_ms: float) -> None:
        self._is_reachable = True
        self._own_confirmed_ms = self._boot_clock()
        self._on_confirmed(self._own_confirmed_ms)
        if self._role is store_followers.StoreRole.FOLLOWER:
            self._push()

    monkeypatch.setattr(
        following.StoreFollowing, 'on_read_answered', on_read_answered
    )
    catch('age of the copy')
