"""Typed errors that functions return instead of raising them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

_SHOWN_CHARACTERS = 60


def show(value: Any) -> str:
    """Return the start of a value of any kind, for an error message."""
    try:
        return f'{value!r:.{_SHOWN_CHARACTERS}}'
    except (ValueError, RecursionError):
        # Numbers of very many digits and deep values cannot be printed.
        return f'a {type(value).__name__} that is too large'


@dataclass(frozen=True, slots=True)
class FieldError:
    """One invalid field of a document.

    Parameters
    ----------
    path
        Dotted path of the field inside its document.
    cause
        What is wrong with the value.
    """

    path: str
    cause: str

    def __str__(self) -> str:
        return f'{self.path}: {self.cause}'


@dataclass(frozen=True, slots=True)
class UnknownField(FieldError):
    """A field that this version does not know."""


@dataclass(frozen=True, slots=True)
class InvalidDocument:
    """A document that was rejected, with all of its invalid fields."""

    source: str
    errors: tuple[FieldError, ...]

    def __str__(self) -> str:
        return '\n'.join(f'{self.source}: {error}' for error in self.errors)


@dataclass(frozen=True, slots=True)
class RevisionConflict:
    """A change was based on a revision that is no longer the current one."""

    expected_revision: int
    current_revision: int
    author: str
    summary: str

    def __str__(self) -> str:
        return (
            f'expected revision {self.expected_revision}, but the current '
            f'one is {self.current_revision}: {self.summary} '
            f'by {self.author}'
        )


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store gave no usable answer."""

    cause: str

    def __str__(self) -> str:
        return f'store unavailable: {self.cause}'


@dataclass(frozen=True, slots=True)
class ValueTooLarge:
    """A value that is larger than the store accepts."""

    key: str
    size_bytes: int
    limit_bytes: int

    def __str__(self) -> str:
        return (
            f'{self.key}: {self.size_bytes} bytes are over the limit of '
            f'{self.limit_bytes} bytes of a value in the store'
        )


@dataclass(frozen=True, slots=True)
class ChangeOutcomeUnknown:
    """A change of which it is unknown whether the store accepted it."""

    change_id: str
    cause: str

    def __str__(self) -> str:
        return (
            f'change {self.change_id}: outcome unknown ({self.cause}); '
            'look for its id in the history before trying again'
        )


ChangeError = (
    InvalidDocument
    | RevisionConflict
    | StoreUnavailable
    | ValueTooLarge
    | ChangeOutcomeUnknown
)
