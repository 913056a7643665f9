"""Targets over HTTP/1.1, with a pool of connections for each."""

from __future__ import annotations

import asyncio
import socket
import ssl
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result
import httpx

from gentianbank.platform.target_transport import MaybeSent
from gentianbank.platform.target_transport import NotSent
from gentianbank.platform.target_transport import RawHeaders
from gentianbank.platform.target_transport import SendError
from gentianbank.platform.target_transport import TargetAnswer
from gentianbank.platform.target_transport import TargetRequest
from gentianbank.platform.target_transport import TargetTransport
from gentianbank.platform.target_transport import TruncatedBodyError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
import functools

KEEP_ALIVE_S = 4.0
IDLE_BODY_S = 30.0
RECEIVE_BUFFER_BYTES = 256 * 1024
_MS_PER_S = 1_000
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class HttpTargets(TargetTransport):
    """Sends requests through httpx, one pool for each target."""

    def __init__(self) -> None:
        # Loading certificates takes tens of ms; the pools share one context.
        self._ssl = ssl.create_default_context()
        self._pools: dict[str, httpx.AsyncHTTPTransport] = {}

    async def close(self) -> None:
        """Close every connection."""
        for pool in self._pools.values():
            await pool.aclose()

    async def send(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, SendError]:
        pool = self._pools.get(request.address)
        if pool is None:
            pool = self._pools[request.address] = _open_pool(
                request, self._ssl
            )
        message = _build(request)
        try:
            async with asyncio.timeout(
                request.headers_timeout_ms / _MS_PER_S
            ) as limit:
                answer = await pool.handle_async_request(message)
        except _NOT_SENT as error:
            return Error(NotSent(_describe(error)))
        except TimeoutError:
            if not limit.expired():
                raise
            return Error(MaybeSent('the target did not answer in time'))
        except (httpx.HTTPError, OSError) as error:
            return Error(MaybeSent(_describe(error)))
        return Ok(_HttpAnswer(answer))


class _HttpAnswer(TargetAnswer):
    def __init__(self, answer: httpx.Response) -> None:
        self._answer = answer
        self.status = answer.status_code
        self.headers: RawHeaders = list(answer.headers.raw)

    async def chunks(self) -> AsyncIterator[bytes]:
        assert isinstance(self._answer.stream, httpx.AsyncByteStream)
        try:
            async for chunk in self._answer.stream:
                yield chunk
        except (httpx.HTTPError, OSError) as error:
            raise TruncatedBodyError(_describe(error)) from error

    async def close(self) -> None:
        await self._answer.aclose()


def _open_pool(
    request: TargetRequest, context: ssl.SSLContext
) -> httpx.AsyncHTTPTransport:
    return httpx.AsyncHTTPTransport(
        verify=context,
        limits=httpx.Limits(
            max_connections=request.max_connections,
            max_keepalive_connections=request.max_connections,
            keepalive_expiry=KEEP_ALIVE_S,
        ),
        socket_options=[
            (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        ],
        trust_env=False,
    )


def _build(request: TargetRequest) -> httpx.Request:
    connect_s = request.connect_timeout_ms / _MS_PER_S
    return httpx.Request(
        request.method,
        _url_of(request.address),
        headers=request.headers,
        stream=_Stream(request.body),
        extensions={
            # Takes the place of the path in the URL, which is cached.
            'target': request.path,
            'timeout': {
                'connect': connect_s,
                'pool': connect_s,
                'read': IDLE_BODY_S,
                'write': IDLE_BODY_S,
            },
        },
    )


@functools.lru_cache(maxsize=16_384)
def _url_of(address: str) -> httpx.URL:
    return httpx.URL(f'http://{address}/')


class _Stream(httpx.AsyncByteStream):
    def __init__(self, body: AsyncIterator[bytes] | None) -> None:
        self._body = body

    async def __aiter__(self) -> AsyncIterator[bytes]:
        if self._body is not None:
            async for chunk in self._body:
                yield chunk


def _describe(error: Exception) -> str:
    return f'{type(error).__name__} {error}'.strip()
