"""The demonstration: a fleet under load, with planned and unplanned stops."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
import signal
import tempfile
import time

import fire

from gentianbank.cli.tables import render_table
from gentianbank_standins.callers import Call
from gentianbank_standins.callers import Caller
from gentianbank_standins.callers import Verdict
from gentianbank_standins.fleet import Fleet

EXAMPLE = Path('examples/blue-mahoe')
LOAD_S = 24.0
DRAIN_AT_S = 6.0
STOP_AT_S = 10.0
KILL_AT_S = 16.0
NEW_WORK_LIMIT_S = 5.0
DRAWING_BYTES = 2_000_000
MANUAL_BYTES = 40_000_000
MANUAL_RATE = 6_000_000.0
CALLERS_PER_SITE = 2
_CLIENT = '100.64.{}.{}'


@dataclass(frozen=True)
class ServiceNames:
    """The services that the calls go to."""

    small: str
    large: str


@dataclass(frozen=True)
class Mix:
    """Calls of one kind."""

    name: str
    period_s: float
    make: Callable[[Caller, ServiceNames], Awaitable[Call]]


@dataclass
class Report:
    """What the run has shown."""

    calls: dict[str, list[Call]] = field(default_factory=dict)
    executions: Counter[str] = field(default_factory=Counter)
    stopped: str = ''
    killed: str = ''
    drained_idle_s: float = 0.0
    drained_s: float = 0.0

    def duplicates(self, name: str) -> int:
        """Return the calls of a kind that ran more than once."""
        return sum(self.executions[c.token] > 1 for c in self.calls[name])

    def false_not_run(self, name: str) -> int:
        """Return the orders called *not run* that did run."""
        return sum(
            c.verdict is Verdict.NOT_RUN and self.executions[c.token] > 0
            for c in self.calls[name]
        )

    def faults(self) -> list[str]:
        """Return what must not have happened and did."""
        faults = []
        for name, calls in self.calls.items():
            crossed = sum(c.verdict is Verdict.CROSSED for c in calls)
            cut = sum(
                c.verdict is Verdict.CUT and c.entries[-1] != self.killed
                for c in calls
            )
            for number, what in (
                (self.duplicates(name), 'ran more than once'),
                (self.false_not_run(name), 'ran, but were called not run'),
                (crossed, 'were crossed or short'),
                (cut, 'were cut by another cause than the kill'),
            ):
                if number:
                    faults.append(f'{number} calls of {name} {what}')
            if not calls:
                faults.append(f'no call of {name} was made')
        since_drain_s = self.drained_s - self.drained_idle_s
        if since_drain_s > NEW_WORK_LIMIT_S:
            faults.append(
                f'the drained target got work {since_drain_s:.1f} s later'
            )
        return faults

    def render(self) -> str:
        """Return the table of the run."""
        rows = [self._row(name, calls) for name, calls in self.calls.items()]
        titles = (
            'service',
            'requests',
            'answered',
            'not run',
            'unknown',
            'duplicates',
            'p50 ms',
            'p99 ms',
            'cut',
        )
        return render_table(titles, rows)

    def _row(self, name: str, calls: list[Call]) -> list[object]:
        verdicts = Counter(call.verdict for call in calls)
        answered = sorted(
            c.duration_ms for c in calls if c.verdict is Verdict.ANSWERED
        )
        return [
            name,
            len(calls),
            verdicts[Verdict.ANSWERED],
            verdicts[Verdict.NOT_RUN],
            verdicts[Verdict.UNKNOWN],
            self.duplicates(name),
            f'{_quantile(answered, 0.50):.1f}',
            f'{_quantile(answered, 0.99):.1f}',
            verdicts[Verdict.CUT],
        ]


MIXES = (
    Mix('stock', 0.15, lambda c, names: c.read(names.small, '/stock/12')),
    Mix('orders', 0.5, lambda c, names: c.order(names.small, '/orders')),
    Mix(
        'drawings',
        2.5,
        lambda c, names: c.read(
            names.large, f'/drawings/{DRAWING_BYTES}', DRAWING_BYTES
        ),
    ),
    Mix(
        'slow readers',
        7.0,
        lambda c, names: c.read(
            names.large,
            f'/drawings/{MANUAL_BYTES}',
            MANUAL_BYTES,
            MANUAL_RATE,
        ),
    ),
)


async def run(example: Path, folder: Path) -> Report:
    """Run the demonstration and return what it has shown."""
    fleet = Fleet(example, folder)
    try:
        fleet.start()
        print(f'{len(fleet.nodes)} nodes run')
        applied = fleet.apply()
        print(applied.stdout or applied.stderr, end='')
        if applied.returncode:
            raise RuntimeError('the configuration was refused')
        seconds = fleet.wait_revision(1)
        print(f'in force on every node after {seconds:.1f} s more')
        return await _load(fleet)
    finally:
        fleet.stop()


async def _load(fleet: Fleet) -> Report:
    report = Report(calls={mix.name: [] for mix in MIXES})
    started_s = time.monotonic()
    callers = _make_callers(fleet)
    names = _name_services(fleet)
    work = [
        _repeat(mix, caller, names, report, started_s + LOAD_S)
        for caller in callers
        for mix in MIXES
    ]
    try:
        await asyncio.gather(*work, _disturb(fleet, report, started_s))
    finally:
        for caller in callers:
            await caller.close()
    _read_journal(fleet, report)
    return report


def _make_callers(fleet: Fleet) -> list[Caller]:
    seeds = [node.http for node in fleet.nodes.values()]
    return [
        Caller(
            _CLIENT.format(site * 16, number + 1),
            seeds,
            fleet.world['client_delay_ms'],
            site * CALLERS_PER_SITE + number,
        )
        for site in range(len(fleet.configuration['sites']))
        for number in range(CALLERS_PER_SITE)
    ]


def _name_services(fleet: Fleet) -> ServiceNames:
    by_transfer = {
        service['transfer']: name
        for name, service in fleet.configuration['services'].items()
    }
    return ServiceNames(by_transfer['small'], by_transfer['large'])


async def _repeat(
    mix: Mix,
    caller: Caller,
    names: ServiceNames,
    report: Report,
    until_s: float,
) -> None:
    """Make calls at a steady rate, whether or not they are answered."""
    running: set[asyncio.Task[None]] = set()

    async def make() -> None:
        report.calls[mix.name].append(await mix.make(caller, names))

    await asyncio.sleep(mix.period_s * (hash(caller) % 100) / 100)
    while time.monotonic() < until_s:
        task = asyncio.create_task(make())
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(mix.period_s)
    await asyncio.gather(*running)


async def _disturb(fleet: Fleet, report: Report, started_s: float) -> None:
    async def until(at_s: float) -> None:
        await asyncio.sleep(started_s + at_s - time.monotonic())

    vms = list(fleet.nodes)
    target = next(iter(fleet.configuration['services'].values()))['places'][0][
        'targets'
    ][0]['name']
    report.stopped, report.killed = vms[0], vms[-1]
    await until(DRAIN_AT_S)
    drained = await fleet.command_async('drain', target, '--author=demo')
    drained_at_s = time.monotonic()
    print(f'drained {target}: {drained.stdout or drained.stderr}', end='')
    await until(STOP_AT_S)
    fleet.signal(report.stopped, signal.SIGTERM)
    print(f'stopping {report.stopped} as planned')
    await until(KILL_AT_S)
    fleet.signal(report.killed, signal.SIGKILL)
    print(f'killed {report.killed}')
    code = await asyncio.to_thread(fleet.wait_exit, report.stopped)
    print(f'{report.stopped} ended with exit code {code}')
    await until(LOAD_S)
    idle_s = (await asyncio.to_thread(fleet.journal))['idle_s']
    report.drained_s = time.monotonic() - drained_at_s
    report.drained_idle_s = idle_s.get(target, report.drained_s)


def _read_journal(fleet: Fleet, report: Report) -> None:
    for execution, count in fleet.journal()['executions'].items():
        report.executions[execution.rpartition(' ')[2]] += count


def _quantile(ordered: list[float], fraction: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def demonstrate(example: str = str(EXAMPLE)) -> None:
    """Run the demonstration on an example."""
    with tempfile.TemporaryDirectory() as folder:
        report = asyncio.run(run(Path(example), Path(folder)))
    print()
    print(report.render())
    faults = report.faults()
    print()
    for fault in faults:
        print(f'FAULT: {fault}')
    if faults:
        raise SystemExit(1)
    print('nothing was doubled, crossed, cut by the stop or wrongly refused')


def main() -> None:
    """Run the command line of the demonstration."""
    fire.Fire(demonstrate, name='gentianbank-demo')


if __name__ == '__main__':
    main()
