"""Tests of the operators' configuration."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
import yaml

from gentianbank.domain import documents
from gentianbank.domain.configuration import read_configuration

EXAMPLES = Path(__file__).parents[2] / 'examples'


@pytest.fixture
def document() -> Any:
    path = EXAMPLES / 'blue-mahoe' / 'configuration.yaml'
    return yaml.safe_load(path.read_text())


@pytest.mark.parametrize('name', ['blue-mahoe', 'tolbooth'])
def test_examples_are_valid(name: str) -> None:
    path = EXAMPLES / name / 'configuration.yaml'
    raw = documents.load_yaml(path.read_bytes(), str(path))
    result = raw.bind(lambda item: read_configuration(item, str(path)))
    assert result.is_ok()


@pytest.mark.parametrize(
    ('path', 'value', 'expected'),
    [
        ('lookups.cache_s', 2, 'lookups.cache_s: unknown key; did you mean'),
        ('lookups.cache_ms', '2s', 'expected a whole number of milliseconds'),
        ('services.ordering.places.0.share_percent', 50, 'add up to 110'),
        ('services.ordering.places.0.region', 'atlantis', 'unknown region'),
        ('services.ordering.deadline_ms', True, 'expected a whole number'),
        ('client_blocks.0.prefix', '10.0.0.1/8', 'has host bits set'),
        ('client_blocks.0.site', 'nowhere', "unknown site 'nowhere'"),
        ('links.0.destination', 'kingston', 'equals the source'),
    ],
)
def test_configuration_names_field_and_cause(
    document: Any, path: str, value: object, expected: str
) -> None:
    *parents, last = path.split('.')
    part = document
    for key in parents:
        part = part[int(key)] if key.isdigit() else part[key]
    part[int(last) if last.isdigit() else last] = value
    result = read_configuration(document, 'file.yaml')
    assert result.is_error()
    text = str(result.error)
    assert expected in text
    assert text.startswith('file.yaml: ')


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('a: 1\na: 2\n', "line 2: duplicate or complex key 'a'"),
        ('a: &x [1]\nb: *x\n', 'line 2: aliases are not allowed'),
        ('a: [1\n', 'line 2: expected'),
        ('a: !!python/object:os.system {}\n', 'could not determine'),
    ],
)
def test_yaml_loader_rejects_unsafe_documents(
    text: str, expected: str
) -> None:
    result = documents.load_yaml(text, 'file.yaml')
    assert result.is_error()
    assert expected in str(result.error)
