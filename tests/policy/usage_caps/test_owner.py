"""Tests of a node as owner, and of its tenure."""

from __future__ import annotations

import pytest

from gentianbank.policy.usage_caps.exchange import Ask
from gentianbank.policy.usage_caps.exchange import Claim
from gentianbank.policy.usage_caps.exchange import FleetView
from gentianbank.policy.usage_caps.exchange import Handover
from gentianbank.policy.usage_caps.exchange import Want
from gentianbank.policy.usage_caps.owner import CapOwner
from gentianbank.policy.usage_caps.owners import choose_owners
from gentianbank.policy.usage_caps.plan import Cap
from gentianbank.policy.usage_caps.plan import CapRule
from gentianbank.policy.usage_caps.plan import GRANT_MS
from gentianbank.policy.usage_caps.plan import TENURE_MS
from gentianbank.policy.usage_caps.tenure import Tenure

CAP = Cap(100, 100)
ALONE = frozenset({'vm-1'})
TICK_MS = 100.0


def _owner(*, first: bool = False) -> CapOwner:
    return CapOwner('vm-1', CapRule(), Tenure(0.0, first))


def _run(
    owner: CapOwner,
    from_ms: float,
    to_ms: float,
    nodes: frozenset[str] = ALONE,
    heard_ms: float | None = None,
    promising: tuple[str, ...] = ('vm-1',),
    name: str = 'lab',
) -> None:
    """Let time pass; some nodes renew their promises with each tick."""
    now_ms = from_ms
    while now_ms <= to_ms:
        heard = now_ms if heard_ms is None else heard_ms
        owner.update(FleetView(nodes, nodes, heard), {name: CAP}, now_ms)
        for vm in promising:
            owner.on_ask(vm, _promise(owner, now_ms), now_ms)
        now_ms += TICK_MS


def _promise(owner: CapOwner, now_ms: float) -> Ask:
    return Ask(now_ms, now_ms, owner.owners.digest, 1e9)


def _workspace_of(vm: str, nodes: frozenset[str]) -> str:
    owners = choose_owners(nodes)
    names = (f'w-{number}' for number in range(100))
    return next(name for name in names if owners.owner_of(name) == vm)


def _ask(
    owner: CapOwner, now_ms: float, tokens: int = 10_000, name: str = 'lab'
) -> int:
    ask = Ask(now_ms, 0.0, owner.owners.digest, 1e9, (Want(name, tokens),))
    grant = owner.on_ask('vm-1', ask, now_ms)
    return sum(row.tokens for row in grant.granted)


def test_owner_waits_and_starts_empty() -> None:
    """Guards against a burst that is granted again after a restart."""
    owner = _owner()
    _run(owner, 0.0, TENURE_MS + GRANT_MS - TICK_MS)
    assert not owner.is_active('lab', TENURE_MS + GRANT_MS - TICK_MS)
    _run(owner, TENURE_MS + GRANT_MS, TENURE_MS + GRANT_MS)
    assert owner.is_active('lab', TENURE_MS + GRANT_MS)
    assert _ask(owner, TENURE_MS + GRANT_MS) == 0


def test_first_start_has_the_burst_after_a_short_wait() -> None:
    owner = _owner(first=True)
    _run(owner, 0.0, 2_000.0)
    assert _ask(owner, 2_000.0) == 50


def test_owner_stops_when_the_store_is_silent() -> None:
    """Guards against two owners while one is cut off from the store."""
    owner = _owner()
    _run(owner, 0.0, 8_000.0)
    _run(owner, 8_100.0, 8_000.0 + TENURE_MS, heard_ms=8_000.0)
    assert not owner.is_active('lab', 8_000.0 + TENURE_MS)


def test_frozen_owner_grants_nothing_when_it_wakes() -> None:
    """Guards against grants before the wake-up is noticed by a tick."""
    owner = _owner()
    _run(owner, 0.0, 8_000.0)
    assert _ask(owner, 8_000.0, 1) == 1
    assert _ask(owner, 60_000.0) == 0


def test_parts_of_silent_members_are_held_back() -> None:
    """Guards against equal parts that come on top of the cap."""
    pair = frozenset({'vm-1', 'vm-2'})
    name = _workspace_of('vm-1', pair)
    granted = []
    # Shortly after the owner acts, before its bucket is full.
    end_ms = TENURE_MS + GRANT_MS + 500.0
    for promising in (('vm-1', 'vm-2'), ('vm-1',)):
        owner = _owner()
        _run(owner, 0.0, end_ms, pair, promising=promising, name=name)
        granted.append(_ask(owner, end_ms, name=name))
    assert 0 < granted[1] <= granted[0] / 2 + 1


@pytest.mark.parametrize(('age_ms', 'acts'), [(100.0, True), (600.0, False)])
def test_only_a_fresh_handover_counts(age_ms: float, acts: bool) -> None:
    """Guards against a second owner from a handover that was delayed."""
    owner = _owner()
    _run(owner, 0.0, 1_000.0)
    handover = Handover(1_000.0, {'lab': 7.0})
    owner.on_handover('vm-2', handover, 1_000.0 + age_ms)
    assert owner.is_active('lab', 1_000.0 + age_ms) is acts


def test_bucket_is_handed_over_once() -> None:
    """Guards against a bucket that two nodes get."""
    pair = frozenset({'vm-1', 'vm-2'})
    name = _workspace_of('vm-1', pair)
    owner = _owner()
    _run(owner, 0.0, 8_000.0, pair, name=name)
    offer = owner.leave(8_100.0)['vm-2']
    assert offer.is_leaving
    claim = Claim(8_100.0, offer.workspaces)
    assert name in owner.on_claim('vm-2', claim, 8_150.0).levels
    assert not owner.on_claim('vm-2', claim, 8_160.0).levels
    assert not owner.is_active(name, 8_200.0)
