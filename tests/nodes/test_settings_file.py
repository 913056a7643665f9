"""Tests of reloading the settings file while the node runs."""

from __future__ import annotations

import logging
from typing import Any
from typing import TYPE_CHECKING

from expression import Result
import pytest
import yaml

from gentianbank.domain import schema
from gentianbank.domain.steering_settings import SteeringSettings
from gentianbank.nodes.settings_file import SettingsFile
from tests.nodes.test_steering import SETTINGS

if TYPE_CHECKING:
    from pathlib import Path


@pytest.fixture
def path(tmp_path: Path) -> Path:
    path = tmp_path / 'settings.yaml'
    write(path)
    return path


def write(path: Path, **changes: Any) -> None:
    document = {'interface': 'platform', **SETTINGS, **changes}
    path.write_text(yaml.safe_dump(document))


def open_file(path: Path) -> SettingsFile:
    match schema.read(SteeringSettings, SETTINGS, str(path)):
        case Result(tag='ok', ok=settings):
            return SettingsFile(path, settings)
        case Result(error=error):
            raise AssertionError(error)


def test_changed_file_is_noticed_without_a_signal(path: Path) -> None:
    file = open_file(path)
    assert not file.has_changed()
    write(path, bounds={'retry_slack': 7})
    assert file.has_changed()
    settings = file.reload()
    assert settings is not None
    assert settings.bounds.retry_slack == 7
    assert not file.has_changed()


def test_reload_logs_changes_and_paths_that_need_a_restart(
    path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    file = open_file(path)
    write(path, vm='front-2', logging={'level': 'debug'})
    with caplog.at_level(logging.INFO):
        assert file.reload() is not None
    line = vars(caplog.records[0])
    changes = {change['path']: change for change in line['changes']}
    assert changes['vm']['before'] == '"front-1"'
    assert changes['logging.level']['after'] == '"debug"'
    assert line['need_restart'] == ['vm']


@pytest.mark.parametrize(
    ('text', 'cause'),
    [
        ('[', 'line 1'),
        ('interface: platform', 'vm: missing'),
        ('7', 'settings.yaml'),
    ],
)
def test_invalid_file_leaves_the_old_settings_in_force(
    path: Path, text: str, cause: str, caplog: pytest.LogCaptureFixture
) -> None:
    file = open_file(path)
    path.write_text(text)
    assert file.reload() is None
    assert cause in vars(caplog.records[0])['cause']
    write(path)
    assert file.reload() is None


def test_missing_file_leaves_the_old_settings_in_force(
    path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    file = open_file(path)
    path.unlink()
    assert file.has_changed()
    assert file.reload() is None
    assert 'No such file' in vars(caplog.records[0])['cause']
