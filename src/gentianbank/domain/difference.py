"""Differences between two plain documents."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import Any

ABSENT = '(absent)'
_NAME_KEYS = ('name', 'prefix', 'region')


@dataclass(frozen=True, slots=True)
class Difference:
    """One value that differs."""

    path: str
    before: str
    after: str


def find_differences(
    before: Any, after: Any, path: str = ''
) -> list[Difference]:
    """Compare two documents of mappings, lists and scalars."""
    if isinstance(before, dict) and isinstance(after, dict):
        return _compare_mappings(before, after, path)
    if isinstance(before, list) and isinstance(after, list):
        named = (_items_by_name(before), _items_by_name(after))
        if named[0] is not None and named[1] is not None:
            return _compare_mappings(named[0], named[1], path)
    if before == after:
        return []
    return [Difference(path, _format_value(before), _format_value(after))]


def _compare_mappings(
    before: dict[str, Any], after: dict[str, Any], path: str
) -> list[Difference]:
    differences = []
    for key in sorted({*before, *after}):
        inner_path = f'{path}.{key}' if path else key
        differences += find_differences(
            before.get(key, _Absent), after.get(key, _Absent), inner_path
        )
    return differences


class _Absent:
    """Stands for a missing value."""


def _items_by_name(items: list[Any]) -> dict[str, Any] | None:
    """Return the items by name, or ``None`` if they have no unique names.

    By name, a changed order of a list is no difference.
    """
    named = {}
    for item in items:
        if not isinstance(item, dict):
            return None
        name = next((item[k] for k in _NAME_KEYS if k in item), None)
        if name is None and 'source' in item:
            name = f'{item["source"]}>{item.get("destination")}'
        if name is None or name in named:
            return None
        named[name] = item
    return named


def _format_value(value: Any) -> str:
    return ABSENT if value is _Absent else json.dumps(value, sort_keys=True)
