"""The message with what callers ask of a service."""

from __future__ import annotations

from dataclasses import replace
import math
import struct

from expression import Ok
import pytest

from gentianbank.control.messages import decode_message
from gentianbank.control.messages import encode_message
from gentianbank.policy.fair_shares.counts import NodeCounts
from gentianbank.policy.fair_shares.division import Asked
from gentianbank.policy.fair_shares.division import ClassKey
from gentianbank.steering.fair_shares.demand_update import ADDED_UP
from gentianbank.steering.fair_shares.demand_update import decode_counts
from gentianbank.steering.fair_shares.demand_update import encode_counts
from gentianbank.steering.fair_shares.demand_update import MAX_NAMED_CLASSES

LAB = ClassKey('lab', 0, 2)
PUBLIC = ClassKey('', 3, 1)


def test_counts_survive_the_wire() -> None:
    counts = NodeCounts(
        {LAB: Asked(1.5, 0.5), PUBLIC: Asked(2.0)}, 3.0, 0.25, True
    )
    update = encode_counts('desk', counts)
    assert decode_message(encode_message(update)) == Ok(update)
    assert decode_counts(update) == counts


def test_node_without_requests_reports_none() -> None:
    assert decode_counts(encode_counts('desk', NodeCounts())) == NodeCounts()


def test_small_classes_are_added_up_by_priority() -> None:
    # Thousands of workspaces would fill the smallest links.
    asked = {
        ClassKey(f'w{number}', number % 2, 1): Asked(1_000.0 - number)
        for number in range(MAX_NAMED_CLASSES + 100)
    }
    decoded = decode_counts(encode_counts('desk', NodeCounts(asked))).asked
    assert len(decoded) == MAX_NAMED_CLASSES + 2
    assert decoded[ClassKey(ADDED_UP, 0, 1)].classes == 50
    total_per_s = sum(item.per_s for item in asked.values())
    decoded_per_s = sum(item.per_s for item in decoded.values())
    assert decoded_per_s == pytest.approx(total_per_s, rel=1e-6)


def test_message_of_many_classes_is_small() -> None:
    asked = {ClassKey(f'w{n:020}', 1, 1): Asked(1.0) for n in range(5_000)}
    update = encode_counts('desk', NodeCounts(asked))
    assert len(encode_message(update)) < 3_000


@pytest.mark.parametrize('rate', [math.nan, math.inf, -1.0])
def test_figures_that_are_no_rates_are_left_out(rate: float) -> None:
    # A rate that is no number would spread to the shares of all classes.
    update = encode_counts('desk', NodeCounts({LAB: Asked(1.0)}))
    entries = struct.pack('>HHffH', 0, 2, rate, 0.0, 1)
    assert not decode_counts(replace(update, entries=entries)).asked


@pytest.mark.parametrize('cut', [1, 13, 14])
def test_incomplete_entries_are_left_out(cut: int) -> None:
    counts = NodeCounts({LAB: Asked(2.0), PUBLIC: Asked(1.0)})
    update = encode_counts('desk', counts)
    cut_update = replace(update, entries=update.entries[:-cut])
    assert decode_counts(cut_update).asked == {LAB: Asked(2.0)}
