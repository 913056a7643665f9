"""Idempotency keys of requests.

A key decides which node may send its request to a target.
"""

from __future__ import annotations

from dataclasses import dataclass
import re

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.domain.errors import FieldError

MAX_KEY_LENGTH = 200
_SCOPED_KEY_PATTERN = re.compile(r'([0-9a-f]{16})\.(\d{1,12})\.([!-~]{1,160})')
_OPAQUE_KEY_PATTERN = re.compile(r'[!-~]{1,200}')


@dataclass(frozen=True, slots=True)
class ScopedKey:
    """A key whose request only one incarnation of a node may ever send.

    Parameters
    ----------
    incarnation
        Incarnation (run of the node process) that owns the key.
    epoch
        Number of the period in which the key was made, counted on that
        incarnation's clock.
    part
        Text chosen by the caller to tell its requests apart.
    """

    incarnation: str
    epoch: int
    part: str

    def __str__(self) -> str:
        return f'{self.incarnation}.{self.epoch}.{self.part}'


@dataclass(frozen=True, slots=True)
class OpaqueKey:
    """A key chosen freely by the caller.

    A node claims it in the store before it sends the request, so that no
    other node sends it as well.
    """

    service: str
    value: str

    def __str__(self) -> str:
        return f'{self.service}/{self.value}'


RequestKey = ScopedKey | OpaqueKey


def parse_key(service: str, value: str) -> Result[RequestKey, FieldError]:
    """Parse the value of an ``Idempotency-Key`` header.

    Parameters
    ----------
    service
        Service that the request is for; equal opaque keys of different
        services are different keys.
    value
        Header value: visible ASCII. Quotes around it are dropped.
    """
    value = value.strip().strip('"')
    scoped = _SCOPED_KEY_PATTERN.fullmatch(value)
    if scoped:
        return Ok(ScopedKey(scoped[1], int(scoped[2]), scoped[3]))
    if _OPAQUE_KEY_PATTERN.fullmatch(value):
        return Ok(OpaqueKey(service, value))
    cause = f'expected 1 to {MAX_KEY_LENGTH} visible ASCII characters'
    return Error(FieldError('Idempotency-Key', cause))
