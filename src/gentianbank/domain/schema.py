"""Validation of plain documents and conversion into data classes.

A data class declares the rule of each field with :func:`integer`,
:func:`number`, :func:`text`, :func:`name`, :func:`flag`, :func:`binary`,
:func:`nested`, :func:`sequence` or :func:`mapping`. :func:`read` applies
the rules to a plain document and reports every invalid field with its path;
:func:`dump` is its inverse.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
import dataclasses
from dataclasses import dataclass
import difflib
import re
from typing import Any
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.domain.errors import FieldError
from gentianbank.domain.errors import InvalidDocument
from gentianbank.domain.errors import show
from gentianbank.domain.errors import UnknownField

T = TypeVar('T')

NAME_PATTERN = r'[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?'
_OCTET_PATTERN = r'(25[0-5]|2[0-4][0-9]|[01]?[0-9]?[0-9])'
_PORT_PATTERN = (
    r'([0-9]{1,4}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}'
    r'|655[0-2][0-9]|6553[0-5])'
)
ADDRESS_PATTERN = (
    rf'({_OCTET_PATTERN}(\.{_OCTET_PATTERN}){{3}}|\[[0-9a-fA-F:]+\])'
    rf':{_PORT_PATTERN}'
)
URL_PATTERN = r'https?://[^\s/]+'
MAX_BINARY_BYTES = 1_000_000
_RULE_KEY = 'gentianbank.rule'
_UNIT_BY_SUFFIX = {
    '_ms': 'milliseconds',
    '_s': 'seconds',
    '_bytes': 'bytes',
    '_percent': 'percent',
    '_mbit_per_s': 'Mbit/s',
}


class Rule(ABC):
    """Validates one value and converts it from and to its plain form."""

    @abstractmethod
    def read(self, raw: Any, path: str, errors: list[FieldError]) -> Any:
        """Return the value, or add an error and return ``None``."""

    def dump(self, value: Any) -> Any:
        """Return the plain form of a valid value."""
        return value


@dataclass(frozen=True, slots=True)
class _NumberRule(Rule):
    minimum: float
    maximum: float
    whole: bool

    def read(self, raw: Any, path: str, errors: list[FieldError]) -> Any:
        kinds = (int,) if self.whole else (int, float)
        if isinstance(raw, bool) or not isinstance(raw, kinds):
            kind = 'whole number' if self.whole else 'number'
            cause = f'expected a {kind}{_unit_phrase(path)}, got {show(raw)}'
            errors.append(FieldError(path, cause))
            return None
        if not self.minimum <= raw <= self.maximum:
            cause = f'{show(raw)} is outside {self.minimum}..{self.maximum}'
            errors.append(FieldError(path, cause))
            return None
        return raw if self.whole else float(raw)


@dataclass(frozen=True, slots=True)
class _TextRule(Rule):
    pattern: str
    choices: tuple[str, ...]

    def read(self, raw: Any, path: str, errors: list[FieldError]) -> Any:
        if not isinstance(raw, str):
            errors.append(FieldError(path, f'expected text, got {show(raw)}'))
            return None
        if self.choices and raw not in self.choices:
            cause = f'{show(raw)} is none of {", ".join(self.choices)}'
            errors.append(FieldError(path, cause))
            return None
        if not re.fullmatch(self.pattern, raw):
            cause = f'{show(raw)} does not match {self.pattern}'
            errors.append(FieldError(path, cause))
            return None
        return raw


@dataclass(frozen=True, slots=True)
class _FlagRule(Rule):
    def read(self, raw: Any, path: str, errors: list[FieldError]) -> Any:
        if not isinstance(raw, bool):
            cause = f'expected true or false, got {show(raw)}'
            errors.append(FieldError(path, cause))
            return None
        return raw


@dataclass(frozen=True, slots=True)
class _BinaryRule(Rule):
    maximum_bytes: int

    def read(self, raw: Any, path: str, errors: list[FieldError]) -> Any:
        if not isinstance(raw, bytes) or len(raw) > self.maximum_bytes:
            cause = f'expected at most {self.maximum_bytes} bytes'
            errors.append(FieldError(path, cause))
            return None
        return raw


@dataclass(frozen=True, slots=True)
class _NestedRule(Rule):
    kind: type

    def read(self, raw: Any, path: str, errors: list[FieldError]) -> Any:
        return _read_object(self.kind, raw, path, errors)

    def dump(self, value: Any) -> Any:
        return dump(value)


@dataclass(frozen=True, slots=True)
class _SequenceRule(Rule):
    item: Rule

    def read(self, raw: Any, path: str, errors: list[FieldError]) -> Any:
        if not isinstance(raw, list):
            errors.append(
                FieldError(path, f'expected a list, got {show(raw)}')
            )
            return None
        return tuple(
            self.item.read(item, f'{path}[{index}]', errors)
            for index, item in enumerate(raw)
        )

    def dump(self, value: Any) -> Any:
        return [self.item.dump(item) for item in value]


@dataclass(frozen=True, slots=True)
class _MappingRule(Rule):
    item: Rule
    keys: str

    def read(self, raw: Any, path: str, errors: list[FieldError]) -> Any:
        if not isinstance(raw, dict):
            cause = f'expected a mapping, got {show(raw)}'
            errors.append(FieldError(path, cause))
            return None
        for key in raw:
            _TextRule(self.keys, ()).read(key, f'{path}.{key}', errors)
        return {
            key: self.item.read(item, f'{path}.{key}', errors)
            for key, item in raw.items()
        }

    def dump(self, value: Any) -> Any:
        return {key: self.item.dump(value[key]) for key in sorted(value)}


def integer(minimum: int, maximum: int, **options: Any) -> Any:
    """Declare a whole number within bounds, both included."""
    return _rule_field(_NumberRule(minimum, maximum, True), options)


def number(minimum: float, maximum: float, **options: Any) -> Any:
    """Declare a number within bounds, both included."""
    return _rule_field(_NumberRule(minimum, maximum, False), options)


def text(
    pattern: str = r'.{1,200}', choices: tuple[str, ...] = (), **options: Any
) -> Any:
    """Declare a text that matches a pattern and, if given, is a choice."""
    return _rule_field(_TextRule(pattern, choices), options)


def name(**options: Any) -> Any:
    """Declare a name: 1 to 63 lower-case letters, digits and hyphens."""
    return text(NAME_PATTERN, **options)


def flag(**options: Any) -> Any:
    """Declare a Boolean."""
    return _rule_field(_FlagRule(), options)


def nested(kind: type, **options: Any) -> Any:
    """Declare a nested data class."""
    return _rule_field(_NestedRule(kind), options)


def sequence(kind: type, pattern: str = r'.{1,200}', **options: Any) -> Any:
    """Declare a list of texts, bytes or data classes."""
    return _rule_field(_SequenceRule(_item_rule(kind, pattern)), options)


def mapping(
    kind: type,
    keys: str = NAME_PATTERN,
    pattern: str = r'.{1,200}',
    **options: Any,
) -> Any:
    """Declare a mapping from names to texts, bytes or data classes."""
    return _rule_field(_MappingRule(_item_rule(kind, pattern), keys), options)


def binary(maximum_bytes: int = MAX_BINARY_BYTES, **options: Any) -> Any:
    """Declare bytes up to a length."""
    return _rule_field(_BinaryRule(maximum_bytes), options)


def read(
    kind: type[T], raw: Any, source: str, *, ignore_unknown: bool = False
) -> Result[T, InvalidDocument]:
    """Validate a plain document and build its data class.

    Parameters
    ----------
    kind
        Data class whose fields carry rules.
    raw
        Document of mappings, lists and scalars.
    source
        File or call that the document came from, named in errors.
    ignore_unknown
        Whether unknown fields are ignored, as in what a node of a newer
        version writes. What people write is checked for them, since they
        may be misspelled.

    Returns
    -------
    Result
        The object, or every invalid field of the document.
    """
    errors: list[FieldError] = []
    value = _read_object(kind, raw, '', errors)
    if ignore_unknown:
        errors = [e for e in errors if not isinstance(e, UnknownField)]
    if errors:
        return Error(InvalidDocument(source, tuple(errors)))
    return Ok(value)


def dump(value: Any) -> dict[str, Any]:
    """Return the plain document of a data class declared with rules."""
    return {
        item.name: item.metadata[_RULE_KEY].dump(getattr(value, item.name))
        for item in dataclasses.fields(value)
    }


def field_names(kind: type) -> list[str]:
    """Return the names of the fields of a data class, in order."""
    return [item.name for item in dataclasses.fields(kind)]


def _rule_field(rule: Rule, options: dict[str, Any]) -> Any:
    return dataclasses.field(metadata={_RULE_KEY: rule}, **options)


def _item_rule(kind: type, pattern: str) -> Rule:
    if kind is str:
        return _TextRule(pattern, ())
    if kind is bytes:
        return _BinaryRule(MAX_BINARY_BYTES)
    return _NestedRule(kind)


def _read_object(
    kind: type, raw: Any, path: str, errors: list[FieldError]
) -> Any:
    if not isinstance(raw, dict):
        cause = f'expected a mapping, got {show(raw)}'
        errors.append(FieldError(path or '(document)', cause))
        return None
    prefix = f'{path}.' if path else ''
    fields = {item.name: item for item in dataclasses.fields(kind)}
    for key in raw:
        if key not in fields:
            errors.append(_unknown_key(f'{prefix}{key}', str(key), fields))
    values: dict[str, Any] = {}
    before = _count_invalid(errors)
    for key, item in fields.items():
        if key in raw:
            rule: Rule = item.metadata[_RULE_KEY]
            values[key] = rule.read(raw[key], f'{prefix}{key}', errors)
        elif _is_required(item):
            errors.append(FieldError(f'{prefix}{key}', 'missing'))
    return None if _count_invalid(errors) > before else kind(**values)


def _count_invalid(errors: list[FieldError]) -> int:
    return sum(not isinstance(error, UnknownField) for error in errors)


def _is_required(item: dataclasses.Field[Any]) -> bool:
    return (
        item.default is dataclasses.MISSING
        and item.default_factory is dataclasses.MISSING
    )


def _unknown_key(
    path: str, key: str, fields: dict[str, dataclasses.Field[Any]]
) -> UnknownField:
    close_matches = difflib.get_close_matches(key, fields, 1, 0.6)
    hint = f'; did you mean {close_matches[0]}?' if close_matches else ''
    return UnknownField(path, f'unknown key{hint}')


def _unit_phrase(path: str) -> str:
    for suffix, unit in _UNIT_BY_SUFFIX.items():
        if path.endswith(suffix):
            return f' of {unit}'
    return ''
