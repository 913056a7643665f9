"""Model tests: use of links and regions stays under their caps.

The tests named ``test_proof_catches_...`` break a mechanism and check that the
scenario then fails.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections import defaultdict
from collections import deque
import random
from typing import Any
from typing import TYPE_CHECKING

from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from gentianbank.domain import budget as budget_module
from gentianbank.domain.budget import Allowance
from gentianbank.domain.budget import BudgetLender
from tests.support.control_world import build_fleet_configuration
from tests.support.control_world import ControlWorld
from tests.support.machines import check_machine

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from gentianbank.control.loans import RegionBudgetLender

SIZES = {'kingston': 3, 'mandeville': 2, 'montego-bay': 2}
MAX_IN_FLIGHT = 60
CAP_MBIT_PER_S = 8
CAP_BYTES_PER_S = CAP_MBIT_PER_S * 1_000_000 / 8
CHUNK_BYTES = 2_000
CANCEL_DELAY_S = 0.05
CHECK_INTERVAL_S = 0.1
VIOLATION_PATTERN = r'over its cap|add up to'
# How often each fault has occurred; each of ``FAULTS`` must occur.
OCCURRED_FAULTS: Counter[str] = Counter()
REQUIRED_FAULTS = (
    'kill',
    'freeze',
    'cut link',
    'region cut',
    'region lost',
    'store outage',
    'slow store',
    'loan used',
    'link saturated',
    'region full',
)


class Budgets(RuleBasedStateMachine):
    """Nodes use links and regions up to their limits under faults."""

    @initialize()
    def start(self) -> None:
        self.world = ControlWorld(SIZES)
        self.running: Counter[str] = Counter()
        self.sent_by_link: dict[str, deque[tuple[float, int]]] = {}
        self.violations: list[str] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.world.start_all()
        configuration = build_fleet_configuration(
            SIZES, CAP_MBIT_PER_S, MAX_IN_FLIGHT
        )
        self.world.accept(configuration)
        self.world.advance(12)
        self.checker = self.world.loop.create_task(self._check_limits())

    @rule(
        number=st.integers(0, 6),
        region=st.sampled_from(list(SIZES)),
        count=st.sampled_from((1, 10, 60)),
        deadline_s=st.sampled_from((0.5, 2.0, 7.0)),
        repeat=st.sampled_from((1, 1, 5)),
    )
    def send_requests(
        self,
        number: int,
        region: str,
        count: int,
        deadline_s: float,
        repeat: int,
    ) -> None:
        for _ in range(repeat):
            for _ in range(count):
                self._spawn(number, self._request(number, region, deadline_s))
            self.world.advance(0.3)

    @rule(
        number=st.integers(0, 6),
        source=st.sampled_from(list(SIZES)),
        seconds=st.sampled_from((1.0, 6.0)),
    )
    def transfer(self, number: int, source: str, seconds: float) -> None:
        for _ in range(3):
            self._spawn(number, self._transfer(number, source, seconds))
        self.world.advance(0.2)

    @rule(seconds=st.sampled_from((0.2, 2.0, 10.0)))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(
        number=st.integers(0, 6),
        fault=st.sampled_from(('kill', 'freeze', 'long freeze')),
    )
    def disturb_node(self, number: int, fault: str) -> None:
        vm = list(self.world.nodes)[number]
        if fault == 'kill':
            self._restart(vm)
        else:
            self.world.freeze(vm, 1.0 if fault == 'freeze' else 9.0)

    @rule(region=st.sampled_from(list(SIZES)))
    def lose_region(self, region: str) -> None:
        for vm, node in list(self.world.nodes.items()):
            if node.state.me.region == region:
                self._restart(vm)
        self.world.fired['region lost'] += 1

    @rule(region=st.sampled_from([*SIZES, '']))
    def cut_region(self, region: str) -> None:
        self.world.cut_region(region)

    @rule(
        regions=st.sets(st.sampled_from(list(SIZES))),
        slow_s=st.sampled_from((0.0, 0.3, 2.5)),
    )
    def disturb_store(self, regions: set[str], slow_s: float) -> None:
        self.world.set_store(regions, slow_s)

    @invariant()
    def caps_hold(self) -> None:
        if hasattr(self, 'world'):
            assert not self.violations, self.violations[0]

    def teardown(self) -> None:
        if not hasattr(self, 'world'):
            return
        try:
            self.world.advance(5)
            self.caps_hold()
            if self.checker.done():
                self.checker.result()
        finally:
            OCCURRED_FAULTS.update(self.world.all_fired())
            self.world.close()

    def _restart(self, vm: str) -> None:
        node = self.world.nodes[vm]
        if node.dead:
            return
        self.world.kill(vm)
        # Targets cancel requests whose connection has ended; wait for it.
        self.world.advance(1.0)
        self.world.restart(vm)

    def _spawn(
        self, number: int, coroutine: Coroutine[Any, Any, None]
    ) -> None:
        node = list(self.world.nodes.values())[number]
        node.tasks.append(self.world.loop.create_task(coroutine))

    async def _request(
        self, number: int, region: str, deadline_s: float
    ) -> None:
        """Run a request until its deadline, the longest it may take."""
        node = list(self.world.nodes.values())[number]
        end_ms = self.world.loop.now_ms() + deadline_s * 1_000
        if not node.budgets.try_enter(region, end_ms, large=False):
            return
        self.running[region] += 1
        if self.running[region] > MAX_IN_FLIGHT * 0.6:
            self.world.fired['region full'] += 1
        if self.running[region] > MAX_IN_FLIGHT:
            self.violations.append(f'region {region} is over its cap')
        try:
            await asyncio.sleep(deadline_s)
            node.budgets.leave(region, large=False)
        finally:
            self.world.loop.call_later(
                CANCEL_DELAY_S, self._end_request, region
            )

    def _end_request(self, region: str) -> None:
        self.running[region] -= 1

    async def _transfer(
        self, number: int, source: str, seconds: float
    ) -> None:
        node = list(self.world.nodes.values())[number]
        region = node.state.me.region
        end_s = self.world.now_s() + seconds
        if source == region or node.state.snapshot is None:
            return
        while self.world.now_s() < end_s:
            await node.budgets.pace(source, region, CHUNK_BYTES, large=False)
            self._count_sent_bytes(f'{source}>{region}')

    def _count_sent_bytes(self, link: str) -> None:
        now_s = self.world.now_s()
        window = self.sent_by_link.setdefault(link, deque())
        window.append((now_s, CHUNK_BYTES))
        while window[0][0] <= now_s - 1.0:
            window.popleft()
        total = sum(size for _, size in window)
        if total > CAP_BYTES_PER_S * 0.5:
            self.world.fired['link saturated'] += 1
        if total > CAP_BYTES_PER_S:
            self.violations.append(f'link {link} is over its cap')

    async def _check_limits(self) -> None:
        """Check that the limits of all nodes together stay under each cap."""
        while True:
            now_ms = self.world.loop.now_ms()
            sums: dict[str, float] = defaultdict(float)
            for node in self.world.nodes.values():
                if node.dead:
                    continue
                for name, allowance in node.budgets.allowances():
                    limit = allowance.limit(now_ms)
                    sums[name] += limit
                    if limit > allowance.floor:
                        self.world.fired['loan used'] += 1
            for name, total in sums.items():
                cap = CAP_BYTES_PER_S if '>' in name else MAX_IN_FLIGHT
                if total > cap * (1 + 1e-9):
                    self.violations.append(
                        f'limits of {name} add up to {total}'
                    )
            await asyncio.sleep(CHECK_INTERVAL_S)


def test_links_and_regions_stay_under_their_caps() -> None:
    check_machine(
        Budgets, OCCURRED_FAULTS, REQUIRED_FAULTS, examples=60, steps=20
    )


def _start_with_loans() -> Budgets:
    """Return a machine in which two nodes have borrowed the whole pool."""
    machine = Budgets()
    machine.start()
    for _ in range(8):
        for number in (3, 4):
            machine.send_requests(number, 'kingston', 60, 2.0, 1)
    return machine


def _keeper_of(machine: Budgets, region: str) -> str:
    return next(
        vm
        for vm, node in machine.world.nodes.items()
        if node.keeper._lease_id and node.state.me.region == region
    )


def _release_keeper() -> None:
    """Have a keeper release its lease while its loans are in use.

    The next keeper must not lend before those loans have expired.
    """
    machine = _start_with_loans()
    vm = _keeper_of(machine, 'kingston')
    released = machine.world.nodes[vm].keeper._release_lease()
    machine.world.loop.run_until_complete(released)
    machine.world.kill(vm)
    machine.world.suspect(vm)
    for _ in range(12):
        for number in (5, 6):
            machine.send_requests(number, 'kingston', 60, 7.0, 1)
    machine.teardown()


def _pause_keeper() -> None:
    """Pause a keeper until another one has lent, then resume it.

    Its lease has expired meanwhile, so it must not lend any more.
    """
    machine = _start_with_loans()
    vm = _keeper_of(machine, 'kingston')
    machine.world.freeze(vm, 27.2)
    for _ in range(45):
        for number in (3, 4):
            machine.send_requests(number, 'kingston', 60, 2.0, 1)
    for _ in range(12):
        for number in (5, 6):
            machine.send_requests(number, 'kingston', 60, 7.0, 1)
    machine.teardown()


def test_new_keeper_waits_for_loans_of_its_predecessor() -> None:
    _release_keeper()


def test_paused_keeper_does_not_lend_after_its_lease() -> None:
    _pause_keeper()


def test_proof_catches_keeper_without_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def acquire(self: BudgetLender, requested_ms: float, _: float) -> None:
        self._loans.clear()
        self._lends_from_ms = requested_ms
        self.renew(requested_ms)

    monkeypatch.setattr(BudgetLender, 'acquire', acquire)
    with pytest.raises(AssertionError, match=VIOLATION_PATTERN):
        _release_keeper()


def test_proof_catches_keeper_that_ignores_its_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(BudgetLender, 'holds_lease', lambda *_: True)
    with pytest.raises(AssertionError, match=VIOLATION_PATTERN):
        _pause_keeper()


def _let_unused_loans_expire() -> None:
    """Leave loans unused until they expire, then have others borrow."""
    machine = _start_with_loans()
    machine.advance(9.0)
    for _ in range(8):
        for number in (5, 6):
            machine.send_requests(number, 'kingston', 60, 2.0, 1)
    machine.teardown()


def _send_requests_before_loans_expire() -> None:
    """Send long requests shortly before loans expire unrenewed.

    The keeper's region is cut off, so the loans cannot be renewed. A request
    that would outlast the loan must not be admitted under it.
    """
    machine = _start_with_loans()
    machine.cut_region('kingston')
    machine.advance(5.0)
    for number in (3, 4):
        machine.send_requests(number, 'kingston', 60, 7.0, 1)
    machine.advance(1.0)
    machine.cut_region('')
    for _ in range(12):
        for number in (5, 6):
            machine.send_requests(number, 'kingston', 60, 7.0, 1)
    machine.teardown()


@pytest.mark.parametrize('seed', range(4))
def test_unused_loans_expire(seed: int) -> None:
    random.seed(seed)
    _let_unused_loans_expire()


@pytest.mark.parametrize('seed', range(4))
def test_requests_end_before_their_loan_expires(seed: int) -> None:
    random.seed(seed)
    _send_requests_before_loans_expire()


def test_proof_catches_loans_that_do_not_expire(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def accept(self: Allowance, amount: float, requested_ms: float) -> None:
        self._loan = budget_module.Loan(amount, requested_ms + 60_000)

    monkeypatch.setattr(Allowance, 'accept', accept)
    with pytest.raises(AssertionError, match=VIOLATION_PATTERN):
        _let_unused_loans_expire()


def test_proof_catches_requests_that_outlive_their_loan(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    limit_until = Allowance.limit_until
    monkeypatch.setattr(
        Allowance,
        'limit_until',
        lambda self, end_ms: limit_until(self, end_ms - 6_000),
    )
    monkeypatch.setattr(Allowance, 'limit', limit_until)
    with pytest.raises(AssertionError, match='is over its cap'):
        _send_requests_before_loans_expire()


def test_keeper_is_the_first_of_its_region() -> None:
    world = ControlWorld(SIZES)
    world.start_all()
    world.accept(build_fleet_configuration(SIZES))
    world.advance(20)
    keepers: list[RegionBudgetLender] = [
        n.keeper for n in world.nodes.values()
    ]
    assert sum(bool(keeper._lease_id) for keeper in keepers) == len(SIZES)
    world.close()
