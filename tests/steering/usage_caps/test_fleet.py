"""Usage caps on several nodes' request paths, on a virtual clock."""

from __future__ import annotations

from dataclasses import replace
import statistics
from typing import TYPE_CHECKING

import pytest

from gentianbank.control.peers import Received
from gentianbank.policy.usage_caps.exchange import Grant
from gentianbank.policy.usage_caps.exchange import Granted
from gentianbank.steering.usage_caps import messages
from tests.support.cap_fleet import CapFleet
from tests.support.cap_fleet import WORK_S
from tests.support.steering import header
from tests.support.steering import LOST
from tests.support.steering import Path
from tests.support.steering import SHED
from tests.support.steering import table

if TYPE_CHECKING:
    from collections.abc import Iterator

NODES = 12
RATE_PER_S = 100.0
BURST = 20.0
# The owner waits for its tenure before it grants tokens.
SETTLE_S = 9.0
SPAN_S = 10.0
ALLOWED = (RATE_PER_S * 5 + BURST) * 1.1


@pytest.fixture
def fleet() -> Iterator[CapFleet]:
    """Return a fleet whose owner acts, and end it after the test."""
    made = CapFleet(NODES, RATE_PER_S, BURST)
    made.run(SETTLE_S)
    yield made
    made.loop.end()


def _domain(fleet: CapFleet) -> list[Path]:
    return [p for p in fleet.paths if p.failure_domain == 'east-1']


def test_calm_fleet_uses_its_cap_and_no_more(fleet: CapFleet) -> None:
    """Guards against tokens that expire unused, and against overuse."""
    tally = fleet.play(SPAN_S, 1.3 * RATE_PER_S, fleet.paths)
    assert tally.answered >= 0.9 * RATE_PER_S * SPAN_S
    assert fleet.most_in_window() <= ALLOWED


def test_one_failure_domain_can_use_most_of_the_cap(fleet: CapFleet) -> None:
    """Guards against parts held back for nodes without demand."""
    tally = fleet.play(SPAN_S, 1.3 * RATE_PER_S, _domain(fleet))
    assert tally.answered >= 0.8 * RATE_PER_S * SPAN_S
    assert fleet.most_in_window() <= ALLOWED


def test_callers_under_the_cap_do_not_wait(fleet: CapFleet) -> None:
    """Guards against a round trip to the owner for most requests."""
    tally = fleet.play(SPAN_S, 0.85 * RATE_PER_S, fleet.paths)
    assert tally.answered >= 0.99 * tally.sent
    assert statistics.median(tally.waits_ms) == pytest.approx(0, abs=1e-3)


def test_retry_storm_does_not_starve_callers_that_obey(
    fleet: CapFleet,
) -> None:
    """Guards against tokens for whoever asks most often."""
    obeying, storm = fleet.play_both(
        SPAN_S, ((0.5 * RATE_PER_S, True), (2 * RATE_PER_S, False))
    )
    assert obeying.answered / obeying.sent >= storm.answered / storm.sent
    assert fleet.most_in_window() <= ALLOWED


def test_lost_owner_leaves_equal_parts(fleet: CapFleet) -> None:
    """Guards against no use, or too much use, until another owner acts."""
    fleet.play(2.0, 1.3 * RATE_PER_S, fleet.paths)
    owner = fleet.paths[0].usage_caps.node.owners.owner_of('lab')
    assert owner is not None
    fleet.cut_off(owner)
    others = [path for path in fleet.paths if path.vm != owner]
    tally = fleet.play(SPAN_S, 1.3 * RATE_PER_S, others)
    assert tally.answered >= 0.3 * RATE_PER_S * SPAN_S
    assert fleet.most_in_window() <= ALLOWED


def test_planned_stop_hands_the_bucket_over(fleet: CapFleet) -> None:
    """Guards against waiting for the tenure after each planned stop."""
    owner = fleet.paths[0].usage_caps.node.owners.owner_of('lab')
    assert owner is not None
    fleet.play(2.0, RATE_PER_S, fleet.paths)
    fleet.by_vm[owner].usage_caps.leave()
    fleet.run(0.2)
    others = [path for path in fleet.paths if path.vm != owner]
    for path in fleet.paths:
        path.cluster_view.remove_node(owner, fleet.loop.now_ms())
    tally = fleet.play(5.0, RATE_PER_S, others)
    assert tally.answered >= 0.7 * RATE_PER_S * 5
    assert fleet.most_in_window() <= ALLOWED


