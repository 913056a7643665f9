"""Reloading of the settings file while a node runs."""

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

# Field that selects the interface; it is no field of ``SteeringSettings``.
INTERFACE_FIELD = 'interface'
# Sections that take effect in a running node; a change of any other field
# needs a restart.
RELOADABLE_SECTIONS = frozenset(('bounds', 'logging'))


class SettingsFile:
    """Detects changes of the settings file and reads it again.

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
        self._last_file_stat = self._read_file_stat()

    def has_changed(self) -> bool:
        """Return whether the file differs from when it was last read.

        Compared are modification time, size and inode.
        """
        return self._read_file_stat() != self._last_file_stat

    def reload(self) -> SteeringSettings | None:
        """Read the file again and log what changed.

        Returns
        -------
        SteeringSettings or None
            ``None`` if the file is invalid, which is logged, or if nothing
            changed.
        """
        self._last_file_stat = self._read_file_stat()
        match self._read_settings():
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
        restart_paths = [
            difference.path
            for difference in differences
            if difference.path.partition('.')[0] not in RELOADABLE_SECTIONS
        ]
        logging.info(
            'settings read again',
            extra={
                'changes': [dataclasses.asdict(d) for d in differences],
                'need_restart': restart_paths,
            },
        )
        if not differences:
            return None
        self._settings = settings
        return settings

    def _read_settings(self) -> Result[SteeringSettings, InvalidDocument]:
        match read_document(self._path):
            case Result(tag='ok', ok=dict() as raw):
                raw.pop(INTERFACE_FIELD, None)
                return schema.read(SteeringSettings, raw, str(self._path))
            case Result(tag='ok', ok=raw):
                return schema.read(SteeringSettings, raw, str(self._path))
            case Result(error=error):
                return Error(error)

    def _read_file_stat(self) -> tuple[int, int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino
