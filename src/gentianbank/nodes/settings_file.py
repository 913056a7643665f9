"""The settings file of a running node, which may change."""

from __future__ import annotations

import dataclasses
import os
from typing import TYPE_CHECKING

from absl import logging
from expression import Error
from expression import Result

from gentianbank.domain import schema
from gentianbank.domain.difference import find_differences
from gentianbank.domain.settings import read_document
from gentianbank.domain.steering_settings import SteeringSettings

if TYPE_CHECKING:
    from pathlib import Path

    from gentianbank.domain.errors import InvalidDocument

# Field of the document that chose this kind of node.
INTERFACE_FIELD = 'interface'
# Parts that a running node takes; a change of another needs a restart.
LIVE_PARTS = frozenset(('bounds', 'logging'))


class SettingsFile:
    """Reads the file anew when it has changed.

    Parameters
    ----------
    path
        Path of the file.
    settings
        Settings that are in force.
    """

    def __init__(self, path: Path, settings: SteeringSettings) -> None:
        self._path = path
        self._settings = settings
        self._stamp = self._read_stamp()

    def has_changed(self) -> bool:
        """Tell whether the file was written since it was last read."""
        return self._read_stamp() != self._stamp

    def reload(self) -> SteeringSettings | None:
        """Return the settings if they are good and differ, and log why."""
        self._stamp = self._read_stamp()
        match self._load():
            case Result(tag='ok', ok=settings):
                pass
            case Result(error=error):
                logging.error(
                    'settings not taken; the old ones stay in force',
                    extra={'cause': str(error)},
                )
                return None
        differences = find_differences(
            schema.dump(self._settings), schema.dump(settings)
        )
        waiting = [
            difference.path
            for difference in differences
            if difference.path.partition('.')[0] not in LIVE_PARTS
        ]
        logging.info(
            'settings read again',
            extra={
                'changes': [dataclasses.asdict(d) for d in differences],
                'need_restart': waiting,
            },
        )
        if not differences:
            return None
        self._settings = settings
        return settings

    def _load(self) -> Result[SteeringSettings, InvalidDocument]:
        match read_document(self._path):
            case Result(tag='ok', ok=dict() as raw):
                raw.pop(INTERFACE_FIELD, None)
                return schema.read(SteeringSettings, raw, str(self._path))
            case Result(tag='ok', ok=raw):
                return schema.read(SteeringSettings, raw, str(self._path))
            case Result(error=error):
                return Error(error)

    def _read_stamp(self) -> tuple[int, int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino
