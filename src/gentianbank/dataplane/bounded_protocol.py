"""HTTP connection of a caller that holds a bounded amount of memory.

The parser is that of httptools. It gets what was read in small slices, so
that the bytes between two of its callbacks are known and parsing can stop
after any request.
"""

from __future__ import annotations

import contextlib
from typing import Any
from typing import TYPE_CHECKING

import uvicorn
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.protocols.http.httptools_impl import STATUS_LINE

from gentianbank.dataplane.connection_ledger import BODY_TOO_LARGE
from gentianbank.dataplane.connection_ledger import BODY_TOO_SLOW
from gentianbank.dataplane.connection_ledger import ConnectionLedger
from gentianbank.dataplane.connection_ledger import FRAMING_TOO_LARGE
from gentianbank.dataplane.connection_ledger import HEAD_TOO_LARGE
from gentianbank.dataplane.connection_ledger import HEAD_TOO_SLOW
from gentianbank.dataplane.connection_ledger import Held
from gentianbank.dataplane.connection_ledger import IDLE
from gentianbank.dataplane.connection_ledger import MALFORMED
from gentianbank.dataplane.connection_ledger import MEMORY
from gentianbank.dataplane.connection_ledger import NOTHING_HELD
from gentianbank.dataplane.read_flow import ReadFlow
from gentianbank.domain.connection_limits import ConnectionLimits

if TYPE_CHECKING:
    import asyncio

    from uvicorn.server import ServerState

    from gentianbank.dataplane.connection_ledger import CutOff

# Small, so that few requests ahead are parsed at once.
HEAD_SLICE_BYTES = 1_024
BODY_SLICE_BYTES = 4_096
# Longest read; asyncio reads up to 256 KiB at once by default.
READ_BYTES = 65_536
# Reading stops when so much is waiting for the parser. It goes on until then,
# so that the end of a connection is seen while its requests are running.
MAX_UNPARSED_BYTES = 16_384
# The limit on heads does not say whether the request line counts.
REQUEST_LINE_BYTES = 8_192
# Memory of a parsed header beside its bytes, and of a queued request.
HEADER_BYTES = 200
REQUEST_BYTES = 4_096
# A node buffers no more of a body; the rest waits in the caller's socket.
MAX_BUFFERED_BODY_BYTES = 327_680
# Statuses that tell a caller that its request has not run.
_NOT_RUN_STATUSES = frozenset((408, 429))
_IN_IDLE = 'idle'
_IN_HEAD = 'head'
_IN_BODY = 'body'


class BoundedConfig(uvicorn.Config):
    """Configuration of a server with the limits of its port."""

    def __init__(
        self, app: Any, ledger: ConnectionLedger, **options: Any
    ) -> None:
        super().__init__(app, **options)
        self.ledger = ledger


class _DroppedHeaders(list[tuple[bytes, bytes]]):
    """Takes headers and keeps none."""

    def append(self, header: tuple[bytes, bytes], /) -> None:
        """Drop a header."""


_NO_TRAILERS = _DroppedHeaders()


