"""Tests of targets whose answers say that they leave."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import pytest

from gentianbank.policy.rendezvous import rank_names
from tests.support.leaving import LEAVING
from tests.support.leaving import Process
from tests.support.leaving import Processes
from tests.support.steering import Caller
from tests.support.steering import header
from tests.support.steering import ORDER_REQUEST
from tests.support.steering import Path
from tests.support.steering import registration
from tests.support.steering import Reply
from tests.support.steering import Script
from tests.support.steering import SHED
from tests.support.steering import STAMP
from tests.support.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianbank.policy.target_load import TargetLoad

ADDRESS = registration('desk-1').address
NOT_RUN = (b'Not-Executed', b'1')
CONNECT_S = 0.2
# With it this node may send one retry, but not two.
ONE_RETRY_SLACK = 10
# Time in which a target that is back must get requests again.
BACK_S = 4.0


def build(targets: int = 1, **options: Any) -> tuple[Path, list[Process]]:
    """Return a node whose targets each have a process."""
    transport = Processes()
    path = Path(targets, transport=transport, **options)
    processes = [
        transport.start(target.registration.address, target_id)
        for target_id, target in path.cluster_view.targets.items()
    ]
    return path, processes


def wait(path: Path, seconds: float) -> None:
    path.run(asyncio.sleep(seconds))


def restart(path: Path, **entry: Any) -> Process:
    """Start desk-1 again, and store an entry if one is given."""
    transport = path.transport
    assert isinstance(transport, Processes)
    process = transport.start(ADDRESS, 'desk-1')
    if entry:
        path.put_target('desk-1', **entry)
    return process


def is_refused_at_once(reply: Reply, begin_ms: float) -> bool:
    return (
        reply.status == 503
        and header(reply.headers, b'retry-after') != b''
        and reply.at_ms - begin_ms < 1
    )


@pytest.fixture(autouse=True)
def _end_loops(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    loops: list[VirtualLoop] = []

    class RecordedLoop(VirtualLoop):
        def __init__(self) -> None:
            super().__init__()
            loops.append(self)

    monkeypatch.setattr('tests.support.steering.VirtualLoop', RecordedLoop)
    yield
    for loop in loops:
        loop.end()


def test_first_answer_that_says_leaving_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level('INFO')
    path = Path(targets=1)
    path.transport.default = Script(headers=(STAMP, LEAVING))
    path.ask_many([{'request_id': f'r-{number}'} for number in range(2)])
    logged = [
        (vars(record)['target'], vars(record)['draining'])
        for record in caplog.records
        if record.msg == 'target says that it leaves'
    ]
    assert logged == [('desk-1', False)]


@pytest.mark.parametrize(
    'script',
    [
        Script(headers=(STAMP, LEAVING)),
        Script(status=500, headers=(STAMP, LEAVING)),
        Script(status=503, headers=(NOT_RUN, LEAVING)),
        Script(interim_headers=(LEAVING,)),
        Script(headers=(STAMP, LEAVING), cut=True),
        Script(headers=(STAMP, LEAVING), request_id=b'another'),
        Script(headers=(LEAVING,), names_request=False),
    ],
    ids=['ran', 'failed', 'not run', 'interim', 'cut', 'foreign', 'unnamed'],
)
def test_target_gets_no_request_after_an_answer_that_says_leaving(
    script: Script,
) -> None:
    path = Path(targets=2)
    path.ask()
    (first,) = path.sent_to()
    address = registration(first).address
    path.transport.scripts[address] = [script]
    path.ask()
    assert path.cluster_view.targets[first].leaving.is_active
    path.transport.requests.clear()
    for _ in range(10):
        path.ask()
    assert first not in path.sent_to()


def test_misdirected_answer_says_nothing_of_the_target_that_was_meant() -> (
    None
):
    path = Path(targets=1)
    script = Script(status=421, headers=(NOT_RUN, LEAVING))
    path.transport.scripts[ADDRESS] = [script]
    path.ask()
    assert path.cluster_view.leaving_target_count == 0


def test_retry_does_not_go_to_a_target_that_leaves() -> None:
    path = Path(targets=2)
    path.ask()
    (first,) = path.sent_to()
    path.transport.scripts[registration(first).address] = [
        Script(status=503, headers=(NOT_RUN, LEAVING))
    ]
    assert path.ask(**ORDER_REQUEST).status == 200
    assert path.sent_to()[-1] != first


def test_request_is_refused_at_once_when_all_targets_leave() -> None:
    path, processes = build(targets=2)
    for process in processes:
        process.is_leaving = True
    for _ in processes:
        assert path.ask().status == 200
    begin_ms = path.loop.now_ms()
    assert is_refused_at_once(path.ask(), begin_ms)
    assert [process.late for process in processes] == [0, 0]


def test_request_that_waits_for_its_connection_goes_to_another_target() -> (
    None
):
    path, processes = build(targets=2, retry_ratio=0.0, retry_slack=0)
    path.ask()
    chosen = next(process for process in processes if process.arrived)
    chosen.is_leaving = True
    callers = [Caller(path.loop, request_id=f'r-{n}') for n in range(2)]

    async def serve() -> None:
        begun = asyncio.create_task(path.proxy.serve(callers[0].exchange()))
        await asyncio.sleep(0.01)
        chosen.connect_s = CONNECT_S
        await path.proxy.serve(callers[1].exchange())
        await begun

    path.run(serve())
    assert [caller.reply.status for caller in callers] == [200, 200]
    assert chosen.late == 0
    assert chosen.arrived == 2


def test_withheld_request_leaves_its_retry_to_the_next_attempt() -> None:
    path = Path(targets=3, retry_ratio=0.0, retry_slack=ONE_RETRY_SLACK)
    caller = Caller(path.loop)
    scripts = [
        SHED,
        Script(connect_s=CONNECT_S),
        Script(),
    ]
    order = [target.registration for target in ranked(path)]
    for entry, script in zip(order, scripts, strict=True):
        path.transport.scripts[entry.address] = [script]

    async def serve() -> None:
        begun = asyncio.create_task(path.proxy.serve(caller.exchange()))
        await asyncio.sleep(CONNECT_S / 2)
        say_leaving(path, order[1].target_id)
        await begun

    path.run(serve())
    assert caller.reply.status == 200
    assert path.sent_to() == [order[0].target_id, order[2].target_id]


def test_withheld_request_without_another_target_is_refused_as_not_run() -> (
    None
):
    path = Path(targets=1)
    path.transport.default = Script(connect_s=CONNECT_S)
    caller = Caller(path.loop, **ORDER_REQUEST)

    async def serve() -> None:
        begun = asyncio.create_task(path.proxy.serve(caller.exchange()))
        await asyncio.sleep(CONNECT_S / 2)
        say_leaving(path, 'desk-1')
        await begun

    begin_ms = path.loop.now_ms()
    path.run(serve())
    assert is_refused_at_once(caller.reply, begin_ms + CONNECT_S * 1_000)
    assert path.sent_to() == []
    assert not path.cluster_view.targets['desk-1'].is_suspect(
        path.loop.now_ms()
    )


def test_requests_that_run_end_in_peace() -> None:
    path, (process,) = build()
    process.is_leaving = True
    heads = [{'request_id': f'r-{number}'} for number in range(2)]
    assert [reply.status for reply in path.ask_many(heads)] == [200, 200]


def test_answer_to_an_earlier_request_does_not_end_it() -> None:
    path, (process,) = build()
    early = Caller(path.loop, request_id='r-1')
    later = Caller(path.loop, request_id='r-2')

    async def serve() -> None:
        process.transit_s = 0.3
        first = asyncio.create_task(path.proxy.serve(early.exchange()))
        await asyncio.sleep(0.1)
        process.transit_s = 0.0
        process.is_leaving = True
        await path.proxy.serve(later.exchange())
        await first

    path.run(serve())
    assert early.reply.status == later.reply.status == 200
    assert path.ask().status == 503
    assert process.late == 0


def test_target_back_while_the_store_is_out_gets_requests_again() -> None:
    path, (process,) = build()
    process.is_leaving = True
    path.ask()
    wait(path, 3.5)
    assert 3 <= process.checks <= 4
    restart(path)
    wait(path, BACK_S)
    assert path.ask().status == 200


@pytest.mark.parametrize('change', ['silent', 'gone', 'still leaving'])
def test_target_that_does_not_say_that_it_stays_gets_no_request(
    change: str,
) -> None:
    path, (process,) = build()
    process.is_leaving = True
    path.ask()
    process.is_silent = change == 'silent'
    if change == 'gone':
        transport = path.transport
        assert isinstance(transport, Processes)
        transport.end(ADDRESS)
    for _ in range(10):
        wait(path, 3.0)
        assert path.ask().status == 503
    assert process.late == 0


def test_other_target_at_the_address_does_not_end_it() -> None:
    path, (process,) = build()
    process.is_leaving = True
    path.ask()
    restart(path).target_id = 'desk-9'
    wait(path, 3.0)
    assert path.cluster_view.leaving_target_count == 1


@pytest.mark.parametrize('change', ['draining', 'removed', 'evacuated'])
def test_target_that_the_store_takes_out_is_not_asked(change: str) -> None:
    path, (process,) = build()
    process.is_leaving = True
    path.ask()
    match change:
        case 'draining':
            path.put_target('desk-1', draining=True)
        case 'removed':
            path.cluster_view.remove_target('desk-1', path.loop.now_ms())
        case _:
            path.cluster_view.set_evacuated_domains(
                frozenset(('east-1',)), path.loop.now_ms()
            )
    wait(path, 10.0)
    assert process.checks == 0


def test_entry_of_a_later_start_ends_it_at_once() -> None:
    path, (process,) = build()
    process.is_leaving = True
    path.ask()
    wait(path, 0.1)
    restart(path, born_ms=round(path.loop.now_ms()))
    assert path.ask().status == 200


@pytest.mark.parametrize(
    'entry',
    [
        {'slots': 3},
        {'born_ms': 0},
        {'address': '10.0.0.2:80'},
        {'born_ms': 0, 'address': '10.0.0.2:80'},
    ],
    ids=['same start', 'earlier start', 'address', 'earlier address'],
)
def test_other_entry_of_the_same_process_does_not_end_it(
    entry: dict[str, Any],
) -> None:
    path, (process,) = build()
    process.is_leaving = True
    path.ask()
    path.put_target('desk-1', **entry)
    assert path.ask().status == 503
    path.put_target('desk-1')
    assert path.ask().status == 503


def test_entry_that_comes_back_after_a_lapse_does_not_end_it() -> None:
    path, (process,) = build()
    process.is_leaving = True
    path.ask()
    path.cluster_view.remove_target('desk-1', path.loop.now_ms())
    wait(path, 20.0)
    path.put_target('desk-1')
    assert path.ask().status == 503
    process.is_leaving = False
    wait(path, BACK_S)
    assert path.ask().status == 200


def test_late_entry_does_not_undo_what_its_process_has_said_since() -> None:
    path, _ = build()
    born_ms = round(path.loop.now_ms())
    wait(path, 0.1)
    process = restart(path)
    process.is_leaving = True
    path.ask()
    path.put_target('desk-1', born_ms=born_ms)
    assert path.ask().status == 503
    assert process.late == 0


@pytest.mark.parametrize(
    ('address', 'status'), [(ADDRESS, 503), ('10.0.0.2:80', 200)]
)
def test_answer_that_crosses_an_entry_counts_for_the_process_at_its_address(
    address: str, status: int
) -> None:
    path, (process,) = build()
    transport = path.transport
    assert isinstance(transport, Processes)
    process.is_leaving = True
    process.transit_s = 0.3
    caller = Caller(path.loop, request_id='r-0')

    async def serve() -> None:
        begun = asyncio.create_task(path.proxy.serve(caller.exchange()))
        await asyncio.sleep(0.1)
        path.put_target('desk-1', address=address, born_ms=2)
        await begun

    path.run(serve())
    if address != ADDRESS:
        transport.start(address, 'desk-1')
    assert path.ask().status == status
    assert process.late == 0


def test_nothing_is_asked_while_no_target_says_that_it_leaves() -> None:
    path, (process,) = build()
    path.ask()
    wait(path, 5.0)
    assert process.checks == 0
    assert path.leaving_checks.is_idle


def test_checks_end_with_the_last_target_that_leaves() -> None:
    path, (process,) = build()
    process.is_leaving = True
    path.ask()
    process.is_leaving = False
    wait(path, 5.0)
    assert process.checks == 1
    assert path.leaving_checks.is_idle


def say_leaving(path: Path, target_id: str) -> None:
    target = path.cluster_view.targets[target_id]
    path.leaving.on_head(target, 200, [LEAVING])


def ranked(path: Path) -> list[TargetLoad]:
    """Return the targets in the order in which a request tries them."""
    targets = path.cluster_view.targets
    names = rank_names(targets, 'read/7')
    return [targets[name] for name in names]
