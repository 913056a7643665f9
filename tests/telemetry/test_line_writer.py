"""Tests of the thread that writes log lines."""

from __future__ import annotations

import threading

from gentianbank.telemetry.line_writer import LineClass
from gentianbank.telemetry.line_writer import LineWriter

LINE = b'x' * 100
TIMEOUT_S = 30.0


class StalledReader:
    """Blocks in the first write until it is released."""

    def __init__(self) -> None:
        self.entered = threading.Event()
        self.released = threading.Event()
        self.data = b''

    def write(self, data: bytes) -> None:
        self.entered.set()
        assert self.released.wait(TIMEOUT_S)
        self.data += data


def describe(dropped: dict[LineClass, int]) -> bytes:
    counts = sorted(dropped.items())
    return b' '.join(b'%s=%d' % (c.name.encode(), n) for c, n in counts)


def fill(writer: LineWriter, line_class: LineClass, count: int) -> None:
    for _ in range(count):
        writer.put(LINE, line_class)


def test_stalled_reader_drops_samples_first_and_state_last() -> None:
    reader = StalledReader()
    writer = LineWriter(reader.write, describe, capacity_bytes=3_000)
    writer.start()
    writer.put(LINE, LineClass.STATE)
    assert reader.entered.wait(TIMEOUT_S)
    # The reader is stalled, so the test would hang here if a call blocked.
    fill(writer, LineClass.SAMPLE, 20)
    fill(writer, LineClass.REQUEST, 20)
    fill(writer, LineClass.STATE, 20)
    reader.released.set()
    writer.close(TIMEOUT_S)
    # The line of the stalled write still counts: 9, 10 and 10 lines fit.
    assert reader.data.count(LINE[:100]) == 30
    assert reader.data.endswith(b'SAMPLE=11 REQUEST=10 STATE=10')


def test_lines_are_whole_and_in_order() -> None:
    reader = StalledReader()
    reader.released.set()
    writer = LineWriter(reader.write, describe)
    writer.start()
    lines = [f'line {number}\n'.encode() for number in range(1_000)]
    for line in lines:
        writer.put(line, LineClass.REQUEST)
    writer.close(TIMEOUT_S)
    assert reader.data == b''.join(lines)


def test_closed_reader_ends_the_thread_without_an_error() -> None:
    def fail(data: bytes) -> None:
        raise BrokenPipeError

    writer = LineWriter(fail, describe, capacity_bytes=1_000)
    writer.start()
    fill(writer, LineClass.STATE, 50)
    writer.close(TIMEOUT_S)
    fill(writer, LineClass.STATE, 50)
