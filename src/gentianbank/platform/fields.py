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


class Fields:
    """Reads the fields of one JSON object.

    For a missing or invalid field it adds an error to a list and returns a
    neutral value, so that one pass finds all errors of a document.
    """

    def __init__(self, raw: Any, path: str, errors: list[FieldError]) -> None:
        self._path = path
        self._errors = errors
        self._raw: dict[str, Any] = raw if isinstance(raw, dict) else {}
        if not isinstance(raw, dict):
            self._add_error('', 'expected an object')

    def text(self, name: str, default: str | None = None) -> str:
        """Return a non-empty text; an empty one after an error."""
        value = self._raw.get(name, default)
        if isinstance(value, str) and value:
            return value
        self._add_error(name, f'expected text, got {value!r:.60}')
        return ''

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number of at least 0; 0 after an error."""
        value = self._raw.get(name, default)
        is_number = isinstance(value, int | float) and not isinstance(
            value, bool
        )
        if is_number and value is not None and value >= 0:
            return float(value)
        self._add_error(name, f'expected a number from 0, got {value!r:.60}')
        return 0.0

    def whole(self, name: str, default: int | None = None) -> int:
        """Return a whole number of at least 0; 0 after an error."""
        value = self._raw.get(name, default)
        is_number = isinstance(value, int) and not isinstance(value, bool)
        if is_number and value is not None and value >= 0:
            return int(value)
        self._add_error(name, f'expected a whole number, got {value!r:.60}')
        return 0

    def flag(self, name: str, *, default: bool) -> bool:
        """Return a Boolean; the default after an error."""
        value = self._raw.get(name, default)
        if isinstance(value, bool):
            return value
        self._add_error(name, f'expected true or false, got {value!r:.60}')
        return default

    def choice(self, name: str, choices: frozenset[str]) -> str:
        """Return a text that is one of the choices; empty after an error."""
        value = self._raw.get(name)
        if isinstance(value, str) and value in choices:
            return value
        expected = ', '.join(sorted(choices))
        self._add_error(name, f'expected one of {expected}, got {value!r:.60}')
        return ''

    def objects(self, name: str) -> list[Fields]:
        """Return a list of objects; empty if the field is missing."""
        return [
            Fields(item, f'{self._path}{name}[{index}].', self._errors)
            for index, item in enumerate(self._read_list(name))
        ]

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of texts; empty if the field is missing."""
        return tuple(str(item) for item in self._read_list(name))

    def nested(self, name: str) -> Fields:
        """Return a reader for the fields of a nested object."""
        raw = self._raw.get(name)
        return Fields(raw, f'{self._path}{name}.', self._errors)

    def has(self, name: str) -> bool:
        """Tell whether a field is present and not null."""
        return self._raw.get(name) is not None

    def _read_list(self, name: str) -> list[Any]:
        value = self._raw.get(name)
        if value is None:
            return []
        if isinstance(value, list):
            return value
        self._add_error(name, f'expected a list, got {value!r:.60}')
        return []

    def _add_error(self, name: str, cause: str) -> None:
        path = f'{self._path}{name}'.rstrip('.') or '(document)'
        self._errors.append(FieldError(path, cause))


def parse(
    data: bytes, source: str, errors: list[FieldError]
) -> Result[Fields, InvalidDocument]:
    """Parse a JSON document.

    Later errors of its fields are added to ``errors``.
    """
    try:
        return Ok(Fields(json.loads(data), '', errors))
    except (ValueError, RecursionError) as error:
        cause = FieldError('(document)', f'not JSON: {error}')
        return Error(InvalidDocument(source, (cause,)))
