"""Logs through absl, as text or as one JSON object a line."""

from __future__ import annotations

import dataclasses
import json
import logging as std_logging
import sys
import time
from typing import TYPE_CHECKING

from absl import flags
from absl import logging

if TYPE_CHECKING:
    from gentianbank.domain.settings import Logging

_MS_PER_S = 1_000
_STANDARD = frozenset(vars(std_logging.makeLogRecord({})))
_LEVELS = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}


def set_up_logs(settings: Logging, node: str) -> None:
    """Send the logs of this process to standard error."""
    # Logs are set up by the settings file, not by flags.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    if settings.json:
        handler.setFormatter(JsonFormatter(node))
    logging.set_verbosity(_LEVELS[settings.level])
    std_logging.getLogger().setLevel(_LEVELS_STD[settings.level])
    for noisy in ('uvicorn', 'httpx', 'httpcore', 'websockets'):
        std_logging.getLogger(noisy).setLevel(std_logging.CRITICAL)


_LEVELS_STD = {
    'debug': std_logging.DEBUG,
    'info': std_logging.INFO,
    'warning': std_logging.WARNING,
    'error': std_logging.ERROR,
}


class JsonFormatter(std_logging.Formatter):
    """Writes a record and its extra fields as one JSON object.

    Parameters
    ----------
    node
        VM that each record names.
    """

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the line of a record."""
        document: dict[str, object] = {
            'time_ms': int(time.time() * _MS_PER_S),
            'level': record.levelname.lower(),
            'node': self._node,
            'message': record.getMessage(),
            'source': f'{record.filename}:{record.lineno}',
        }
        for name, value in vars(record).items():
            if name not in _STANDARD and name != 'message':
                document[name] = _plain(value)
        if record.exc_info:
            document['exception'] = self.formatException(record.exc_info)
        return json.dumps(document)


def _plain(value: object) -> object:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return dataclasses.asdict(value)
    return value if isinstance(value, str | int | float) else str(value)
