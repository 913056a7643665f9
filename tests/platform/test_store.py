"""Tests of the client of the platform's store."""

from __future__ import annotations

import asyncio
import base64
from dataclasses import replace
import json
from typing import Any
from typing import TYPE_CHECKING

from expression import Result
import pytest

from gentianbank.domain.errors import StoreUnavailable
from gentianbank.platform import store as store_module
from gentianbank.platform.store import PlatformStore
from gentianbank.storage.prefix_store import ChangesTooLarge
from gentianbank.storage.prefix_store import HistoryCompacted
from gentianbank.storage.prefix_store import Lease
from gentianbank.storage.prefix_store import LeaseExpired
from gentianbank.storage.prefix_store import Removal
from gentianbank.storage.store import Put
from gentianbank.storage.store import StoredValue
from tests.support.steering import LOST
from tests.support.steering import Script
from tests.support.steering import ScriptedTargets
from tests.support.steering import SILENT
from tests.support.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Coroutine

ADDRESS = '10.200.1.7:8169'
# The largest value that the store takes, and a link of 5 Mbit/s.
LARGEST = b'c' * 1_048_576
SLOWEST_LINK_BYTES_PER_S = 5_000_000 / 8


class StoreHarness:
    """A store client whose calls get scripted answers."""

    def __init__(self, *scripts: Script) -> None:
        self.loop = VirtualLoop()
        self.transport = ScriptedTargets()
        self.transport.scripts = {ADDRESS: list(scripts)}
        self.outcomes: list[tuple[str, str]] = []
        self.store = PlatformStore(
            ADDRESS,
            900,
            self.transport,
            lambda call, outcome: self.outcomes.append((call, outcome)),
        )

    def run(self, call: Coroutine[Any, Any, Result[Any, Any]]) -> Any:
        """Return the value of a call's result, or its error."""
        match self.loop.run_until_complete(call):
            case Result(tag='ok', ok=value):
                return value
            case Result(error=error):
                return error

    @property
    def paths(self) -> list[str]:
        """Return method and path of the requests that were sent."""
        return [
            f'{request.method} {request.path.decode()}'
            for request in self.transport.requests
        ]


def reply(document: Any, status: int = 200) -> Script:
    """Return a scripted answer with a JSON document."""
    return Script(status=status, body=json.dumps(document).encode())


def item(key: str, revision: int, value: bytes = b'v') -> dict[str, Any]:
    """Return an item as the store encodes it."""
    encoded = base64.b64encode(value).decode()
    return {'key': key, 'value': encoded, 'revision': revision}


def slow(document: Any, bytes_per_s: float) -> Script:
    """Return a scripted answer that comes at the speed of a link."""
    return replace(reply(document), bytes_per_s=bytes_per_s)


def test_listing_reads_every_page() -> None:
    first_page = {'items': [item('a', 1)], 'hasMore': True, 'currentRev': 5}
    second_page = {
        'items': [item('b/c', 2)],
        'hasMore': False,
        'currentRev': 9,
    }
    harness = StoreHarness(reply(first_page), reply(second_page))
    listing = harness.run(harness.store.list_prefix(''))
    assert [value.key for value in listing.values] == ['a', 'b/c']
    # Later pages may be newer than the first. Following the changes after
    # the revision of the first page makes up for the difference.
    assert listing.revision == 5
    assert harness.paths[1] == 'GET /kv-range?prefix=&after=a'


@pytest.mark.parametrize('status', [410, 429, 503])
def test_refusal_with_a_long_body_is_no_large_change(status: int) -> None:
    refusal = Script(status=status, body=b'x' * 300_000)
    harness = StoreHarness(refusal)
    watch = harness.store.wait_for_changes('', 6, 250, max_bytes=1_000)
    gone = HistoryCompacted()
    refused = StoreUnavailable(f'HTTP {status}')
    assert harness.run(watch) == (gone if status == 410 else refused)


def test_changes_over_the_asked_size_are_not_read() -> None:
    events = [item('op/config', 7, b'x' * 10_000)]
    script = reply({'events': events, 'currentRev': 7})
    harness = StoreHarness(script)
    watch = harness.store.wait_for_changes('', 6, 250, max_bytes=10_000)
    assert harness.run(watch) == ChangesTooLarge()


