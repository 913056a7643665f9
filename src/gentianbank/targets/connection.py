"""One HTTP/1.1 connection to a target, and the answers that it carries."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import h11

from gentianbank.targets.response_head import check_head
from gentianbank.targets.response_head import idle_timeout_s
from gentianbank.targets.transport import BodyConnectionLostError
from gentianbank.targets.transport import TargetAnswer
from gentianbank.targets.transport import TruncatedBodyError
from gentianbank.targets.turns import ParsingWork

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from gentianbank.targets.stream import TargetStream
    from gentianbank.targets.transport import RawHeaders
    from gentianbank.targets.transport import TargetRequest
    from gentianbank.targets.turns import ParsingTurns

# An idle connection that is lost so soon after its last use has not been
# closed for being idle.
RECENT_USE_S = 1.0
# Answers to other requests that are skipped before a connection is aborted.
MAX_SKIPPED_ANSWERS = 4
# Bytes of bodies of such answers, which may have no end.
MAX_SKIPPED_BYTES = 256 * 1024
# Interim answers (1xx) before an answer; a target in trouble may send them
# without end.
MAX_INTERIM_ANSWERS = 16
MAX_HEAD_BYTES = 64 * 1024
CONNECTION_ERRORS = (OSError, h11.RemoteProtocolError)
# States of the parser after the end of an answer.
_ENDED_STATES = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)


class TargetConnection:
    """A connection, which carries one request at a time.

    Parameters
    ----------
    turns
        Turns of parsing that all connections share.
    put_idle
        Takes the connection back when it can carry the next request.
    """

    def __init__(
        self,
        address: str,
        stream: TargetStream,
        turns: ParsingTurns,
        put_idle: Callable[[TargetConnection], None],
    ) -> None:
        self.address = address
        self.stream = stream
        self.idle_until_s = 0.0
        self._idle_since_s = 0.0
        self._turns = turns
        self._put_idle = put_idle
        self._parser = _new_parser()
        self._work = ParsingWork(turns)
        self._skipped_bytes = 0
        self._request_id = b''
        self._on_head: Callable[[int, RawHeaders], None] | None = None

    async def exchange_heads(self, request: TargetRequest) -> h11.Response:
        """Send a request and return the head of its answer.

        Raises
        ------
        OSError
            If the connection fails.
        h11.LocalProtocolError
            If the request is not valid HTTP.
        h11.RemoteProtocolError
            If no valid answer to the request arrives.
        """
        head = h11.Request(
            method=request.method,
            target=request.path,
            headers=request.headers,
        )
        self._work = ParsingWork(self._turns)
        self._skipped_bytes = 0
        self._request_id = request.request_id
        self._on_head = request.on_head
        data = self._parser.send(head)
        assert data is not None
        if request.body is None or isinstance(request.body, bytes):
            # The event loop buffers what the target does not read at once.
            self.stream.write(data + self._encode_body(request.body))
            return await self._read_own_head(request, head)
        self.stream.write(data)
        return await self._read_while_sending(request, request.body, head)

    async def _read_while_sending(
        self,
        request: TargetRequest,
        body: AsyncIterator[bytes],
        head: h11.Request,
    ) -> h11.Response:
        """Send a body and read the head of the answer at the same time.

        A target may answer before it has read the body. The rest is then
        not sent, and the connection is not used again.
        """
        sender = asyncio.ensure_future(self._send_chunks(body))
        reader = asyncio.ensure_future(self._read_own_head(request, head))
        try:
            await asyncio.wait(
                (sender, reader), return_when=asyncio.FIRST_COMPLETED
            )
            if not reader.done():
                _raise_body_error(sender.exception())
            return await reader
        finally:
            for task in (sender, reader):
                task.cancel()
            await asyncio.gather(sender, reader, return_exceptions=True)

    async def _send_chunks(self, body: AsyncIterator[bytes]) -> None:
        async for chunk in body:
            self.stream.write(self._encode_chunk(chunk))
            await self.stream.drain()
        self.stream.write(self._encode_body(None))

    async def _read_own_head(
        self, request: TargetRequest, head: h11.Request
    ) -> h11.Response:
        """Return the head of the answer to a request; skip other answers."""
        for _ in range(MAX_SKIPPED_ANSWERS):
            response = await self._read_head()
            owns = request.owns_answer
            if owns is None or owns(list(response.headers.raw_items())):
                return response
            if self._parser.our_state is not h11.DONE:
                # A new parser would not know how much of the body was sent.
                raise h11.RemoteProtocolError('foreign answer during a body')
            await self._skip_answer(head, request.body)
        raise h11.RemoteProtocolError('too many answers to other requests')

    async def next_chunk(self) -> bytes | None:
        """Return the next part of the body, or ``None`` at its end.

        Small chunks that have arrived together are joined, as each part
        costs its reader more than its bytes.
        """
        if self._parser.their_state in _ENDED_STATES:
            return None
        parts: list[bytes] = []
        while not (parts and self._work.is_turn_over):
            event = await self._next_event(wait=not parts)
            if isinstance(event, h11.Data):
                parts.append(event.data)
                continue
            if isinstance(event, h11.EndOfMessage) and not parts:
                return None
            break
        return b''.join(parts)

    def has_answered(self, request: TargetRequest) -> bool:
        """Return whether the latest answer was one to the same request."""
        return bool(request.request_id) and (
            request.request_id == self._request_id
        )

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that were not parsed."""
        unparsed, _ = self._parser.trailing_data
        return bool(unparsed) or self.stream.has_unread_bytes

    @property
    def is_lost_after_use(self) -> bool:
        """Return whether the connection was lost soon after its last use."""
        if not (self.stream.is_idle and self.stream.was_lost):
            return False
        end_s = min(self.idle_until_s, self._idle_since_s + RECENT_USE_S)
        return time.monotonic() < end_s

    def finish(self, head: h11.Response) -> None:
        """Return the connection to the pool if it is reusable, else abort it.

        Parameters
        ----------
        head
            Head of the answer, which may state the idle timeout.
        """
        reusable = (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and not self.has_unread_bytes
            and self.stream.is_usable
        )
        if not reusable:
            self.abort()
            return
        self._parser.start_next_cycle()
        self._idle_since_s = time.monotonic()
        self.idle_until_s = self._idle_since_s + idle_timeout_s(head)
        self._put_idle(self)

    def abort(self) -> None:
        """Abort the connection, which tells the target to cancel its work."""
        self.stream.abort()

    def _encode_body(self, body: bytes | None) -> bytes:
        data = self._encode_chunk(body) if body else b''
        return data + (self._parser.send(h11.EndOfMessage()) or b'')

    def _encode_chunk(self, chunk: bytes) -> bytes:
        return self._parser.send(h11.Data(data=chunk)) or b''

    async def _read_head(self) -> h11.Response:
        for _ in range(MAX_INTERIM_ANSWERS):
            event = await self._next_event()
            if not isinstance(event, h11.Response | h11.InformationalResponse):
                raise h11.RemoteProtocolError('the target closed')
            if self._on_head is not None:
                headers = list(event.headers.raw_items())
                self._on_head(event.status_code, headers)
            if isinstance(event, h11.Response):
                check_head(event)
                return event
        raise h11.RemoteProtocolError('too many interim answers')

    async def _skip_answer(
        self, head: h11.Request, body: AsyncIterator[bytes] | bytes | None
    ) -> None:
        """Discard an answer to another request.

        Parameters
        ----------
        head, body
            The request whose answer is still awaited.
        """
        while (chunk := await self.next_chunk()) is not None:
            self._skipped_bytes += len(chunk)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                raise h11.RemoteProtocolError(
                    'too long answers to other requests'
                )
        unread, ended = self._parser.trailing_data
        if ended:
            raise h11.RemoteProtocolError('closed after a foreign answer')
        # A parser accepts one answer per request. A new one is brought to the
        # state after this request, to parse the bytes that follow.
        self._parser = _new_parser()
        self._parser.send(head)
        if isinstance(body, bytes) and body:
            self._encode_chunk(body)
        if body is None or isinstance(body, bytes):
            self._parser.send(h11.EndOfMessage())
        if unread:
            self._parser.receive_data(unread)

    async def _next_event(
        self, *, wait: bool = True
    ) -> h11.Event | type[h11.PAUSED] | None:
        """Return the next event of the parser.

        Parameters
        ----------
        wait
            Whether to wait for bytes if the event is not complete; without
            that, the result is ``None`` then.
        """
        while True:
            await self._work.wait_turn()
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                self._work.add_event()
                assert not isinstance(event, type) or event is h11.PAUSED
                return event
            if not wait:
                return None
            data = await self.stream.read()
            self._work.add_bytes(len(data))
            self._parser.receive_data(data)


