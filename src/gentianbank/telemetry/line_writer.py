"""Writes log lines from a separate thread, so that no caller blocks."""

from __future__ import annotations

from collections import Counter
from collections import deque
from enum import IntEnum
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Lines are collected for this long before they are written together, since
# each write costs a system call.
BATCH_DELAY_S = 0.02
QUEUE_BYTES = 1024 * 1024


class LineClass(IntEnum):
    """What a line is about; lines of a lower class are dropped first."""

    SAMPLE = 1
    REQUEST = 2
    STATE = 3


class LineWriter:
    """Queues lines up to a limit and counts those that do not fit.

    Lines of a class are queued only while the queue is filled to less than
    the share of that class, so that lines of higher classes still find room
    when the reader stalls: a third for the lowest class, the whole queue for
    the highest.

    Parameters
    ----------
    write
        Writes bytes; may block.
    describe_dropped
        Returns the line that reports the dropped lines, counted by class.
    capacity_bytes
        Size of the queue.
    """

    def __init__(
        self,
        write: Callable[[bytes], None],
        describe_dropped: Callable[[dict[LineClass, int]], bytes],
        capacity_bytes: int = QUEUE_BYTES,
    ) -> None:
        self._write = write
        self._describe_dropped = describe_dropped
        self._capacity_bytes = capacity_bytes
        self._lines: deque[bytes] = deque()
        self._queued_bytes = 0
        self._dropped: Counter[LineClass] = Counter()
        self._lock = threading.Lock()
        self._has_lines = threading.Event()
        self._closing = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='log-writer', daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def put(self, line: bytes, line_class: LineClass) -> None:
        """Queue a line, or count it as dropped if it exceeds the share."""
        limit = self._capacity_bytes * line_class // len(LineClass)
        with self._lock:
            if self._queued_bytes + len(line) > limit:
                self._dropped[line_class] += 1
                return
            self._lines.append(line)
            self._queued_bytes += len(line)
        self._has_lines.set()

    def close(self, timeout_s: float) -> None:
        """Write the queued lines and wait for that up to a timeout."""
        self._closing.set()
        self._has_lines.set()
        if self._thread.is_alive():
            self._thread.join(timeout_s)

    def _run(self) -> None:
        ended = False
        while not ended:
            self._has_lines.wait()
            ended = self._closing.wait(BATCH_DELAY_S)
            self._has_lines.clear()
            self._write_queued()

    def _write_queued(self) -> None:
        with self._lock:
            lines = list(self._lines)
            self._lines.clear()
            dropped = dict(self._dropped)
            self._dropped.clear()
        if dropped:
            lines.append(self._describe_dropped(dropped))
        if not lines:
            return
        data = b''.join(lines)
        try:
            self._write(data)
        except OSError:
            # The output is closed, so the error cannot be reported there.
            self._closing.set()
            self._has_lines.set()
        with self._lock:
            # Lines count as queued until they are written, so that memory
            # stays bounded when the reader stalls.
            self._queued_bytes = sum(map(len, self._lines))