def test_lowered_cap_binds_after_one_window(fleet: CapFleet) -> None:
    """Guards against tokens and buckets of the cap before."""
    fleet.play(2.0, 1.3 * RATE_PER_S, fleet.paths)
    fleet.put_cap(3, RATE_PER_S / 4, 0.0)
    lowered_s = fleet.loop.time()
    fleet.play(SPAN_S, RATE_PER_S, fleet.paths)
    allowed = RATE_PER_S / 4 * 5 * 1.1
    assert fleet.most_in_window(lowered_s + 3) <= allowed


def test_refusal_tells_when_the_request_is_admitted(fleet: CapFleet) -> None:
    """Guards against 429 without a time, and against a late refusal."""
    path = _domain(fleet)[0]
    heads = [
        {
            'request_id': f'x-{number}',
            'headers': {'authorization': 'Token secret'},
        }
        for number in range(80)
    ]
    replies = path.ask_many(heads)
    refused = [reply for reply in replies if reply.status == 429]
    assert refused
    assert sum(reply.status == 200 for reply in replies) >= BURST
    for reply in refused:
        assert float(header(reply.headers, b'retry-after')) > 0


def test_request_that_did_not_run_gives_its_token_back(
    fleet: CapFleet,
) -> None:
    """Guards against use counted for requests that no target ran."""
    path = _domain(fleet)[0]
    fleet.targets.default = replace(SHED, after_s=WORK_S)
    reply = path.ask(headers={'authorization': 'Token secret'})
    assert reply.status == 503
    account = path.usage_caps.node.accounts['lab']
    assert account.in_hand(fleet.loop.now_ms()) == 1


def test_request_that_runs_twice_takes_two_tokens(fleet: CapFleet) -> None:
    """Guards against retries that add runs beyond the cap."""
    path = _domain(fleet)[0]
    fleet.targets.scripts = {
        target.registration.address: [LOST]
        for target in path.cluster_view.targets.values()
    }
    begin_s = fleet.loop.time()
    reply = path.ask(headers={'authorization': 'Token secret'})
    runs = sum(time_s >= begin_s for time_s in fleet.targets.arrivals_s)
    assert (reply.status, runs) == (502, 2)
    account = path.usage_caps.node.accounts['lab']
    assert account.used_count == 2


@pytest.mark.parametrize(('rejected_after_s', 'tokens'), [(0.05, 1), (0.7, 2)])
def test_request_that_is_sent_again_late_takes_a_new_token(
    fleet: CapFleet, rejected_after_s: float, tokens: int
) -> None:
    """Guards against tokens of one window that are used in a later one."""
    path = _domain(fleet)[0]
    rejection = replace(SHED, after_s=rejected_after_s)
    fleet.targets.scripts = {
        target.registration.address: [rejection]
        for target in path.cluster_view.targets.values()
    }
    reply = path.ask(headers={'authorization': 'Token secret'})
    account = path.usage_caps.node.accounts['lab']
    assert account.used_count == tokens
    assert reply.status == 503


def test_workspaces_without_a_cap_cost_nothing() -> None:
    """Guards against messages and timers of a feature that is not used."""
    fleet = CapFleet(2, 0.0, 0.0)
    fleet.run(3.0)
    tally = fleet.play(2.0, RATE_PER_S, fleet.paths)
    assert tally.answered == tally.sent
    assert not fleet.messages
    assert all(path.usage_caps._ticker is None for path in fleet.paths)
    fleet.loop.end()


def test_node_alone_grants_itself_without_a_message() -> None:
    """Guards against a node that waits for an answer of itself."""
    fleet = CapFleet(1, RATE_PER_S, BURST)
    fleet.run(SETTLE_S)
    tally = fleet.play(5.0, 0.8 * RATE_PER_S, fleet.paths)
    assert tally.answered >= 0.99 * tally.sent
    assert not fleet.messages
    fleet.loop.end()


def test_grant_for_an_unknown_workspace_is_ignored(fleet: CapFleet) -> None:
    """Guards against a peer with another configuration."""
    grant = messages.encode_grant(
        Grant(1, 1, 1, 500, 0, (Granted('removed', 3),))
    )
    caps = fleet.paths[0].usage_caps
    assert caps.on_event(Received('vm-1', grant))
    assert list(caps.node.accounts) == ['lab']


def test_plain_table_needs_no_keys() -> None:
    """Guards against caps that need workspaces where there are none."""
    path = Path()
    path.cluster_view.put_table(table(2))
    assert path.ask().status == 200
