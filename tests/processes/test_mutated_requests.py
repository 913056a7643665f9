"""A real node under requests whose heads and framings are mutated.

Seeded, so that a run can be repeated. Checked are the life and memory of the
process, and that each request at a target is one that the node sent: a byte
of a body that the target takes for a request lacks the headers that only the
node adds.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
from typing import Any
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st

from gentianbank_standins.soak.world import HOST
from gentianbank_standins.soak.world import SoakWorld
from gentianbank_standins.users_targets import HEALTH_PATH
from gentianbank_standins.users_targets import UsersTarget
from tests.processes.test_hostile_callers import ask
from tests.processes.test_hostile_callers import MAX_GROWTH_MB
from tests.support.hostile_callers import ProcessWatch

if TYPE_CHECKING:
    from pathlib import Path

    import pytest

EXAMPLES = 250
# A caller that leaves sooner ends its requests before they reach a target.
ANSWER_TIMEOUT_S = 0.1
# Reads are bounded, as an answer may go on while it is read.
MAX_READS = 20
NODE_HEADER = b'expect-instance'
SMUGGLED = (
    f'POST /order/9 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: smuggled\r\n'
    'Content-Length: 0\r\n\r\n'
).encode()
TOKENS = (
    b'\r\n',
    b'\n',
    b'\r',
    b'\x00',
    b' ',
    b'\t',
    b':',
    b'0',
    b'5',
    b';a=b',
    b'\r\n\r\n',
    b'0\r\n\r\n',
    b'Content-Length: 5\r\n',
    b'Content-Length: +5\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Transfer-Encoding: identity, chunked\r\n',
    b'Transfer-Encoding : chunked\r\n',
    b'Connection: upgrade\r\nUpgrade: h2c\r\n',
    b'Expect: 100-continue\r\n',
    b'\xff',
    SMUGGLED,
)
_edits = st.lists(
    st.tuples(
        st.floats(0, 1),
        st.sampled_from(('insert', 'replace', 'delete')),
        st.sampled_from(TOKENS),
    ),
    max_size=3,
)


def build_request(kind: str, request_id: str) -> bytes:
    """Return a valid request of a kind."""
    if kind == 'read':
        head = f'GET /read/1 HTTP/1.1\r\nHost: {HOST}\r\n'
        end = b'\r\n'
    else:
        head = f'POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\n'
        length = len(SMUGGLED)
        end = b'Content-Length: %d\r\n\r\n%s' % (length, SMUGGLED)
    if kind == 'chunked':
        chunk = b'%x\r\n%s\r\n' % (length, SMUGGLED)
        end = b'Transfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n' % chunk
    ids = f'Request-Id: {request_id}\r\nDeadline-Ms: 1000\r\n'
    return (head + ids).encode() + end


def mutate(data: bytes, edits: list[tuple[float, str, bytes]]) -> bytes:
    """Return data with edits at parts of its length."""
    for part, kind, token in edits:
        at = int(part * len(data))
        end = at if kind == 'insert' else at + 1
        data = data[:at] + (b'' if kind == 'delete' else token) + data[end:]
    return data


def send(address: str, parts: list[bytes]) -> None:
    """Send parts on one connection, and read for a short while."""
    host, _, port = address.rpartition(':')
    with socket.create_connection((host, int(port))) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(ANSWER_TIMEOUT_S)
        # The node may close at any byte, or have nothing to answer yet.
        with contextlib.suppress(OSError):
            for part in parts:
                connection.sendall(part)
            for _ in range(MAX_READS):
                if not connection.recv(65_536):
                    break


def test_mutated_requests_smuggle_nothing_and_end_no_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    requests: list[tuple[str, list[tuple[bytes, bytes]]]] = []
    serve = UsersTarget.__call__

    async def record(
        self: UsersTarget, scope: Any, receive: Any, send: Any
    ) -> None:
        if scope['path'] != HEALTH_PATH:
            requests.append((scope['path'], list(scope['headers'])))
        await serve(self, scope, receive, send)

    monkeypatch.setattr(UsersTarget, '__call__', record)
    sent: list[bytes] = []

    def fuzz(address: str) -> None:
        @settings(
            max_examples=EXAMPLES,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        )
        @given(
            st.lists(
                st.sampled_from(('read', 'order', 'chunked')),
                min_size=1,
                max_size=4,
            ),
            _edits,
            st.lists(st.floats(0, 1), max_size=3),
            st.one_of(st.just(1.0), st.floats(0, 1)),
        )
        def run(
            kinds: list[str],
            edits: list[tuple[float, str, bytes]],
            cuts: list[float],
            end: float,
        ) -> None:
            number = len(sent)
            data = b''.join(
                build_request(kind, f'f-{number}-{place}')
                for place, kind in enumerate(kinds)
            )
            data = mutate(data, edits)
            data = data[: int(end * len(data))]
            sent.append(data)
            places = sorted(
                {0, len(data), *(int(c * len(data)) for c in cuts)}
            )
            parts = itertools.pairwise(places)
            send(address, [data[begin:stop] for begin, stop in parts])

        run()

    async def play() -> None:
        world = SoakWorld(tmp_path, 1, 1, seed=0)
        try:
            await world.start()
            (node,) = world.nodes
            assert node.process is not None
            await ask(node.callers, 'before')
            watch = ProcessWatch(node.process.pid)
            watch.begin()
            await asyncio.to_thread(fuzz, node.callers)
            await ask(node.callers, 'after')
            print(
                f'MEASURED {len(sent)} connections, {len(requests)} requests'
                f' at the target, {watch.peak_growth_mb:.1f} MB'
            )
            assert watch.is_running
            assert watch.peak_growth_mb < MAX_GROWTH_MB
            runs = world.journal.runs
            check_runs(runs, sent)
        finally:
            await world.stop()

    asyncio.run(play())
    # A run that reaches no target would check nothing.
    assert len(requests) > EXAMPLES / 10
    for path, headers in requests:
        names = [name for name, _ in headers]
        assert names.count(NODE_HEADER) == 1, (path, headers)
        assert names.count(b'host') == 1, (path, headers)
        assert names.count(b'request-id') == 1, (path, headers)


def check_runs(runs: dict[str, int], sent: list[bytes]) -> None:
    """Check that no request ran more often than a caller sent it."""
    everything = b'\n'.join(sent)
    for request_id, count in runs.items():
        if request_id.startswith('f-'):
            line = f'Request-Id: {request_id}\r\n'.encode()
            assert count <= max(1, everything.count(line)), request_id
