"""Shares on the request path and in the gossip."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from gentianbank.domain.workspaces import Workspace
from gentianbank.domain.workspaces import WorkspaceTable
from gentianbank.nodes.share_gauges import list_share_gauges
from gentianbank.platform.credentials import digest_key
from gentianbank.policy.fair_shares.counts import NodeCounts
from gentianbank.policy.fair_shares.division import Asked
from gentianbank.policy.fair_shares.division import ClassKey
from gentianbank.policy.fair_shares.room import HOLD_MS
from gentianbank.policy.fair_shares.service_shares import MAX_REPORT_AGE_MS
from gentianbank.steering.fair_shares.fair_shares import CAUSE
from gentianbank.steering.fair_shares.fair_shares import MAX_GAUGE_WORKSPACES
from tests.support.gossip_hub import Hub
from tests.support.steering import Caller
from tests.support.steering import header
from tests.support.steering import Path
from tests.support.steering import READ
from tests.support.steering import Script
from tests.support.steering import table

if TYPE_CHECKING:
    import pytest

    from gentianbank.domain.route_table import RouteTable
    from tests.support.steering import Reply

NAMES = ('hot', 'small')
PUBLIC = replace(READ, name='open', prefix='/open/', public=True)
HOT = ClassKey('hot', 0, READ.priority)
SECOND_MS = 1_000.0
TICK_MS = 100.0
SHORT = NodeCounts({HOT: Asked(100.0)}, 20.0, 50.0, True)


def _table(version: int = 2) -> RouteTable:
    by_key: dict[bytes, Workspace | None] = {
        digest_key(n.encode()): Workspace(name=n) for n in NAMES
    }
    return replace(
        table(version, READ, PUBLIC),
        workspaces=WorkspaceTable(by_key=by_key),
    )


def _path() -> Path:
    path = Path(targets=2)
    path.transport.default = Script(after_s=0.2)
    path.cluster_view.put_table(_table())
    return path


def _heads(name: str, count: int, **more: object) -> list[dict[str, object]]:
    headers = {'authorization': f'Token {name}'}
    return [
        {'headers': headers, 'key': str(number), **more}
        for number in range(count)
    ]


def _play(
    path: Path, duration_s: float, heads: list[dict[str, object]]
) -> list[Reply]:
    """Send the same requests every 100 ms, and tick as the gossip does.

    The targets of a path answer 20 requests a second.
    """
    replies: list[Reply] = []

    async def play() -> None:
        async with asyncio.TaskGroup() as group:
            for _ in range(round(duration_s * 10)):
                for head in heads:
                    caller = Caller(path.loop, **head)
                    replies.append(caller.reply)
                    group.create_task(path.proxy.serve(caller.exchange()))
                await asyncio.sleep(TICK_MS / 2 / SECOND_MS)
                path.fair_shares.step(TICK_MS)
                await asyncio.sleep(TICK_MS / 2 / SECOND_MS)

    path.run(play())
    return replies


def _by_share(replies: list[Reply]) -> list[Reply]:
    return [reply for reply in replies if reply.body == CAUSE.encode()]


def _lack_room(path: Path, asked_per_s: float = 100.0) -> None:
    """Let the node believe that the service can answer 20 a second."""
    counts = replace(SHORT, asked={HOT: Asked(asked_per_s)})
    path.cluster_view.peer_loads.peers = 1
    path.cluster_view.peer_loads.on_heartbeat('vm-2', path.loop.now_ms())
    for target in path.cluster_view.targets.values():
        for _ in range(target.registration.slots):
            target.on_send(path.loop.now_ms(), '')
    path.fair_shares.on_report('vm-2', 'desk', counts)
    path.run(_sleep())
    path.fair_shares.step(TICK_MS)


async def _sleep() -> None:
    await asyncio.sleep(1.0)


def test_hot_workspace_is_refused_at_once_and_may_retry() -> None:
    path = _path()
    _lack_room(path)
    begin_ms = path.loop.now_ms()
    refused = _by_share(path.ask_many(_heads('hot', 20)))
    assert 15 <= len(refused) <= 17
    for reply in refused:
        assert reply.status == 503
        assert header(reply.headers, b'retry-after')
        assert reply.at_ms == begin_ms


def test_refused_request_is_not_sent() -> None:
    path = _path()
    _lack_room(path)
    replies = path.ask_many(_heads('hot', 20))
    refused = len(_by_share(replies))
    assert len(path.transport.requests) <= len(replies) - refused


def test_workspace_that_asks_little_is_not_refused() -> None:
    path = _path()
    _lack_room(path)
    assert not _by_share(path.ask_many(_heads('small', 5)))


def test_overload_at_one_node_leads_to_shares() -> None:
    path = _path()
    heads = _heads('hot', 6)
    replies = _play(path, 6.0, heads)
    assert _by_share(replies[-len(heads) * 10 :])
    assert path.fair_shares.reports()


def test_load_within_the_room_is_never_refused_by_share() -> None:
    path = _path()
    assert not _by_share(_play(path, 6.0, _heads('hot', 1)))
    assert not path.fair_shares.shared_services
    assert not path.fair_shares.reports()


def test_requests_without_workspace_are_one_class() -> None:
    path = _path()
    public = [head | {'path': '/open/1'} for head in _heads('other', 3)]
    replies = _play(path, 6.0, _heads('hot', 3) + public)
    names = {row[1] for row in path.fair_shares.largest_workspaces()}
    assert names == {'', 'hot'}
    late = replies[-60:]
    assert len(_by_share(late)) > len(late) / 4


def test_without_workspaces_nothing_is_counted_or_refused() -> None:
    path = Path(targets=2)
    path.transport.default = Script(after_s=0.2)
    replies = []
    for _ in range(20):
        replies += path.ask_many([{'key': str(n)} for n in range(20)])
    path.fair_shares.on_report('vm-2', 'desk', SHORT)
    assert not _by_share(replies)
    assert not path.fair_shares.reports()
    assert not path.fair_shares._services


def test_shares_end_when_workspaces_leave_the_configuration() -> None:
    path = _path()
    _lack_room(path)
    path.cluster_view.put_table(table(3, READ))
    path.fair_shares.step(TICK_MS)
    assert not path.fair_shares.shared_services


def test_unknown_service_of_a_peer_is_left_out() -> None:
    # Peers could otherwise fill a node's memory.
    path = _path()
    path.fair_shares.on_report('vm-2', 'other', SHORT)
    assert not path.fair_shares._services


def test_log_tells_why_a_request_is_refused(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level('INFO')
    path = _path()
    _lack_room(path)
    path.ask_many(_heads('hot', 10, request_id='r-9'))
    lines = [r for r in caplog.records if r.msg == 'refused by share']
    fields = lines[0].__dict__
    assert fields['request'] == 'r-9'
    assert fields['workspace'] == 'hot'
    assert fields['rule'] == 'max-min'
    assert fields['share_per_s'] == 20.0
    assert fields['asked_per_s'] == 100.0
    assert fields['counts_age_ms'] == SECOND_MS
    assert not any('Token' in str(r.__dict__) for r in lines)


def test_workspace_with_shorter_deadlines_does_not_seem_to_return() -> None:
    path = _path()
    path.ask_many(_heads('hot', 5, deadline_ms=9_000))
    path.ask_many(_heads('small', 5, deadline_ms=2_000))
    path.run(_sleep())
    path.fair_shares.step(TICK_MS)
    counts = path.fair_shares._services['desk']._own.asked
    small = counts[ClassKey('small', 0, READ.priority)]
    assert small.returning_per_s == 0.0


def test_gauges_are_bounded() -> None:
    path = _path()
    _lack_room(path)
    counts = replace(
        SHORT,
        asked={ClassKey(f'w{n}', 0, 1): Asked(n + 1.0) for n in range(50)},
    )
    path.fair_shares.on_report('vm-2', 'desk', counts)
    path.run(_sleep())
    path.fair_shares.step(TICK_MS)
    values = [gauge.read() for gauge in list_share_gauges(path.fair_shares)]
    assert values[0] == 1.0
    for rows in values[1:]:
        assert isinstance(rows, list)
        assert len(rows) == MAX_GAUGE_WORKSPACES
        assert rows[0].labels == {'service': 'desk', 'workspace': 'w49'}


def _hub(*names: str) -> Hub:
    hub = Hub(*names)
    for node in hub.nodes.values():
        node.cluster_view.put_table(_table())
    return hub


def test_node_that_hears_of_a_shortage_tells_its_counts() -> None:
    hub = _hub('vm-1', 'vm-2', 'vm-3')
    hub.nodes['vm-1'].fair_shares.on_report('vm-2', 'desk', SHORT)
    hub.advance_ms(2 * SECOND_MS)
    heard = hub.nodes['vm-3'].fair_shares._services['desk']._heard
    assert set(heard) == {'vm-1'}
    # What it says of itself is not that it is short: two nodes that answered
    # each other would go on for ever.
    assert not heard['vm-1'].counts.is_short


def test_messages_end_with_the_shortage() -> None:
    hub = _hub('vm-1', 'vm-2', 'vm-3')
    hub.nodes['vm-1'].fair_shares.on_report('vm-2', 'desk', SHORT)
    hub.advance_ms(MAX_REPORT_AGE_MS + HOLD_MS + 2 * SECOND_MS)
    for node in hub.nodes.values():
        assert not node.fair_shares.reports()


def test_no_message_is_sent_while_there_is_room() -> None:
    hub = _hub('vm-1', 'vm-2')
    plain = Hub('vm-1', 'vm-2')
    for each in (hub, plain):
        each.messages = 0
        each.advance_ms(10 * SECOND_MS)
    assert hub.messages == plain.messages


def test_messages_are_at_most_one_a_second_for_each_peer() -> None:
    hub = _hub('vm-1', 'vm-2')
    hub.advance_ms(SECOND_MS)
    hub.messages = 0
    for _ in range(4):
        first = hub.nodes['vm-1'].fair_shares
        first.on_report('vm-2', 'desk', SHORT)
        hub.advance_ms(SECOND_MS)
    # Two heartbeats a second of each node, and one message with counts.
    assert hub.messages <= 4 * (2 * 2 + 2)


def test_lost_peer_is_forgotten() -> None:
    hub = _hub('vm-1', 'vm-2')
    first = hub.nodes['vm-1']
    first.fair_shares.on_report('vm-2', 'desk', SHORT)
    first.peers.disconnect('vm-2')
    assert not first.fair_shares._services['desk']._heard
