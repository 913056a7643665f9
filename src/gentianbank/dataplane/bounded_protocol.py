"""HTTP connection of a caller that holds a bounded amount of memory.

The parser is that of httptools. It gets what was read in small slices, so
that the bytes between two of its callbacks are known and parsing can stop
after any request.
"""

from __future__ import annotations

import contextlib
import math
from typing import Any
from typing import TYPE_CHECKING

import uvicorn
from uvicorn.protocols.http.flow_control import FlowControl
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
from gentianbank.domain.connection_limits import ConnectionLimits

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

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


class PausableFlow(FlowControl):
    """Flow control whose pauses stop the parser before they stop reading.

    Parameters
    ----------
    may_resume
        Returns whether the parser may get more.
    on_resumed
        Called when the parser gets more again.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        may_resume: Callable[[], bool],
        on_resumed: Callable[[], None],
    ) -> None:
        super().__init__(transport)
        self._may_resume = may_resume
        self._on_resumed = on_resumed

    def pause_reading(self) -> None:
        """Stop the parser after the current slice."""
        self.read_paused = True

    def resume_reading(self) -> None:
        """Let the parser go on, unless requests ahead are waiting."""
        if self.read_paused and self._may_resume():
            self.read_paused = False
            self._on_resumed()


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
        self._is_cut_off = False
        self._phase = _IN_IDLE
        self._since_s = self.opened_s
        self._unparsed = bytearray()
        self._feed_scheduled = False
        # Bytes since the last callback that ended a head or gave data.
        self._unproductive_bytes = 0
        self._is_productive = False
        self._head_held_bytes = 0
        self._body_bytes = 0

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        super().connection_made(transport)
        self.address = self.client[0] if self.client else ''
        with contextlib.suppress(AttributeError):
            transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        self.flow = PausableFlow(
            transport, lambda: not self.pipeline, self._on_parser_resumed
        )
        refusal = self._ledger.admit(self)
        if refusal is not None:
            self._is_cut_off = True
            self._ledger.on_cut_off(self, refusal)
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._unparsed.clear()
        self._ledger.release(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self._is_cut_off:
            # An earlier answer is still owed; what follows is not read.
            return
        if self._unparsed or self.flow.read_paused:
            self._unparsed += data
            if len(self._unparsed) >= MAX_UNPARSED_BYTES:
                self.transport.pause_reading()
            self.update_held()
            return
        self._feed(data)

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._begin_head()

    def on_url(self, url: bytes) -> None:
        super().on_url(url)
        self._head_held_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._phase == _IN_BODY:
            # A trailer. Nothing uses it, and it is no header of the request.
            return
        super().on_header(name, value)
        self._head_held_bytes += len(name) + len(value) + HEADER_BYTES

    def on_headers_complete(self) -> None:
        # Raises for a malformed target, which leaves the head incomplete.
        super().on_headers_complete()
        self._mark_productive()
        self._phase = _IN_BODY
        self._body_bytes = 0
        self._ledger.on_head(self)

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
        # The sweep of the ledger ends idle connections; this is no earlier.
        self.timeout_keep_alive = math.ceil(self._ledger.idle_timeout_s) + 2
        super().on_response_complete()
        if not self.transport.is_closing():
            self.update_held()

    def send_400_response(self, msg: str) -> None:
        if not self._is_cut_off:
            self.cut_off(MALFORMED)

    def _unsupported_upgrade_warning(self) -> None:
        """Write no line, as any caller could cause one for each read."""

    def overdue(self, now_s: float) -> CutOff | None:
        """Return why the connection has exceeded a time limit, if so."""
        if self._unparsed or self.flow.read_paused or self._is_cut_off:
            # The node does not read, so nothing is due.
            self._since_s = now_s
            return None
        waited_s = now_s - self._since_s
        if self._phase == _IN_HEAD:
            late = waited_s > self._ledger.header_timeout_s
            return HEAD_TOO_SLOW if late else None
        if waited_s <= self._ledger.idle_timeout_s:
            return None
        if self._phase == _IN_BODY:
            return BODY_TOO_SLOW
        return None if self._owes_answer() else IDLE

    def forgive(self, now_s: float) -> None:
        """Begin the time limits anew."""
        self._since_s = now_s

    def update_held(self) -> None:
        """Report to the ledger what the connection holds now."""
        in_head = self._phase == _IN_HEAD
        in_body = self._phase == _IN_BODY
        body_bytes = min(self._body_bytes, MAX_BUFFERED_BODY_BYTES)
        held = Held(
            heads=self._head_held_bytes * (in_head or in_body)
            + self._unproductive_bytes * in_head,
            bodies=body_bytes * in_body,
            running=body_bytes * (not in_body and self._owes_answer()),
            ahead=len(self._unparsed) + len(self.pipeline) * REQUEST_BYTES,
            answers=self.transport.get_write_buffer_size(),
        )
        self._ledger.charge(self, held)

    def cut_off(self, cut: CutOff) -> None:
        """Answer if possible, and close the connection.

        Answers that are owed for earlier requests are sent first.
        """
        if self._is_cut_off or self.transport.is_closing():
            return
        self._is_cut_off = True
        self._ledger.on_cut_off(self, cut)
        self._unparsed.clear()
        if cut is MEMORY and self.transport.get_write_buffer_size():
            # The caller does not read; only this frees what it holds.
            self.transport.abort()
        elif self._may_answer(cut):
            self._write_answer(cut)
            self.transport.close()
        elif self._phase != _IN_BODY:
            self.shutdown()
        else:
            self.transport.close()

    def _owes_answer(self) -> bool:
        """Return whether a request that was read is not answered yet."""
        return self.cycle is not None and not self.cycle.response_complete

    def _may_answer(self, cut: CutOff) -> bool:
        """Return whether an answer would be taken for that of the request."""
        if not cut.status or self._phase == _IN_IDLE:
            return False
        if self._phase == _IN_HEAD:
            return not self._owes_answer()
        if self._body_bytes and cut.status in _NOT_RUN_STATUSES:
            # A target may already have got a part of the body.
            return False
        return not (
            self.pipeline
            or self.cycle.response_started
            or self.cycle.response_complete
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
        self._head_held_bytes = 0

    def _mark_productive(self) -> None:
        self._is_productive = True
        self._unproductive_bytes = 0
        self._since_s = self.loop.time()

    def _on_parser_resumed(self) -> None:
        self._since_s = self.loop.time()
        if self._unparsed and not self._feed_scheduled:
            # Not now: the caller of this is about to start a request that
            # is ahead of what would be parsed.
            self._feed_scheduled = True
            self.loop.call_soon(self._feed_unparsed)

    def _feed_unparsed(self) -> None:
        self._feed_scheduled = False
        data = bytes(self._unparsed)
        self._unparsed.clear()
        if self.parser is not None and not self._is_cut_off:
            self._feed(data)

    def _feed(self, data: bytes) -> None:
        """Give the parser slices of what was read, until it must wait."""
        offset = 0
        while offset < len(data) and not self._is_ending():
            if self.flow.read_paused:
                self._unparsed += data[offset:]
                break
            in_body = self._phase == _IN_BODY
            size = BODY_SLICE_BYTES if in_body else HEAD_SLICE_BYTES
            self._feed_slice(data[offset : offset + size])
            offset += size
        if self._is_ending():
            return
        if len(self._unparsed) >= MAX_UNPARSED_BYTES:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
        self.update_held()

    def _is_ending(self) -> bool:
        return self._is_cut_off or self.transport.is_closing()

    def _feed_slice(self, data: bytes) -> None:
        # An empty line may follow a body; it begins no head.
        if self._phase == _IN_IDLE and data.strip(b'\r\n'):
            self._begin_head()
        self._is_productive = False
        super().data_received(data)
        if self._is_ending():
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
