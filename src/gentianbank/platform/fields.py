"""Validated access to the fields of the platform's JSON documents.

Unknown fields are ignored, since the platform adds fields without notice.
"""

from __future__ import annotations

import json
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.domain.errors import FieldError
from gentianbank.domain.errors import InvalidDocument
from gentianbank.domain.errors import show

# Larger numbers are errors: no field needs them, and not all of them can be
# converted to a float.
MAX_NUMBER = 2**53
MAX_TEXT_CHARACTERS = 4_000


class Fields:
    """Reads the fields of one JSON object.

    For a missing or invalid field it adds an error to ``errors`` and returns
    a neutral value, so that one pass finds all errors of the object. Nested
    objects of a list have errors of their own, since an invalid one may be
    left out without the others.
    """

    def __init__(self, raw: Any, path: str = '') -> None:
        self.errors: list[FieldError] = []
        self._path = path
        self._raw: dict[str, Any] = raw if isinstance(raw, dict) else {}
        if not isinstance(raw, dict):
            self.reject('', 'expected an object')

    def text(self, name: str, default: str | None = None) -> str:
        """Return a non-empty text; an empty one after an error.

        Text that cannot be encoded, such as half of a surrogate pair, is an
        error, and so is a very long one.
        """
        value = self._raw.get(name, default)
        if not (isinstance(value, str) and value and is_encodable(value)):
            self.reject(name, f'expected text, got {show(value)}')
            return ''
        if len(value) > MAX_TEXT_CHARACTERS:
            cause = f'{len(value)} characters are over {MAX_TEXT_CHARACTERS}'
            self.reject(name, cause)
            return ''
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number of at least 0; 0 after an error."""
        value = self._raw.get(name, default)
        is_number = isinstance(value, int | float) and not isinstance(
            value, bool
        )
        if is_number and value is not None and 0 <= value <= MAX_NUMBER:
            return float(value)
        self.reject(name, f'expected a number from 0, got {show(value)}')
        return 0.0

    def whole(
        self,
        name: str,
        default: int | None = None,
        *,
        maximum: int = MAX_NUMBER,
    ) -> int:
        """Return a whole number from 0 to a maximum; 0 after an error."""
        value = self._raw.get(name, default)
        is_number = isinstance(value, int) and not isinstance(value, bool)
        if is_number and value is not None and 0 <= value <= maximum:
            return int(value)
        cause = f'expected a whole number up to {maximum}, got {show(value)}'
        self.reject(name, cause)
        return 0

    def flag(self, name: str, *, default: bool) -> bool:
        """Return a Boolean; the default after an error."""
        value = self._raw.get(name, default)
        if isinstance(value, bool):
            return value
        self.reject(name, f'expected true or false, got {show(value)}')
        return default

    def choice(self, name: str, choices: frozenset[str]) -> str:
        """Return a text that is one of the choices; empty after an error."""
        value = self._raw.get(name)
        if isinstance(value, str) and value in choices:
            return value
        expected = ', '.join(sorted(choices))
        self.reject(name, f'expected one of {expected}, got {show(value)}')
        return ''

    def objects(self, name: str) -> list[Fields]:
        """Return a list of objects; empty if the field is missing."""
        return [
            Fields(item, f'{self._path}{name}[{index}].')
            for index, item in enumerate(self._read_list(name))
        ]

    def required_objects(self, name: str) -> list[Fields]:
        """Return a list of objects, whose absence is an error."""
        if not self.has(name):
            self.reject(name, 'expected a list, got none')
        return self.objects(name)

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of texts; empty if the field is missing."""
        values = self._read_list(name)
        if all(isinstance(v, str) and is_encodable(v) for v in values):
            return tuple(values)
        self.reject(name, f'expected texts, got {show(values)}')
        return ()

    def values(self, name: str) -> list[Any] | None:
        """Return a list as it is; ``None`` if the field is no list."""
        value = self._raw.get(name)
        return value if isinstance(value, list) else None

    def nested(self, name: str) -> Fields:
        """Return a reader for the fields of a nested object."""
        return Fields(self._raw.get(name), f'{self._path}{name}.')

    def has(self, name: str) -> bool:
        """Tell whether a field is present and not null."""
        return self._raw.get(name) is not None

    def _read_list(self, name: str) -> list[Any]:
        value = self._raw.get(name)
        if value is None:
            return []
        if isinstance(value, list):
            return value
        self.reject(name, f'expected a list, got {show(value)}')
        return []

    def reject(self, name: str, cause: str) -> None:
        """Add an error about a field, or the object if the name is empty."""
        path = f'{self._path}{name}'.rstrip('.') or '(document)'
        self.errors.append(FieldError(path, cause))


def parse(data: bytes, source: str) -> Result[Fields, InvalidDocument]:
    """Parse a JSON document."""
    try:
        return Ok(Fields(json.loads(data)))
    except (ValueError, RecursionError) as error:
        cause = FieldError('(document)', f'not JSON: {error}')
        return Error(InvalidDocument(source, (cause,)))


def is_encodable(text: str) -> bool:
    """Return whether a text has no half of a surrogate pair."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
