"""Replay of traces that daemons have recorded."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import TYPE_CHECKING

from tests.support.world import World

if TYPE_CHECKING:
    from pathlib import Path

VM = 'vm-1'
_FAULTS = {
    'outcome-unknown': 'lost answer',
    'shed-by-target': 'shed',
    'target-unreachable': 'refused connection',
}


@dataclass(frozen=True, slots=True)
class Recorded:
    """One recorded decision.

    Parameters
    ----------
    scoped
        The key was one of the recording node's incarnation.
    """

    time_ms: float
    method: str
    key: str
    scoped: bool
    tried: int
    result: str
    outcome: str


@dataclass(frozen=True, slots=True)
class Replayed:
    """What became of a recorded request when it was replayed."""

    recorded: Recorded
    outcome: str
    runs: int


def load_trace(path: Path) -> list[Recorded]:
    """Read a trace in the order of its times."""
    trace = []
    for line in path.read_text().splitlines():
        raw = json.loads(line)
        service_key = raw['key'].removeprefix(f'{raw["service"]}/')
        trace.append(
            Recorded(
                raw['time_ms'],
                raw['method'],
                service_key,
                service_key == raw['key'],
                len(raw['targets']),
                raw['result'],
                raw['outcome'],
            )
        )
    return sorted(trace, key=lambda item: item.time_ms)


def replay_trace(trace: list[Recorded]) -> list[Replayed]:
    """Send recorded requests to one node, whose targets fail as they did."""
    world = World()
    node = world.start(VM)
    last_ms = trace[0].time_ms
    replayed = []
    for number, recorded in enumerate(trace):
        world.advance((recorded.time_ms - last_ms) / 1_000)
        last_ms = recorded.time_ms
        world.targets.fault = _FAULTS.get(recorded.result, '')
        key = recorded.key
        if key and recorded.scoped:
            part = key.rpartition('.')[2]
            key = f'{node.member.incarnation}.0.{part}'
        token = f'/token-{key or number}'
        body = token.encode() if recorded.method == 'POST' else b''
        task = world.submit(
            VM, recorded.method, f'/services/ordering{token}', key, body
        )
        while not task.done():
            world.advance(0.1)
        outcome = task.result().outcome or 'answered'
        runs = world.targets.executed[token]
        replayed.append(Replayed(recorded, outcome, runs))
    world.close()
    return replayed
