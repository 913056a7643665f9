"""Idempotency keys and the process that may send their requests."""

from __future__ import annotations

from dataclasses import dataclass
import re

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.domain.errors import FieldError

MAX_KEY_LENGTH = 200
_SCOPED = re.compile(r'([0-9a-f]{16})\.(\d{1,12})\.([!-~]{1,160})')
_OPAQUE = re.compile(r'[!-~]{1,200}')


@dataclass(frozen=True, slots=True)
class ScopedKey:
    """A key that only one incarnation of a node may ever send.

    Parameters
    ----------
    incarnation
        Incarnation of the node that owns the key.
    epoch
        Epoch of that incarnation in which the key was made.
    part
        The caller's own part.
    """

    incarnation: str
    epoch: int
    part: str

    def __str__(self) -> str:
        return f'{self.incarnation}.{self.epoch}.{self.part}'


@dataclass(frozen=True, slots=True)
class OpaqueKey:
    """A key of the caller's own, claimed in the store before sending."""

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
        Service that the request is for; it scopes opaque keys.
    value
        Header value: visible ASCII, quotes around it are dropped.
    """
    value = value.strip().strip('"')
    scoped = _SCOPED.fullmatch(value)
    if scoped:
        return Ok(ScopedKey(scoped[1], int(scoped[2]), scoped[3]))
    if _OPAQUE.fullmatch(value):
        return Ok(OpaqueKey(service, value))
    cause = f'expected 1 to {MAX_KEY_LENGTH} visible ASCII characters'
    return Error(FieldError('Idempotency-Key', cause))
