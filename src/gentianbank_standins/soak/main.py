"""Runs soaks: real nodes, stand-ins around them, and faults by a seed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import logging
from pathlib import Path
import signal
import sys
import tempfile
from typing import TYPE_CHECKING

import fire

from gentianbank_standins.soak.callers import Caller
from gentianbank_standins.soak.callers import find_older_versions
from gentianbank_standins.soak.faults import FAULTS
import gentianbank_standins.soak.leaving_faults
from gentianbank_standins.soak.promises import Promises
from gentianbank_standins.soak.schedule import draw_schedule
from gentianbank_standins.soak.schedule import LONGEST_S
import gentianbank_standins.soak.store_faults  # noqa: F401 (registers)
from gentianbank_standins.soak.world import SoakWorld
from gentianbank_standins.soak.world import STOP_S

if TYPE_CHECKING:
    from collections.abc import Collection

    from gentianbank_standins.soak.schedule import Fault

# Time after the last fault in which all is to be well again.
RECOVERY_S = 6.0
CALM_S = 3.0


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Outcome of one seed.

    Parameters
    ----------
    broken
        A line for each broken promise.
    faults
        How often each kind of fault was played.
    seen
        How often callers got each status.
    """

    seed: int
    broken: tuple[str, ...]
    faults: dict[str, int]
    seen: dict[str, int]


def run_soak(
    seed: int,
    folder: Path,
    *,
    nodes: int = 3,
    targets: int = 6,
    callers: int = 12,
    duration_s: float = 20.0,
    kinds: Collection[str] = (),
) -> SoakResult:
    """Run one seed and check the promises.

    Parameters
    ----------
    folder
        Takes settings and logs.
    duration_s
        Time in which faults begin.
    kinds
        Kinds of faults that come; by default all.
    """
    world = SoakWorld(folder, nodes, targets, seed)
    weights = {
        name: kind.weight
        for name, kind in FAULTS.items()
        if name in kinds or not kinds
    }
    schedule = draw_schedule(seed, duration_s, weights)
    return asyncio.run(_run(world, schedule, callers, duration_s))


def soak(
    seeds: str = '1',
    nodes: int = 3,
    targets: int = 6,
    callers: int = 12,
    duration_s: float = 20.0,
    kinds: str | tuple[str, ...] = '',
    keep: str = '',
) -> None:
    """Run seeds one after the other; exit code 1 if any promise broke.

    Parameters
    ----------
    seeds
        One seed or a range such as ``1-50``.
    kinds
        Kinds of faults that come, separated by commas; by default all.
    keep
        Folder that keeps settings and logs; by default they are kept only
        of seeds that failed.
    """
    # A soak that is asked to stop ends its processes first.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    # Targets that cut an answer do so by an error in their application.
    logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL + 1)
    failed = False
    for seed in _read_seeds(str(seeds)):
        folder = Path(keep or tempfile.mkdtemp()) / f'soak-{seed}'
        folder.mkdir(parents=True, exist_ok=True)
        result = run_soak(
            seed,
            folder,
            nodes=nodes,
            targets=targets,
            callers=callers,
            duration_s=duration_s,
            kinds=_read_kinds(kinds),
        )
        verdict = f'{len(result.broken)} broken' if result.broken else 'kept'
        print(f'seed {seed}: {verdict}; {result.seen}; {result.faults}')
        for line in result.broken:
            print(f'  {line}')
        if result.broken:
            failed = True
            print(f'  logs: {folder}')
    raise SystemExit(1 if failed else 0)


def main() -> None:
    """Run the command line of the soak."""
    fire.Fire(soak, name='gentianbank-soak')


async def _run(
    world: SoakWorld, schedule: list[Fault], callers: int, duration_s: float
) -> SoakResult:
    promises = Promises()
    calm_s = duration_s + LONGEST_S + STOP_S + RECOVERY_S
    try:
        await world.start()
        work = [
            Caller(world, promises, number).run(calm_s + CALM_S)
            for number in range(callers)
        ]
        work += [_play(world, fault) for fault in schedule]
        await asyncio.gather(*work)
        older_versions = await find_older_versions(world, promises)
    finally:
        await world.stop()
    played: dict[str, int] = {}
    for fault in schedule:
        played[fault.kind] = played.get(fault.kind, 0) + 1
    return SoakResult(
        world.seed,
        (*promises.broken(world.journal, calm_s), *older_versions),
        played,
        dict(promises.seen),
    )


async def _play(world: SoakWorld, fault: Fault) -> None:
    await asyncio.sleep(fault.at_s)
    print(f'{world.now_s():7.2f} s  {fault.kind}', file=sys.stderr)
    await FAULTS[fault.kind].play(world, fault)


def _read_kinds(text: str | tuple[str, ...]) -> tuple[str, ...]:
    """Return the kinds of faults; fire splits some lists by itself."""
    parts = text.split(',') if isinstance(text, str) else text
    kinds = tuple(part.strip() for part in parts if part.strip())
    unknown = sorted(set(kinds) - FAULTS.keys())
    if unknown:
        known = ', '.join(sorted(FAULTS))
        raise SystemExit(f'unknown fault: {unknown[0]}; known are {known}')
    return kinds


def _read_seeds(text: str) -> list[int]:
    first, _, last = text.partition('-')
    return list(range(int(first), int(last or first) + 1))


if __name__ == '__main__':
    main()
