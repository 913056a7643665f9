"""Requests that callers send ahead on a connection (HTTP pipelining)."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import ClassVar
from typing import TYPE_CHECKING

from gentianbank.dataplane.bounded_protocol import BoundedProtocol
from gentianbank.dataplane.bounded_protocol import REQUEST_BYTES
from gentianbank.dataplane.exchange import TURN_EXTENSION
from gentianbank.policy.answer_order import AheadCount
from gentianbank.policy.answer_order import AnswerOrder
from gentianbank.policy.answer_order import OrderedRequest
from gentianbank.policy.answer_order import Phase
from gentianbank.policy.buffer_budget import BufferBudget
from gentianbank.policy.buffer_budget import JointBudget

if TYPE_CHECKING:
    from gentianbank.dataplane.exchange import ASGIMessage
    from gentianbank.dataplane.exchange import Receive
    from gentianbank.policy.buffer_budget import Budget

# With less room than this, no further request is begun ahead of others.
MIN_ROOM_BYTES = 64 * 1024
# After the last answer, what the caller still sends is read and dropped for
# so long. A socket that is closed with unread bytes resets the connection,
# which loses what the caller has not got yet.
LINGER_S = 2.0


@dataclass(frozen=True, slots=True)
class AheadNode:
    """Limits of requests sent ahead, and what all connections use of them.

    Parameters
    ----------
    max_per_connection
        Largest number of requests of a connection that are in progress.
    held_bytes_per_connection
        Bytes of answers that wait for an earlier one, on one connection.
    count
        Requests in progress while an earlier answer is owed.
    held
        Bytes of answers that wait for an earlier one.
    """

    max_per_connection: int
    held_bytes_per_connection: int
    count: AheadCount
    held: BufferBudget


@dataclass(slots=True, eq=False)
class RequestTurn(OrderedRequest):
    """A request of a connection, and what waits for its turn."""

    protocol: PipeliningProtocol = field(kw_only=True)
    cycle: Any = field(kw_only=True)
    body_bytes: int = 0
    _waiters: tuple[asyncio.Future[None], ...] = ()

    @property
    def is_served(self) -> bool:
        """Return whether it is next or may have been passed on."""
        return self.phase is Phase.BEGUN or self.protocol.order.is_turn(self)

    @property
    def is_dropped(self) -> bool:
        """Return whether the caller gets no answer."""
        return bool(self.cycle.disconnected)

    def try_begin(self, *, runs_once: bool) -> bool:
        """Return whether the request may be passed on now."""
        order = self.protocol.order
        order.wait(self, runs_once=runs_once)
        if not order.begin_alone(self):
            self.protocol.begin_requests()
        return self.phase is Phase.BEGUN and not self.is_dropped

    async def wait_begin(self) -> bool:
        """Wait until the request may be passed on; false if it is dropped."""
        while not self.is_dropped and self.phase is Phase.WAITING:
            await self._wait()
        return not self.is_dropped

    def try_answer(self) -> bool:
        """Return whether its answer may be sent now."""
        order = self.protocol.order
        order.answer(self)
        return order.is_turn(self) and not self.is_dropped

    async def wait_answer(self) -> bool:
        """Wait until its answer is next; false if it is dropped."""
        if self.try_answer():
            return True
        # If it has not begun, it holds back those behind it no longer.
        self.protocol.begin_requests()
        return await self.wait_first()

    async def wait_first(self) -> bool:
        """Wait until no earlier answer is owed; false if it is dropped."""
        while not self.is_dropped and not self.protocol.order.is_turn(self):
            await self._wait()
        return not self.is_dropped

    def answer_budget(self, budget: Budget) -> Budget:
        """Return the budget for the part of its answer that is held."""
        if self.protocol.order.is_turn(self):
            return budget
        return JointBudget((*self.protocol.held_budgets, budget))

    def drop(self) -> None:
        """End the request without an answer."""
        self.cycle.disconnected = True
        self.cycle.message_event.set()
        self.wake()

    def wake(self) -> None:
        """Let what waits look again."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def _wait(self) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters += (waiter,)
        try:
            await waiter
        finally:
            self._waiters = tuple(w for w in self._waiters if w is not waiter)


