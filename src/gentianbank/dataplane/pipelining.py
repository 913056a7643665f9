"""Requests that callers send ahead on a connection (HTTP pipelining)."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from dataclasses import field
import select
from typing import Any
from typing import ClassVar
from typing import TYPE_CHECKING

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

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

# The parser cannot stop within what it is fed, so that this bounds the
# requests that are read beyond the limit.
SLICE_BYTES = 8 * 1024
# Bytes that wait to be parsed before reading stops.
MAX_UNPARSED_BYTES = 64 * 1024
# With less room than this, no further request is begun ahead of others.
MIN_ROOM_BYTES = 64 * 1024
# While reading is stopped, the event loop does not report that a caller left.
HANGUP_CHECK_S = 0.5
# After the last answer, what the caller still sends is read and dropped for
# so long. A socket that is closed with unread bytes resets the connection,
# which loses what the caller has not got yet.
LINGER_S = 2.0
# POLLRDHUP where the module has it; other systems report no hang-up then.
_HANGUP_EVENTS = getattr(select, 'POLLRDHUP', 0)


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
    _waiters: tuple[asyncio.Future[None], ...] = ()

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


class HeldFlow(FlowControl):
    """Flow control in which reading can be stopped against uvicorn."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self.is_held = False

    def hold_reading(self) -> None:
        """Stop reading until it is released."""
        self.is_held = True
        self.pause_reading()

    def release_reading(self) -> None:
        """Leave it to uvicorn again whether to read."""
        if self.is_held:
            self.is_held = False
            self.resume_reading()

    def resume_reading(self) -> None:
        """Read on, unless reading is held."""
        if not self.is_held:
            super().resume_reading()


class PipeliningProtocol(HttpToolsProtocol):
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
        self._unparsed = bytearray()
        self._hangup_check: asyncio.TimerHandle | None = None
        if self.ahead is not None:
            self.order: AnswerOrder[RequestTurn] = AnswerOrder(
                self.ahead.max_per_connection, self.ahead.count
            )
            self.held_budgets = (
                BufferBudget(self.ahead.held_bytes_per_connection),
                self.ahead.held,
            )

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        super().connection_made(transport)
        self.flow: HeldFlow = HeldFlow(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End all requests in progress."""
        super().connection_lost(exc)
        self._unparsed.clear()
        self._stop_hangup_check()
        if not self._is_serial:
            for turn in self.order.clear():
                turn.drop()

    def data_received(self, data: bytes) -> None:
        """Parse data, or keep it while the connection is at a limit."""
        if self._is_serial or (
            not self.order
            and not self._unparsed
            and len(data) <= SLICE_BYTES
            and not self.order.is_closing
        ):
            super().data_received(data)
            return
        self._unparsed += data
        self._parse()

    def on_headers_complete(self) -> None:
        """Start the request without waiting for the one before it."""
        if not self._is_serial:
            # Uvicorn delays a request while the one before it is in progress.
            self.cycle = None  # type: ignore[assignment]
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Let the next answer be sent, and further requests begin."""
        super().on_response_complete()
        if self._is_serial or not self.order:
            return
        self.order.finish()
        first = self.order.first
        if first is not None:
            self._unset_keepalive_if_required()
            first.wake()
            self.begin_requests()
        elif self.order.is_closing:
            self._close()
        if self._unparsed:
            self._parse()

    def resume_writing(self) -> None:
        """Read on once the caller has read what was sent."""
        super().resume_writing()
        if self._unparsed:
            self._parse()

    def send_400_response(self, msg: str) -> None:
        """Answer what cannot be parsed, unless another answer is owed.

        Then the connection closes after the last request that has begun; a
        400 would be taken for the answer to an earlier request.
        """
        if self._is_serial or not self.order:
            super().send_400_response(msg)
            return
        self._unparsed.clear()
        turn = self.order.last
        if turn is not None and turn.cycle.more_body:
            if turn.cycle.response_started:
                self.transport.close()
                return
            if self.order.is_turn(turn):
                super().send_400_response(msg)
                return
            # The rest of its body cannot be read.
            self.order.drop(turn)
            turn.drop()
        self.close_after_begun()

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

    def leave_close_to_protocol(self, turn: RequestTurn) -> None:
        """Keep uvicorn from closing right behind the last answer."""
        if self._sends_ahead:
            turn.cycle.keep_alive = True

    def _close(self) -> None:
        """Close the connection behind the last answer."""
        if not self._sends_ahead or self.transport.is_closing():
            self.transport.close()
            return
        self._unset_keepalive_if_required()
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

    def _parse(self) -> None:
        """Parse what was read, as far as the limits allow."""
        while self._unparsed and self._may_parse():
            piece = bytes(self._unparsed[:SLICE_BYTES])
            del self._unparsed[:SLICE_BYTES]
            super().data_received(piece)
        if self.order.is_closing and not self._is_reading_body:
            self._unparsed.clear()
        if len(self._unparsed) > MAX_UNPARSED_BYTES:
            if not self.flow.is_held:
                self.flow.hold_reading()
                self._start_hangup_check()
        elif self.flow.is_held:
            self.flow.release_reading()
            self._stop_hangup_check()

    def _may_parse(self) -> bool:
        if self.transport.is_closing():
            return False
        if self._is_reading_body:
            return True
        return (
            self.order.may_read
            and not self.flow.write_paused
            and (
                not self.order
                or self.held_budgets[0].left_bytes >= MIN_ROOM_BYTES
            )
        )

    @property
    def _is_reading_body(self) -> bool:
        """Return whether a body that is to be served has not been read."""
        last = self.order.last
        return (
            last is not None and last.cycle is self.cycle
        ) and last.cycle.more_body

    def _start_hangup_check(self) -> None:
        self._hangup_check = self.loop.call_later(
            HANGUP_CHECK_S, self._check_hangup
        )

    def _stop_hangup_check(self) -> None:
        if self._hangup_check is not None:
            self._hangup_check.cancel()
            self._hangup_check = None

    def _check_hangup(self) -> None:
        """End the connection if the caller has left."""
        if self.transport.is_closing():
            return
        connection = self.transport.get_extra_info('socket')
        poll = select.poll()
        poll.register(connection.fileno(), _HANGUP_EVENTS)
        if poll.poll(0):
            # As the loop does when it reads the end of the stream.
            self.transport.close()
        else:
            self._start_hangup_check()


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