class ConnectionAnswer(TargetAnswer):
    """An answer whose body is read from its connection."""

    def __init__(
        self, connection: TargetConnection, head: h11.Response
    ) -> None:
        self._connection = connection
        self._head = head
        self._open = True
        self.status = head.status_code
        self.headers: RawHeaders = list(head.headers.raw_items())

    async def chunks(self) -> AsyncIterator[bytes]:
        try:
            while (chunk := await self._connection.next_chunk()) is not None:
                yield chunk
        except CONNECTION_ERRORS as error:
            lost = self._connection.stream.has_ended
            failure = BodyConnectionLostError if lost else TruncatedBodyError
            raise failure(describe(error)) from error
        self._open = False
        self.is_followed = self._connection.has_unread_bytes
        self._connection.finish(self._head)

    async def close(self) -> None:
        if self._open:
            self._open = False
            self._connection.abort()


def describe(error: Exception) -> str:
    """Return the type and the text of an error."""
    return f'{type(error).__name__} {error}'.strip()


def _raise_body_error(error: BaseException | None) -> None:
    """Raise what ended the sending of a body, unless an answer may follow.

    After a failed connection an answer that has arrived can still be read.
    """
    if error is None or isinstance(error, CONNECTION_ERRORS):
        return
    if isinstance(error, h11.LocalProtocolError):
        # Unlike such an error in the head, this one comes after the target
        # may have begun to run the request.
        raise ConnectionAbortedError(f'invalid body: {error}') from error
    raise error


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
