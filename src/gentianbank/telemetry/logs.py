"""Structured logs on standard output, as JSON objects or as text."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import logging as std_logging
import os
import sys
import time
from typing import TYPE_CHECKING

from absl import flags
from absl import logging

from gentianbank.telemetry.line_writer import LineClass
from gentianbank.telemetry.line_writer import LineWriter

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianbank.domain.settings import Logging

# Timeout for writing the last lines before the process exits.
CLOSE_TIMEOUT_S = 0.3
# Field of a log record that holds its ``LineClass``; it is not written.
CLASS_FIELD = 'line_class'
_MS_PER_S = 1_000
_UNWRITTEN_FIELDS = frozenset(
    {*vars(std_logging.makeLogRecord({})), 'message', CLASS_FIELD}
)
_JSON_TYPES = (str, int, float, list, tuple, type(None))
_LEVELS = {
    'debug': (logging.DEBUG, std_logging.DEBUG),
    'info': (logging.INFO, std_logging.INFO),
    'warning': (logging.WARNING, std_logging.WARNING),
    'error': (logging.ERROR, std_logging.ERROR),
}
_SILENCED_LOGGERS = ('uvicorn', 'httpx', 'httpcore', 'websockets')


@contextlib.contextmanager
def open_logs(settings: Logging, node: str) -> Iterator[None]:
    """Write the logs of this process to standard output within the context.

    Parameters
    ----------
    node
        VM that each JSON line names.
    """
    # The settings file configures the logs, not flags. Absl's flags are never
    # parsed, so they are marked as parsed to have their defaults apply.
    flags.FLAGS.mark_as_parsed()
    formatter: std_logging.Formatter
    formatter = JsonFormatter(node) if settings.json else TextFormatter()

    def describe_dropped(dropped: dict[LineClass, int]) -> bytes:
        counts = {f'{c.name.lower()}_lines': n for c, n in dropped.items()}
        record = std_logging.makeLogRecord(
            {'msg': 'log lines dropped', 'levelname': 'WARNING', **counts}
        )
        return _encode(formatter, record)

    writer = LineWriter(_write_out, describe_dropped)
    std_logging.getLogger().handlers[:] = [QueueHandler(formatter, writer)]
    set_level(settings)
    for logger_name in _SILENCED_LOGGERS:
        std_logging.getLogger(logger_name).setLevel(std_logging.CRITICAL)
    writer.start()
    try:
        yield
    finally:
        writer.close(CLOSE_TIMEOUT_S)


def set_level(settings: Logging) -> None:
    """Drop log lines below the level of the settings."""
    verbosity, level = _LEVELS[settings.level]
    logging.set_verbosity(verbosity)
    std_logging.getLogger().setLevel(level)


class QueueHandler(std_logging.Handler):
    """Passes formatted records to the writer without blocking."""

    def __init__(
        self, formatter: std_logging.Formatter, writer: LineWriter
    ) -> None:
        super().__init__()
        self.setFormatter(formatter)
        self._format = formatter
        self._writer = writer

    def emit(self, record: std_logging.LogRecord) -> None:
        """Queue the line of a record."""
        line_class = getattr(record, CLASS_FIELD, LineClass.STATE)
        self._writer.put(_encode(self._format, record), line_class)


class JsonFormatter(std_logging.Formatter):
    """Writes a record and its extra fields as one JSON object.

    Parameters
    ----------
    node
        VM that each line names.
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
        }
        for name, value in vars(record).items():
            if name not in _UNWRITTEN_FIELDS:
                document[name] = _to_json_value(value)
        if record.exc_info:
            document['exception'] = self.formatException(record.exc_info)
        return json.dumps(document)


class TextFormatter(std_logging.Formatter):
    """Writes a record and its extra fields as text for people."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the line of a record."""
        now = time.strftime('%H:%M:%S')
        words = [now, record.levelname.lower(), record.getMessage()]
        for name, value in vars(record).items():
            if name not in _UNWRITTEN_FIELDS:
                words.append(f'{name}={_to_json_value(value)}')
        if record.exc_info:
            words.append(self.formatException(record.exc_info))
        return ' '.join(words)


def _to_json_value(value: object) -> object:
    if isinstance(value, _JSON_TYPES):
        return value
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return dataclasses.asdict(value)
    return str(value)


def _encode(
    formatter: std_logging.Formatter, record: std_logging.LogRecord
) -> bytes:
    line = f'{formatter.format(record)}\n'
    # Text from outside may hold what no encoding has, such as half of a
    # surrogate pair.
    return line.encode(errors='backslashreplace')


def _write_out(data: bytes) -> None:
    descriptor = sys.stdout.fileno()
    while data:
        data = data[os.write(descriptor, data) :]
