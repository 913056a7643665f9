"""Tests of change sets between revisions of the configuration."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from gentianbank.control.assembly import ChangeLog
from gentianbank.control.assembly import RevisionAssembly
from gentianbank.control.messages import encode_message
from gentianbank.domain import revision as revisions
from gentianbank.domain.client_map import build_client_map
from gentianbank.domain.revision import Head
from gentianbank.domain.revision import Snapshot
from tests.support.world import build_configuration

CONFIGURATION = build_configuration()
NO_CLIENTS = build_client_map([])
LARGE_BYTES = 200_000

Bodies = dict[str, bytes]
revisions_of_bodies = st.lists(
    st.dictionaries(st.sampled_from('abcd'), st.binary(max_size=3)),
    min_size=2,
    max_size=8,
)


def build_snapshot(revision: int, bodies: Bodies) -> Snapshot:
    digests = {name: revisions.digest(body) for name, body in bodies.items()}
    head = Head(revision, digests)
    return Snapshot(revision, head, bodies, CONFIGURATION, NO_CLIENTS)


def build_log(versions: list[Bodies]) -> tuple[ChangeLog, list[Snapshot]]:
    log = ChangeLog()
    snapshots = [build_snapshot(n, b) for n, b in enumerate(versions, start=1)]
    for old, new in itertools.pairwise(snapshots):
        log.append(old, new)
    return log, snapshots


@given(versions=revisions_of_bodies, held=st.integers(0, 7))
def test_change_set_leads_from_any_revision_to_the_last(
    versions: list[Bodies], held: int
) -> None:
    log, snapshots = build_log(versions)
    base = snapshots[min(held, len(snapshots) - 1)]
    last = snapshots[-1]
    change = log.since(base.revision, last)
    assembly = RevisionAssembly.from_change_set(change, base, None)
    assert assembly is not None
    assert not assembly.missing
    assert assembly.bodies() == last.bodies


def test_change_set_over_many_revisions_has_the_newest_bodies_only() -> None:
    # A peer that was behind got each version of a large body.
    versions = [{'a': bytes([n]) * LARGE_BYTES} for n in range(30)]
    log, snapshots = build_log(versions)
    change = log.since(1, snapshots[-1])
    assert len(encode_message(change)) < 2 * LARGE_BYTES