def test_failed_page_does_not_cost_the_pages_before() -> None:
    # With a call lost now and then a long listing was never complete.
    pages = [
        {'items': [item(f'a{n:02}', n)], 'hasMore': n < 30, 'currentRev': 99}
        for n in range(31)
    ]
    scripts = [reply(pages[0])]
    for page in pages[1:]:
        scripts += [LOST, reply({}, 503), reply(page)]
    harness = StoreHarness(*scripts)
    values = harness.run(harness.store.list_prefix('')).values
    assert len(values) == len(pages)


def test_listing_is_given_up_where_the_store_stays_away() -> None:
    first = {'items': [item('a', 1)], 'hasMore': True, 'currentRev': 5}
    scripts = [reply(first), *[reply({}, 503)] * 10]
    harness = StoreHarness(*scripts)
    error = harness.run(harness.store.list_prefix(''))
    assert error == StoreUnavailable('HTTP 503')
    assert len(harness.paths) == 4


def test_changes_are_decoded() -> None:
    events = [item('a', 7, b'\xff'), {'key': 'b', 'revision': 8, 'removed': 1}]
    harness = StoreHarness(reply({'events': events, 'currentRev': 8}))
    changes = harness.run(harness.store.wait_for_changes('x/', 6, 250))
    assert changes.events == (StoredValue('a', b'\xff', 7), Removal('b', 8))
    assert harness.paths == ['GET /kv-watch?prefix=x%2F&after=6&waitMs=250']


def test_watch_reports_history_that_is_gone() -> None:
    harness = StoreHarness(reply({}, 410))
    answer = harness.run(harness.store.wait_for_changes('', 6, 250))
    assert answer == HistoryCompacted()


@pytest.mark.parametrize(
    'script',
    [
        reply({}, 429),
        reply({}, 503),
        LOST,
        Script(after_s=60.0),
        Script(cut=True),
        Script(body=b'no document'),
        reply([]),
        reply({'items': 7}),
        reply({'items': [{}], 'currentRev': 1}),
    ],
)
def test_call_without_a_usable_answer_is_unavailable(script: Script) -> None:
    harness = StoreHarness(script)
    answer = harness.run(harness.store.list_prefix(''))
    assert isinstance(answer, StoreUnavailable)


def test_watch_may_wait_as_long_as_it_asks() -> None:
    answer = reply({'events': [], 'currentRev': 6})
    harness = StoreHarness(Script(body=answer.body, after_s=4.0))
    changes = harness.run(harness.store.wait_for_changes('', 6, 4_000))
    assert changes.revision == 6


def test_listing_survives_an_invalid_value() -> None:
    forged = {'key': 'a', 'value': '%%%', 'revision': 1}
    listing = {'items': [forged, item('b', 2)], 'currentRev': 3}
    harness = StoreHarness(reply(listing))
    values = harness.run(harness.store.list_prefix('')).values
    assert [value.value for value in values] == [b'', b'v']


def test_answer_without_end_is_given_up_while_memory_is_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_module, 'MAX_ANSWER_BYTES', 200_000)
    endless = Script(body=b'{"items": ["' + b'x' * 1_000_000)
    harness = StoreHarness(endless)
    error = harness.run(harness.store.list_prefix(''))
    assert error == StoreUnavailable('the answer is over 200000 bytes')


def test_largest_value_is_read_over_the_slowest_link() -> None:
    # A limit on the whole body made such an answer unreadable for ever.
    page = {'items': [item('op/config', 2, LARGEST)], 'currentRev': 3}
    harness = StoreHarness(slow(page, SLOWEST_LINK_BYTES_PER_S))
    values = harness.run(harness.store.list_prefix('')).values
    assert [len(value.value) for value in values] == [len(LARGEST)]


def test_largest_versions_at_once_are_read_over_the_slowest_link() -> None:
    events = [item('op/config', 2 + n, LARGEST) for n in range(6)]
    changes = {'events': events, 'currentRev': 7}
    harness = StoreHarness(slow(changes, SLOWEST_LINK_BYTES_PER_S))
    answer = harness.run(harness.store.wait_for_changes('', 1, 250))
    assert len(answer.events) == 6


def test_body_that_stops_is_given_up_after_the_silence() -> None:
    body = reply({'items': [], 'currentRev': 1}).body
    stopping = Script(body=body, chunk_bytes=1, bytes_per_s=1.0)
    harness = StoreHarness(stopping)
    began_s = harness.loop.time()
    error = harness.run(harness.store.list_prefix(''))
    assert isinstance(error, StoreUnavailable)
    assert error.cause.endswith('0 of unknown bytes')
    assert harness.loop.time() - began_s < 1.2


