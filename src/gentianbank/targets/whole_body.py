"""Reading of an answer's body as a whole, within bounds on time and size."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.domain.numbers import parse_whole
from gentianbank.targets.http_headers import find_header
from gentianbank.targets.transport import TruncatedBodyError

if TYPE_CHECKING:
    from gentianbank.targets.transport import TargetAnswer

_MS_PER_S = 1_000
_MAX_LENGTH = 2**53


@dataclass(frozen=True, slots=True, kw_only=True)
class BodyLimits:
    """Bounds on a body that is read as a whole.

    The time is not bounded as such, since a body takes as long as its size
    and the link demand. The sender must go on sending, though.

    Parameters
    ----------
    silence_ms
        Longest time without any bytes.
    min_bytes_per_s
        Mean rate below which a body is given up, after ``silence_ms``.
    max_bytes
        Largest size.
    """

    silence_ms: float
    min_bytes_per_s: float
    max_bytes: int


@dataclass(frozen=True, slots=True)
class WholeBody:
    """A body that was read to its end.

    Parameters
    ----------
    transfer_ms
        Time from the head of the answer to the end of the body.
    """

    data: bytes
    transfer_ms: float


@dataclass(frozen=True, slots=True)
class BodyTooLarge:
    """The body is larger than the limit.

    Parameters
    ----------
    size_bytes
        The stated size, or what had been read of a body without one.
    """

    size_bytes: int


@dataclass(frozen=True, slots=True)
class BodyLost:
    """The body ended early, or too little of it came in time."""

    cause: str


async def read_body(
    answer: TargetAnswer, limits: BodyLimits
) -> Result[WholeBody, BodyTooLarge | BodyLost]:
    """Read the body of an answer, and close the answer.

    A body whose stated size is over the limit is not read at all.
    """
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    silence_s = limits.silence_ms / _MS_PER_S
    stated_bytes = _stated_bytes(answer)
    data = bytearray()
    try:
        if stated_bytes is not None and stated_bytes > limits.max_bytes:
            return Error(BodyTooLarge(stated_bytes))
        async with asyncio.timeout(silence_s) as timeout:
            async for chunk in answer.chunks():
                data += chunk
                if len(data) > limits.max_bytes:
                    return Error(BodyTooLarge(len(data)))
                slowest_s = len(data) / limits.min_bytes_per_s
                timeout.reschedule(
                    min(loop.time(), began_s + slowest_s) + silence_s
                )
    except TruncatedBodyError as error:
        cause = f'the answer was cut after {len(data)} bytes: {error}'
        return Error(BodyLost(cause))
    except TimeoutError:
        size = 'unknown' if stated_bytes is None else stated_bytes
        after_ms = round((loop.time() - began_s) * _MS_PER_S)
        return Error(
            BodyLost(
                f'the answer was given up after {after_ms} ms, '
                f'{len(data)} of {size} bytes'
            )
        )
    finally:
        await answer.close()
    transfer_ms = (loop.time() - began_s) * _MS_PER_S
    return Ok(WholeBody(bytes(data), transfer_ms))


def _stated_bytes(answer: TargetAnswer) -> int | None:
    length = find_header(answer.headers, b'content-length')
    if length is None:
        return None
    return parse_whole(length.decode('latin-1'), 0, _MAX_LENGTH)