class PipeliningProtocol(BoundedProtocol):
    """Connection of a caller that may send requests ahead.

    Without limits for it (``ahead``), the requests of a connection are
    served one after the other.

    Attributes
    ----------
    order
        Requests whose answers are owed.
    held_budgets
        Bytes of answers that wait, of the connection and of the node.
    """

    ahead: ClassVar[AheadNode | None] = None

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._is_serial = self.ahead is None
        self._sends_ahead = False
        if self.ahead is not None:
            self.order: AnswerOrder[RequestTurn] = AnswerOrder(
                self.ahead.max_per_connection, self.ahead.count
            )
            self.held_budgets = (
                BufferBudget(self.ahead.held_bytes_per_connection),
                self.ahead.held,
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """End all requests in progress."""
        super().connection_lost(exc)
        if not self._is_serial:
            for turn in self.order.clear():
                turn.drop()

    def on_headers_complete(self) -> None:
        """Start the request without waiting for the one before it."""
        if not self._is_serial:
            # Uvicorn delays a request while the one before it is in progress.
            self.cycle = None  # type: ignore[assignment]
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Note the size of the body."""
        super().on_message_complete()
        if self._body_bytes and not self._is_serial:
            last = self.order.last
            if last is not None and last.cycle is self.cycle:
                last.body_bytes = self._buffered_body_bytes

    def resume_writing(self) -> None:
        """Read on once the caller has read what was sent."""
        super().resume_writing()
        self._feed_soon()

    def shutdown(self) -> None:
        """Close the connection after what has begun."""
        if self._is_serial or not self.order:
            super().shutdown()
        else:
            self.close_after_begun()

    def begin_requests(self) -> None:
        """Begin the requests that may be passed on now."""
        if self.transport.is_closing():
            return
        has_memory = len(self.order) == 1 or all(
            budget.left_bytes >= MIN_ROOM_BYTES for budget in self.held_budgets
        )
        for turn in self.order.begin(has_memory=has_memory):
            turn.wake()

    def close_after_begun(self, through: RequestTurn | None = None) -> None:
        """Drop what was not passed on, and close after the last answer."""
        for turn in self.order.close(through):
            turn.drop()
        # Drops what is not to be read any more.
        self._feed_soon()

    def leave_close_to_protocol(self, turn: RequestTurn) -> None:
        """Keep uvicorn from closing right behind the last answer."""
        if self._sends_ahead:
            turn.cycle.keep_alive = True

    def _is_input_dropped(self) -> bool:
        if self._is_read_ended or self.transport.is_closing():
            return True
        if self._is_serial or not self.order.is_closing:
            return False
        return not self._is_reading_body

    def _may_parse(self) -> bool:
        if self._is_serial or self.flow.read_paused:
            return not self.flow.read_paused
        if not self.order:
            return not self.flow.write_paused
        if self._is_reading_body:
            return True
        return (
            self.order.may_read
            and not self.flow.write_paused
            and self.held_budgets[0].left_bytes >= MIN_ROOM_BYTES
        )

    def _owes_answer(self) -> bool:
        return super()._owes_answer() if self._is_serial else bool(self.order)

    def _owes_earlier_answer(self) -> bool:
        if self._is_serial:
            return super()._owes_earlier_answer()
        first = self.order.first
        if first is None:
            return False
        return not self._is_in_body or first.cycle is not self.cycle

    def _measure_requests(self) -> tuple[int, int]:
        running, ahead = super()._measure_requests()
        if self._is_serial:
            return running, ahead
        if len(self.order) > 1:
            running = sum(t.body_bytes for t in self.order if t.is_served)
            ahead = (len(self.order) - 1) * REQUEST_BYTES + sum(
                t.body_bytes for t in self.order if not t.is_served
            )
        return running + self.held_budgets[0].used_bytes, ahead

    def _on_answered(self) -> None:
        """Let the next answer be sent, and further requests begin."""
        if self._is_serial or not self.order:
            return
        self.order.finish()
        first = self.order.first
        if first is not None:
            first.wake()
            self.begin_requests()
        elif self.order.is_closing:
            self._close()
        self._feed_soon()

    def _close_after_owed(self) -> None:
        if self._is_serial or not self.order:
            super()._close_after_owed()
            return
        turn = self.order.last
        if turn is not None and self._is_in_body and turn.cycle is self.cycle:
            # The rest of its body cannot be read.
            if self.order.is_turn(turn):
                self.transport.close()
                return
            self.order.drop(turn)
            turn.drop()
        self.close_after_begun()

    @property
    def _is_reading_body(self) -> bool:
        """Return whether a body that is to be served has not been read."""
        last = self.order.last
        return (
            last is not None and last.cycle is self.cycle
        ) and last.cycle.more_body

    def _close(self) -> None:
        """Close the connection behind the last answer."""
        if not self._sends_ahead or self.transport.is_closing():
            self.transport.close()
            return
        self._is_read_ended = True
        self.loop.call_later(LINGER_S, self.transport.close)
        # It fails if the caller has reset the connection.
        with contextlib.suppress(OSError):
            self.transport.write_eof()

    def _start_asgi_task(self, cycle: Any, app: Any) -> None:
        if self._is_serial:
            super()._start_asgi_task(cycle, app)
            return
        turn = RequestTurn(protocol=self, cycle=cycle)
        if not self.order.add(turn):
            # The connection closes, and this request counts as not read.
            cycle.disconnected = True
            return
        if len(self.order) > 1:
            self._sends_ahead = True
        if self.parser.should_upgrade():
            # Uvicorn drops what it was fed behind a request for an upgrade.
            cycle.keep_alive = False
        if not cycle.keep_alive:
            self.order.close(through=turn)
        cycle.scope['extensions'] = {TURN_EXTENSION: turn}
        in_turn: Any = _InTurn(app, turn)
        super()._start_asgi_task(cycle, in_turn)


class _InTurn:
    """Runs the application on one request and keeps its answer in order."""

    def __init__(self, app: Any, turn: RequestTurn) -> None:
        self._app = app
        self._turn = turn

    async def __call__(
        self, scope: ASGIMessage, receive: Receive, _: Any
    ) -> None:
        turn = self._turn
        if turn.cycle.waiting_for_100_continue:
            receive = self._receive
        try:
            await self._app(scope, receive, self._send)
        except asyncio.CancelledError:
            turn.cycle.disconnected = True
            raise
        except BaseException:
            # Uvicorn answers 500 or closes, which earlier answers precede.
            await self._wait_unless_started()
            raise
        else:
            await self._wait_unless_started()
        finally:
            # The scope is referenced by the cycle, and so by the turn.
            turn.cycle.scope.pop('extensions', None)

    async def _wait_unless_started(self) -> None:
        if not self._turn.cycle.response_started:
            await self._turn.wait_answer()

    async def _receive(self) -> ASGIMessage:
        """Receive; "100 Continue" must not be sent within another answer."""
        await self._turn.wait_first()
        message: ASGIMessage = await self._turn.cycle.receive()
        return message

    async def _send(self, message: ASGIMessage) -> None:
        turn = self._turn
        if message['type'] == 'http.response.start':
            if not turn.try_answer() and not await turn.wait_answer():
                return
            if turn.cycle.flow.write_paused:
                await turn.cycle.flow.drain()
            await turn.cycle.send(self._decide_close(message))
            if not turn.cycle.keep_alive:
                turn.protocol.leave_close_to_protocol(turn)
            return
        await turn.cycle.send(message)

    def _decide_close(self, message: ASGIMessage) -> ASGIMessage:
        """Let only the last answer say that the connection closes."""
        turn, order = self._turn, self._turn.protocol.order
        headers = message['headers']
        for name, value in headers:
            if name == b'connection' and _closes(name, value):
                turn.protocol.close_after_begun()
        if not order.is_closing:
            return message
        if order.last is turn:
            turn.cycle.keep_alive = False
            return message
        kept = [pair for pair in headers if not _closes(*pair)]
        return {**message, 'headers': kept}


def _closes(name: bytes, value: bytes) -> bool:
    return name == b'connection' and b'close' in value.lower()