def test_body_that_trickles_is_given_up() -> None:
    trickling = Script(body=b' ' * 100_000, chunk_bytes=1, bytes_per_s=2.0)
    harness = StoreHarness(trickling)
    began_s = harness.loop.time()
    error = harness.run(harness.store.list_prefix(''))
    assert isinstance(error, StoreUnavailable)
    assert harness.loop.time() - began_s < 1.2


def test_write_is_bound_to_the_lease() -> None:
    harness = StoreHarness(reply({'revision': 12}))
    put = Put('nodes/vm-1', b'me', 77)
    assert harness.run(harness.store.put(put)) == 12
    body = harness.transport.requests[0].body
    assert isinstance(body, bytes)
    written = json.loads(body)['writes']
    assert written == [{'key': 'nodes/vm-1', 'value': 'bWU=', 'lease': 77}]


def test_lease_is_granted_and_renewed_and_its_key_deleted() -> None:
    harness = StoreHarness(
        reply({'lease': 77, 'ttlMs': 4_000}), reply({}), reply({})
    )
    assert harness.run(harness.store.grant_lease_ms(4_000)) == Lease(77)
    assert harness.run(harness.store.renew_lease(Lease(77))) is None
    delete = harness.store.delete('nodes/vm-1', 12, Lease(77))
    assert harness.run(delete) is None
    assert harness.paths == [
        'POST /kv-lease',
        'POST /kv-keep/77',
        'POST /kv-txn',
    ]
    body = harness.transport.requests[-1].body
    assert isinstance(body, bytes)
    assert json.loads(body) == {
        'expectedRev': [{'key': 'nodes/vm-1', 'revision': 12}],
        'writes': [],
        'deletes': ['nodes/vm-1'],
    }


def test_calls_report_a_lease_that_has_ended() -> None:
    harness = StoreHarness(reply({}, 404), reply({}, 404))
    assert harness.run(harness.store.renew_lease(Lease(77))) == LeaseExpired()
    put = harness.store.put(Put('nodes/vm-1', b'me', 77))
    assert harness.run(put) == LeaseExpired()


def test_key_that_was_written_again_is_not_deleted() -> None:
    harness = StoreHarness(reply({'items': []}, 412), reply({}, 503))
    delete = harness.store.delete('nodes/vm-1', 12, Lease(77))
    assert harness.run(delete) is None
    delete = harness.store.delete('nodes/vm-1', 12, Lease(77))
    assert harness.run(delete) == StoreUnavailable('HTTP 503')


def test_calls_do_not_wait_for_each_other() -> None:
    slow = Script(body=reply({'events': [], 'currentRev': 6}).body, after_s=4)
    harness = StoreHarness(slow, reply({}))

    async def renew_during_watch() -> float:
        watch = asyncio.create_task(
            harness.store.wait_for_changes('', 6, 4_000)
        )
        await asyncio.sleep(0.1)
        await harness.store.renew_lease(Lease(77))
        ended_s = harness.loop.time()
        await watch
        return harness.loop.time() - ended_s

    assert harness.loop.run_until_complete(renew_during_watch()) > 3


def test_each_call_is_counted_with_its_outcome() -> None:
    harness = StoreHarness(
        reply({}, 503), LOST, reply({'lease': 7, 'ttlMs': 1})
    )
    for _ in range(3):
        harness.run(harness.store.grant_lease_ms(1_000))
    outcomes = ['503', 'no answer', '200']
    assert harness.outcomes == [('kv-lease', outcome) for outcome in outcomes]


def in_era(script: Script, era: bytes) -> Script:
    """Return an answer that states the era of the store."""
    return replace(script, headers=((b'Store-Era', era),))


def test_change_of_the_era_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    eras = (b'3', b'3', b'no number', b'4')
    harness = StoreHarness(
        *(in_era(reply({'revision': 1}), era) for era in eras)
    )
    for _ in eras:
        harness.run(harness.store.put(Put('nodes/vm-1', b'v')))
    logged = [
        (vars(record)['era'], vars(record)['was'])
        for record in caplog.records
        if record.msg == 'era of the store changed'
    ]
    assert logged == [(4, 3)]
    assert 'answer of the store without its era' in caplog.messages


def test_changes_and_listings_name_their_era() -> None:
    harness = StoreHarness(
        in_era(reply({'items': [], 'currentRev': 4}), b'2'),
        in_era(reply({'events': [], 'currentRev': 4}), b'3'),
    )
    assert harness.run(harness.store.list_prefix('')).era == 2
    assert harness.run(harness.store.wait_for_changes('', 4, 0)).era == 3


