"""Property tests: answers in order, orders alone, nothing begun is lost."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from gentianbank.dataplane import pipelining
from gentianbank.policy.answer_order import AnswerOrder
from gentianbank.policy.answer_order import OrderedRequest
from tests.support.machines import check_machine
from tests.support.machines import check_mutant
from tests.support.pipelines import ahead_node
from tests.support.pipelines import Connection
from tests.support.pipelines import MAX_PER_CONNECTION
from tests.support.pipelines import request
from tests.support.pipelines import ScriptedApp
from tests.support.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    import pytest

    from tests.support.pipelines import Run

MAX_PER_NODE = 3
EXAMPLES = 200
BODY = b'body'
PATHS = ('read', 'read', 'read', 'order', 'missing')
OCCURRED_FAULTS: Counter[str] = Counter()
REQUIRED_FAULTS = (
    'caller left',
    'cut answer',
    'planned stop',
    'server closes',
    'caller closes',
    'no request',
    'broken body',
    'deadline passed',
    'caller does not read',
    'node is full',
    'memory is full',
    'dropped',
)


class RequestsAhead(RuleBasedStateMachine):
    """Callers send requests ahead on one connection after the other."""

    @initialize()
    def start(self) -> None:
        self.loop = VirtualLoop()
        self.node = ahead_node(max_per_node=MAX_PER_NODE)
        self.violations: list[str] = []
        self.is_open = False
        self.connect()

    def connect(self) -> None:
        self.app = ScriptedApp()
        self.app.on_begin = self._check_begin
        self.connection = Connection(self.loop, self.app, self.node)
        self.sent: list[str] = []
        self.body_left = b''
        self.is_open = True
        # Whether the connection may end without the answers that it owes.
        self.may_lose = False
        self.taken_bytes = 0

    @rule(
        kinds=st.lists(st.sampled_from(PATHS), min_size=1, max_size=6),
        closes=st.sampled_from((False, False, False, False, True)),
        uploads=st.sampled_from((False, False, True)),
        split=st.booleans(),
    )
    def send(
        self, kinds: list[str], closes: bool, uploads: bool, split: bool
    ) -> None:
        if self.connection.transport.closing:
            self.reconnect()
        if self.body_left:
            return
        data = b''
        for kind in kinds:
            self.sent.append(f'/{kind}/{len(self.sent)}')
            data += request(self.sent[-1])
        if closes or uploads:
            self.sent.append(f'/{kinds[0]}/{len(self.sent)}')
            lines = ['Connection: close'] if closes else []
            body = BODY if uploads else b''
            data += request(self.sent[-1], *lines, body=body)
            OCCURRED_FAULTS['caller closes'] += closes
        if uploads and split:
            self.body_left = BODY[2:]
            data = data[:-2]
        self._receive(data)

    @rule()
    def send_body(self) -> None:
        data, self.body_left = self.body_left, b''
        self._receive(data)

    @rule(
        number=st.integers(0, 20),
        result=st.sampled_from(('answer',) * 5 + ('cut',)),
        repeat=st.integers(1, 3),
    )
    def end_at_target(self, number: int, result: str, repeat: int) -> None:
        for _ in range(repeat):
            self._end_at_target(number, result)

    def _end_at_target(self, number: int, result: str) -> None:
        running = self._running()
        if not running:
            return
        run = running[number % len(running)]
        if result == 'cut':
            OCCURRED_FAULTS['cut answer'] += 1
            self.may_lose = True
        run.result.set_result(result)
        self.connection.settle()

    @rule(number=st.integers(0, 20))
    def pass_deadline(self, number: int) -> None:
        waiting = [
            run
            for run in self.app.runs.values()
            if not run.begun and not run.ended and not run.expired.is_set()
        ]
        if not waiting:
            return
        waiting[number % len(waiting)].expired.set()
        OCCURRED_FAULTS['deadline passed'] += 1
        self.connection.settle()

    @rule(
        fault=st.sampled_from(
            (
                'stop_node',
                'shut_server_down',
                'leave',
                'cut_answer',
                'send_no_request',
                'send_broken_body',
                'fill_memory',
                'fill_memory',
            )
        )
    )
    def disturb(self, fault: str) -> None:
        getattr(self, fault)()

    def stop_node(self) -> None:
        self.app.stopping = True
        OCCURRED_FAULTS['planned stop'] += 1

    def shut_server_down(self) -> None:
        if not self.connection.transport.closing:
            self.connection.protocol.shutdown()
            OCCURRED_FAULTS['server closes'] += 1
            self.connection.settle()

    def leave(self) -> None:
        if not self.connection.transport.closing:
            self.may_lose = True
            self.connection.leave()
            OCCURRED_FAULTS['caller left'] += 1
            self.connection.settle()

    def cut_answer(self) -> None:
        self._end_at_target(0, 'cut')

    def send_no_request(self) -> None:
        if self.body_left:
            return
        OCCURRED_FAULTS['no request'] += 1
        self._receive(b'no request\r\n\r\n')

    def send_broken_body(self) -> None:
        if self.body_left:
            return
        self.sent.append(f'/read/{len(self.sent)}')
        head = request(self.sent[-1], 'Transfer-Encoding: chunked')
        OCCURRED_FAULTS['broken body'] += 1
        self._receive(head + b'no size\r\n')

    @rule()
    def read_answers(self) -> None:
        if self.connection.transport.closing:
            return
        if self.connection.protocol.flow.write_paused:
            self.connection.protocol.resume_writing()
        else:
            self.connection.protocol.pause_writing()
            OCCURRED_FAULTS['caller does not read'] += 1
        self.connection.settle()

    def fill_memory(self) -> None:
        held = self.connection.protocol.held_budgets[0]
        if self.taken_bytes:
            held.give_back(self.taken_bytes)
            self.taken_bytes = 0
        elif held.try_take(held.limit_bytes):
            self.taken_bytes = held.limit_bytes
            OCCURRED_FAULTS['memory is full'] += 1

    @rule()
    def reconnect(self) -> None:
        """Answer all that is owed, and open a new connection."""
        self._finish()
        self.connect()

    @invariant()
    def answers_are_in_order(self) -> None:
        if not self.is_open:
            return
        paths = [answer.path for answer in self.connection.answers()]
        named = [path for path in paths if path]
        assert named == self.sent[: len(named)], 'answers out of order'

    @invariant()
    def last_answer_says_that_the_connection_closes(self) -> None:
        if not self.is_open:
            return
        answers = self.connection.answers()
        for answer in answers[:-1]:
            assert not answer.closes, 'an answer behind the last one'

    @invariant()
    def begin_rules_hold(self) -> None:
        if self.is_open:
            assert not self.violations, self.violations[0]
            assert len(self._running()) <= MAX_PER_CONNECTION
            assert 0 <= self.node.count.used <= MAX_PER_NODE
            OCCURRED_FAULTS['node is full'] += (
                self.node.count.used == MAX_PER_NODE
            )

    @invariant()
    def ended_connection_lost_nothing_that_was_begun(self) -> None:
        if not self.is_open or not self.connection.transport.closing:
            return
        answered = self._answered()
        for run in self.app.runs.values():
            if run.begun and not self.may_lose:
                assert run.path in answered, 'begun request dropped'
        assert all(run.ended for run in self.app.runs.values()), 'still runs'
        assert self.node.count.used == 0

    def teardown(self) -> None:
        if not self.is_open:
            return
        try:
            self._finish()
        finally:
            self.loop.end()

    def _receive(self, data: bytes) -> None:
        self.connection.receive(data)
        self.connection.settle()

    def _running(self) -> list[Run]:
        return [
            run
            for run in self.app.runs.values()
            if run.begun and not run.ended and not run.result.done()
        ]

    def _answered(self) -> set[str]:
        answers = self.connection.answers()
        return {answer.path for answer in answers if answer.complete}

    def _check_begin(self, begun: Run) -> None:
        """Check a request at the moment when it is passed on."""
        owed = set(self.sent) - self._answered()
        number = self.sent.index(begun.path)
        earlier = [path for path in self.sent[:number] if path in owed]
        if begun.path.startswith('/order/') and earlier:
            self.violations.append('an order begun while an answer is owed')
        for path in earlier:
            if path.startswith('/order/') and self.app.runs[path].begun:
                self.violations.append('begun behind an order')

    def _finish(self) -> None:
        """Answer all; nothing that was read may wait for ever."""
        if self.taken_bytes:
            self.fill_memory()
        if not self.connection.transport.closing:
            self.connection.protocol.resume_writing()
            if self.body_left:
                self.send_body()
        self.connection.settle()
        while running := self._running():
            for run in running:
                run.result.set_result('answer')
            self.connection.settle()
        self.answers_are_in_order()
        self.last_answer_says_that_the_connection_closes()
        self.begin_rules_hold()
        for run in self.app.runs.values():
            assert run.ended, f'never answered: {run.path}'
            OCCURRED_FAULTS['dropped'] += run.cancelled and not self.may_lose
        if not self.connection.transport.closing:
            assert self._answered() == set(self.sent), 'not all answered'
            self.connection.leave()
            self.connection.settle()
        else:
            self.ended_connection_lost_nothing_that_was_begun()


class AnswersOutOfOrder(AnswerOrder[OrderedRequest]):
    """Lets each answer be sent when it is there."""

    def is_turn(self, request: OrderedRequest) -> bool:
        return True


class OrdersSideBySide(AnswerOrder[OrderedRequest]):
    """Begins what may run only once like anything else."""

    def wait(self, request: OrderedRequest, *, runs_once: bool) -> None:
        super().wait(request, runs_once=False)


class DropsBegun(AnswerOrder[OrderedRequest]):
    """Drops all but the first answer when the connection closes."""

    def _must_stay(self, request: OrderedRequest) -> bool:
        return False


def test_answers_keep_their_order_amid_faults() -> None:
    check_machine(RequestsAhead, OCCURRED_FAULTS, REQUIRED_FAULTS, EXAMPLES)


def test_answers_out_of_order_are_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(pipelining, 'AnswerOrder', AnswersOutOfOrder)
    check_mutant(RequestsAhead, 'out of order|behind the last one')


def test_order_begun_while_an_answer_is_owed_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(pipelining, 'AnswerOrder', OrdersSideBySide)
    check_mutant(RequestsAhead, 'an order begun|begun behind an order')


def test_begun_request_that_is_dropped_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(pipelining, 'AnswerOrder', DropsBegun)
    check_mutant(RequestsAhead, 'begun request dropped')
