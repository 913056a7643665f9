"""One real node with stand-ins, for measurements of speed."""

from __future__ import annotations

import contextlib
from pathlib import Path
import tempfile
import time
from typing import TYPE_CHECKING

from gentianbank_standins.fleet import Fleet

if TYPE_CHECKING:
    from collections.abc import Iterator

EXAMPLE = Path('examples/blue-mahoe')
VM = 'kingston-1'
KEEPER_WAIT_S = 12.0


@contextlib.contextmanager
def start_fleet(work_ms: float, max_in_flight: int) -> Iterator[Fleet]:
    """Run the example with fast targets and one node under test."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(EXAMPLE, Path(folder))
        fleet.set_work(work_ms)
        for region in fleet.configuration['regions'].values():
            region['max_in_flight'] = max_in_flight
        try:
            fleet.start()
            applied = fleet.apply()
            assert applied.returncode == 0, applied.stderr
            fleet.wait_revision(1)
            time.sleep(KEEPER_WAIT_S)
            yield fleet
        finally:
            fleet.stop()


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / 100


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * 4096 / 1e6