def test_pages_of_two_eras_are_no_listing() -> None:
    first = {'items': [item('a', 2)], 'hasMore': True, 'currentRev': 4}
    second = {'items': [item('b', 3)], 'hasMore': False, 'currentRev': 3}
    harness = StoreHarness(
        in_era(reply(first), b'1'), in_era(reply(second), b'2')
    )
    listed = harness.run(harness.store.list_prefix(''))
    assert isinstance(listed, StoreUnavailable)


async def restore_during(
    harness: StoreHarness, call: Coroutine[Any, Any, Result[Any, Any]]
) -> Result[Any, Any]:
    """Return the result of a call that waits when another shows an era."""
    await harness.store.put(Put('nodes/vm-1', b'v'))
    waiting = asyncio.create_task(call)
    await asyncio.sleep(0.01)
    await harness.store.put(Put('nodes/vm-1', b'v'))
    return await waiting


def test_late_answer_of_an_earlier_era_is_not_used() -> None:
    page = {'items': [], 'currentRev': 9}
    harness = StoreHarness(
        in_era(reply({'revision': 9}), b'1'),
        replace(in_era(reply(page), b'1'), after_s=0.5),
        in_era(reply({'revision': 3}), b'2'),
    )
    call = harness.store.list_prefix('')
    assert isinstance(
        harness.run(restore_during(harness, call)), StoreUnavailable
    )


def test_watch_ends_when_another_call_shows_a_restore() -> None:
    # Its connection was silent, and nothing ended the wait of 4 s.
    harness = StoreHarness(
        in_era(reply({'revision': 9}), b'1'),
        SILENT,
        in_era(reply({'revision': 3}), b'2'),
    )
    began_s = harness.loop.time()
    call = harness.store.wait_for_changes('', 9, 4_000)
    answer = harness.run(restore_during(harness, call))
    assert isinstance(answer, HistoryCompacted)
    assert harness.loop.time() - began_s < 0.5
    assert len(harness.transport.given_up) == 1


def test_nothing_is_sent_for_a_lease_of_another_era() -> None:
    # Its number may be that of someone else's lease.
    harness = StoreHarness(
        in_era(reply({'lease': 7, 'ttlMs': 1}), b'1'),
        in_era(reply({'revision': 3}), b'2'),
    )
    store = harness.store
    lease = harness.run(store.grant_lease_ms(1_000))
    assert lease == Lease(7, 1)
    assert store.is_current(lease)
    harness.run(store.put(Put('members/vm-1', b'v')))
    assert not store.is_current(lease)
    assert harness.run(store.renew_lease(lease)) == LeaseExpired()
    assert harness.run(store.delete('nodes/vm-1', 3, lease)) is None
    put = store.put(Put('nodes/vm-1', b'v', lease.number, lease.era))
    assert harness.run(put) == LeaseExpired()
    assert len(harness.paths) == 2


def test_answer_of_a_restored_store_renews_and_binds_nothing() -> None:
    harness = StoreHarness(
        in_era(reply({'lease': 7, 'ttlMs': 1}), b'1'),
        in_era(reply({}), b'2'),
        in_era(reply({'lease': 7, 'ttlMs': 1}), b'2'),
        in_era(reply({'revision': 4}), b'3'),
    )
    store = harness.store
    lease = harness.run(store.grant_lease_ms(1_000))
    assert harness.run(store.renew_lease(lease)) == LeaseExpired()
    lease = harness.run(store.grant_lease_ms(1_000))
    put = store.put(Put('nodes/vm-1', b'v', lease.number, lease.era))
    assert harness.run(put) == LeaseExpired()


def test_watch_ends_when_another_call_gets_no_answer() -> None:
    # Nothing ended the wait of 4 s on a connection that had fallen silent.
    harness = StoreHarness(SILENT, SILENT)
    began_s = harness.loop.time()

    async def renew_during_watch() -> Result[Any, Any]:
        watch = harness.store.wait_for_changes('', 9, 4_000)
        watching = asyncio.create_task(watch)
        await asyncio.sleep(0.1)
        renewed = await harness.store.renew_lease(Lease(7))
        assert renewed.is_error()
        return await watching

    answer = harness.run(renew_during_watch())
    assert answer == StoreUnavailable('another call got no answer')
    assert harness.loop.time() - began_s < 1.1
    assert harness.outcomes[-1] == ('kv-watch', 'no answer')
