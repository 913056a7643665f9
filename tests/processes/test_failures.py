"""Real daemons under the failures that matter most to each promise."""

from __future__ import annotations

import contextlib
import signal
import threading
import time
from typing import Any
from typing import TYPE_CHECKING

import httpx

from gentianbank.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from gentianbank_standins.fleet import Fleet

SERVICE = '/services/ordering'
LARGE_BYTES = 30_000_000
PATIENCE_S = 30.0


def look_up(fleet: Fleet, vm: str) -> list[dict[str, Any]]:
    url = f'http://{fleet.nodes[vm].http}/lookup'
    answer = httpx.get(url, params={'client': '100.64.0.1'}, timeout=5)
    entries: list[dict[str, Any]] = answer.json()['entries']
    return entries


def order(fleet: Fleet, vm: str, key: str, body: str) -> httpx.Response:
    return httpx.post(
        f'http://{fleet.nodes[vm].http}{SERVICE}/orders?token={body}',
        headers={'idempotency-key': key},
        content=body.encode(),
        timeout=PATIENCE_S,
    )


def wait_until(condition: Any) -> None:
    deadline_s = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < deadline_s, 'waited in vain'
        time.sleep(0.1)


def test_order_of_a_killed_node_is_unknown_and_runs_once(
    fleet: Fleet,
) -> None:
    vm = 'kingston-1'
    entry = next(e for e in look_up(fleet, vm) if e['vm'] == vm)
    key = f'{entry["incarnation"]}.{entry["epoch"]}.order-1'
    for service in fleet.configuration['services'].values():
        for place in service['places']:
            for target in place['targets']:
                fleet.set_target_faults(target['name'], slow_factor=60.0)

    def send() -> None:
        with contextlib.suppress(httpx.HTTPError):
            order(fleet, vm, key, 'order-1')

    sent = threading.Thread(target=send)
    sent.start()
    time.sleep(0.3)
    fleet.signal(vm, signal.SIGKILL)
    sent.join()
    answer = order(fleet, 'kingston-2', key, 'order-1')
    assert answer.headers['request-outcome'] == 'unknown'
    time.sleep(3)
    executions = fleet.journal()['executions']
    assert sum(executions.values()) <= 1


def test_planned_stop_cuts_no_large_download(fleet: Fleet) -> None:
    vm = 'kingston-1'
    received = 0
    url = f'http://{fleet.nodes[vm].http}/services/documents'
    with httpx.stream(
        'GET', f'{url}/drawings/{LARGE_BYTES}?token=t', timeout=PATIENCE_S
    ) as answer:
        assert answer.status_code == 200
        for number, chunk in enumerate(answer.iter_raw()):
            received += len(chunk)
            if number == 5:
                fleet.signal(vm, signal.SIGTERM)
            if number < 60:
                time.sleep(0.1)
    assert received == LARGE_BYTES
    assert fleet.wait_exit(vm) == 0
    wait_until(
        lambda: vm not in {e['vm'] for e in look_up(fleet, 'kingston-2')}
    )


def test_paused_node_leaves_the_answers_and_comes_back(fleet: Fleet) -> None:
    vm = 'kingston-1'

    def is_named() -> bool:
        return vm in {e['vm'] for e in look_up(fleet, 'kingston-2')}

    wait_until(is_named)
    fleet.signal(vm, signal.SIGSTOP)
    wait_until(lambda: not is_named())
    drained = fleet.command('drain', 'ord-02', node='mandeville-1')
    assert drained.returncode == ExitCode.OK, drained.stderr
    fleet.signal(vm, signal.SIGCONT)
    wait_until(is_named)
    fleet.wait_revision(2)


def test_node_that_starts_in_an_outage_serves(fleet: Fleet) -> None:
    vm = 'mandeville-1'
    fleet.signal(vm, signal.SIGKILL)
    fleet.wait_exit(vm)
    fleet.set_platform_faults(outage=True)
    fleet.start_node(vm)
    fleet.wait_http(f'http://{fleet.nodes[vm].http}/healthz')
    fleet.wait_revision(1, [vm])
    url = f'http://{fleet.nodes[vm].http}{SERVICE}/stock/1?token=t'
    assert httpx.get(url, timeout=5).json()['token'] == 't'
    refused = order(fleet, vm, 'my-own-key', 'order-2')
    assert refused.headers['request-outcome'] == 'unknown'
    assert fleet.journal()['executions'] == {}
    change = fleet.command('drain', 'ord-02', node=vm)
    assert change.returncode == ExitCode.UNREACHABLE


def test_leaving_target_gets_no_new_work(fleet: Fleet) -> None:
    fleet.set_target_faults('ord-01', leaving=True)
    for vm in fleet.nodes:
        wait_until(lambda vm=vm: _state_of(fleet, vm, 'ord-01') == 'leaving')
    before = fleet.journal()['requests'].get('ord-01', 0)
    for vm, node in fleet.nodes.items():
        for _ in range(20):
            url = f'http://{node.http}{SERVICE}/stock/1?token=t'
            assert httpx.get(url, timeout=5).status_code == 200, vm
    assert fleet.journal()['requests'].get('ord-01', 0) == before


def test_lost_answer_of_the_store_changes_once(fleet: Fleet) -> None:
    fleet.set_platform_faults(lose_answers=1)
    changed = fleet.command('drain', 'ord-03')
    assert changed.returncode == ExitCode.OK, changed.stderr
    trail = fleet.command('history', '--json')
    assert trail.stdout.count('"change_id"') == 2


def _state_of(fleet: Fleet, vm: str, target: str) -> str:
    status = fleet.command('status', node=vm).stdout
    line = next(x for x in status.splitlines() if f' {target} ' in x)
    return line.split()[3]