class BoundedProtocol(HttpToolsProtocol):
    """Connection whose heads, bodies and requests ahead are bounded.

    The limits are those of the attribute ``ledger`` of the configuration;
    without one, each connection has the default limits for itself.
    """

    def __init__(
        self,
        config: uvicorn.Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        _loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        super().__init__(config, server_state, app_state, _loop)
        ledger = getattr(config, 'ledger', None)
        self._ledger: ConnectionLedger = ledger or ConnectionLedger(
            ConnectionLimits()
        )
        self.address = ''
        self.opened_s = self.loop.time()
        self.held = NOTHING_HELD
        # What is read is dropped; owed answers are still sent.
        self._is_read_ended = False
        self._phase = _IN_IDLE
        self._since_s = self.opened_s
        self._unparsed = bytearray()
        self._feed_scheduled = False
        # Bytes since the last callback that ended a head or gave data.
        self._unproductive_bytes = 0
        self._is_productive = False
        self.url = b''
        self.headers = []
        self._head = self.headers
        self._is_first_head = True
        self._head_held_bytes = 0
        self._counted_headers = 0
        self._body_bytes = 0

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        super().connection_made(transport)
        self.address = self.client[0] if self.client else ''
        with contextlib.suppress(AttributeError):
            transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        self.flow: ReadFlow = ReadFlow(
            self.loop, transport, self._may_resume, self._on_parser_resumed
        )
        refusal = self._ledger.admit(self)
        if refusal is not None:
            self._is_read_ended = True
            self._ledger.on_cut_off(self, refusal)
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._unparsed.clear()
        self.flow.stop_hangup_check()
        self._ledger.release(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self._is_input_dropped():
            return
        if self._unparsed or not self._may_parse():
            self._unparsed += data
            self._limit_reading()
            self.update_held()
            return
        self._feed(data)

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._head = self.headers
        self._begin_head()

    def on_headers_complete(self) -> None:
        # Raises for a malformed target, which leaves the head incomplete.
        super().on_headers_complete()
        self._mark_productive()
        self._phase = _IN_BODY
        self._body_bytes = 0
        if self._is_first_head:
            self._is_first_head = False
            self._ledger.on_head(self)
        # Nothing uses trailers, and they are no headers of the request.
        self.headers = _NO_TRAILERS

    def on_body(self, body: bytes) -> None:
        self._mark_productive()
        self._body_bytes += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        self._mark_productive()
        self._phase = _IN_IDLE
        super().on_message_complete()

    def on_response_complete(self) -> None:
        self._since_s = self.loop.time()
        self.server_state.total_requests += 1
        if not self.transport.is_closing():
            # In place of uvicorn's method, which sets a timer for each
            # answer; the sweep of the ledger ends idle connections.
            self.flow.resume_reading()
            if self.pipeline:
                self._start_asgi_task(*self.pipeline.pop())
        self._on_answered()
        # Otherwise the next read or the sweep counts an unread answer.
        if self.held is not NOTHING_HELD:
            self.update_held()

    def send_400_response(self, msg: str) -> None:
        if self._phase == _IN_IDLE:
            # The parser reports no begin of a head for some bytes.
            self._begin_head()
        self.cut_off(MALFORMED)

    def _unsupported_upgrade_warning(self) -> None:
        """Write no line, as any caller could cause one for each read."""

    def overdue(self, now_s: float) -> CutOff | None:
        """Return why the connection has exceeded a time limit, if so."""
        if (
            self._unparsed
            or self.flow.read_paused
            or self._is_read_ended
            or self._owes_earlier_answer()
        ):
            # The node does not read, or the caller may wait for an answer
            # before it sends more.
            self._since_s = now_s
            return None
        waited_s = now_s - self._since_s
        if self._phase == _IN_HEAD:
            late = waited_s > self._ledger.header_timeout_s
            return HEAD_TOO_SLOW if late else None
        if waited_s <= self._ledger.idle_timeout_s:
            return None
        return BODY_TOO_SLOW if self._phase == _IN_BODY else IDLE

    def forgive(self, now_s: float) -> None:
        """Begin the time limits anew."""
        self._since_s = now_s

    def update_held(self) -> None:
        """Report to the ledger what the connection holds now."""
        heads = bodies = 0
        if self._phase == _IN_HEAD:
            heads = self._measure_head() + self._unproductive_bytes
        elif self._phase == _IN_BODY:
            heads = self._measure_head()
            bodies = self._buffered_body_bytes
        running, ahead = self._measure_requests()
        ahead += len(self._unparsed)
        answers = self.transport.get_write_buffer_size()
        if heads or bodies or running or ahead or answers:
            held = Held(heads, bodies, running, ahead, answers)
            self._ledger.charge(self, held)
        elif self.held is not NOTHING_HELD:
            self._ledger.charge(self, NOTHING_HELD)

    def cut_off(self, cut: CutOff) -> None:
        """Answer if possible, and close the connection.

        Answers that are owed for earlier requests are sent first.
        """
        is_unread = cut is MEMORY and self.transport.get_write_buffer_size()
        if self._is_read_ended or self.transport.is_closing():
            if is_unread:
                self.transport.abort()
            return
        self._is_read_ended = True
        self._ledger.on_cut_off(self, cut)
        self._unparsed.clear()
        self._limit_reading()
        if is_unread:
            # The caller does not read; only this frees what it holds.
            self.transport.abort()
        elif self._may_answer(cut):
            self._write_answer(cut)
            self.transport.close()
        else:
            self._close_after_owed()

    # What depends on the requests in progress. Here they are served one
    # after the other, and the last one read is the last one answered.

    def _is_input_dropped(self) -> bool:
        """Return whether nothing more is read on the connection."""
        return self._is_read_ended or self.transport.is_closing()

    def _may_parse(self) -> bool:
        """Return whether the parser may get a further slice."""
        return not self.flow.read_paused

    def _owes_answer(self) -> bool:
        """Return whether a request that was read is not answered yet."""
        return self.cycle is not None and not self.cycle.response_complete

    def _owes_earlier_answer(self) -> bool:
        """Return whether an answer is owed before that of what is read."""
        return (
            bool(self.pipeline)
            if self._phase == _IN_BODY
            else self._owes_answer()
        )

    def _measure_requests(self) -> tuple[int, int]:
        """Return bytes of requests being served, and of those ahead."""
        running = 0
        if self._body_bytes and self._phase != _IN_BODY:
            running = self._buffered_body_bytes * self._owes_answer()
        return running, len(self.pipeline) * REQUEST_BYTES

    def _on_answered(self) -> None:
        """Note that the answer of a request has been sent."""

    def _close_after_owed(self) -> None:
        """Close the connection after the answers that are owed."""
        if self._phase == _IN_BODY:
            self.transport.close()
        else:
            self.shutdown()

    @property
    def _is_in_body(self) -> bool:
        return self._phase == _IN_BODY

    @property
    def _buffered_body_bytes(self) -> int:
        return min(self._body_bytes, MAX_BUFFERED_BODY_BYTES)

    def _may_answer(self, cut: CutOff) -> bool:
        """Return whether an answer would be taken for that of the request."""
        if not cut.status or self._phase == _IN_IDLE:
            return False
        if self._owes_earlier_answer():
            return False
        if self._phase == _IN_HEAD:
            return True
        if self._body_bytes and cut.status in _NOT_RUN_STATUSES:
            # A target may already have got a part of the body.
            return False
        return not (
            self.cycle.response_started or self.cycle.response_complete
        )

    def _write_answer(self, cut: CutOff) -> None:
        body = cut.reason.encode()
        lines = (
            STATUS_LINE[cut.status],
            b'content-type: text/plain; charset=utf-8\r\n',
            b'content-length: %d\r\n' % len(body),
            b'retry-after: 1\r\n' if cut.status == 429 else b'',
            b'connection: close\r\n\r\n',
            body,
        )
        self.transport.write(b''.join(lines))
        if self.cycle is not None:
            # The application must not answer the same request.
            self.cycle.disconnected = True
            self.cycle.message_event.set()

    def _begin_head(self) -> None:
        if self._phase != _IN_HEAD:
            self._phase = _IN_HEAD
            self._since_s = self.loop.time()
        self._head_held_bytes = self._counted_headers = 0

    def _measure_head(self) -> int:
        """Return the memory of the head; counts only headers that are new."""
        new = self._head[self._counted_headers :]
        self._counted_headers += len(new)
        self._head_held_bytes += len(new) * HEADER_BYTES + sum(
            len(name) + len(value) for name, value in new
        )
        return len(self.url) + self._head_held_bytes

    def _mark_productive(self) -> None:
        self._is_productive = True
        self._unproductive_bytes = 0
        self._since_s = self.loop.time()

    def _may_resume(self) -> bool:
        """Return whether a request has room for more of its body."""
        if self.pipeline:
            return False
        cycle = self.cycle
        return (
            cycle is None
            or cycle.response_complete
            or len(cycle.body) <= HIGH_WATER_LIMIT
        )

    def _on_parser_resumed(self) -> None:
        self._since_s = self.loop.time()
        self._feed_soon()

    def _feed_soon(self) -> None:
        """Parse what waits for the parser, in a later turn of the loop.

        Not now: uvicorn calls this before it starts a request that is ahead
        of what would be parsed.
        """
        if self._unparsed and not self._feed_scheduled:
            self._feed_scheduled = True
            self.loop.call_soon(self._feed_unparsed)

    def _feed_unparsed(self) -> None:
        self._feed_scheduled = False
        if self.parser is None or not self._unparsed:
            return
        data = bytes(self._unparsed)
        self._unparsed.clear()
        self._feed(data)

    def _feed(self, data: bytes) -> None:
        """Give the parser slices of what was read, until it must wait."""
        size = len(data)
        offset = 0
        while offset < size and not self._is_input_dropped():
            if not self._may_parse():
                self._unparsed += data[offset:]
                break
            in_body = self._phase == _IN_BODY
            end = offset + (BODY_SLICE_BYTES if in_body else HEAD_SLICE_BYTES)
            self._feed_slice(data[offset:end])
            offset = end
        if self._unparsed or self.flow.is_held:
            self._limit_reading()
        if not self.transport.is_closing():
            self.update_held()

    def _limit_reading(self) -> None:
        """Stop reading at the bound on bytes that wait for the parser."""
        if len(self._unparsed) >= MAX_UNPARSED_BYTES:
            self.flow.hold_reading()
        elif self.flow.is_held:
            self.flow.release_reading()

    def _feed_slice(self, data: bytes) -> None:
        self._is_productive = False
        super().data_received(data)
        if self._is_input_dropped():
            return
        if not self._is_productive:
            self._unproductive_bytes += len(data)
        cut = self._find_excess()
        if cut is not None:
            self.cut_off(cut)

    def _find_excess(self) -> CutOff | None:
        """Return which limit on sizes the connection exceeds, if any."""
        if self._phase != _IN_BODY:
            limit = self._ledger.max_head_bytes + REQUEST_LINE_BYTES
            return HEAD_TOO_LARGE if self._unproductive_bytes > limit else None
        if self._unproductive_bytes > self._ledger.max_framing_bytes:
            return FRAMING_TOO_LARGE
        # While the request runs, its application refuses a long body.
        max_bytes = self._ledger.max_body_bytes
        if (
            max_bytes is not None
            and self._body_bytes > max_bytes
            and not self._owes_answer()
        ):
            return BODY_TOO_LARGE
        return None
