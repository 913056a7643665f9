"""Message between nodes: what callers ask of a service that is short."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
import math
import struct

from gentianbank.control.messages import Message
from gentianbank.control.messages import register_message
from gentianbank.domain import schema
from gentianbank.policy.fair_shares.counts import NodeCounts
from gentianbank.policy.fair_shares.division import Asked
from gentianbank.policy.fair_shares.division import ClassKey

# The largest classes are named. With 40 peers a message a second of this
# size takes 0.6 Mbit/s; the smallest links have 5.
MAX_NAMED_CLASSES = 64
NAME_SEPARATOR = '\n'
# Stands for the classes that are added up; no workspace has this name.
ADDED_UP = '*'
MAX_RATE_PER_S = 1e9
_MAX_SHORT = 2**16 - 1
_ENTRY = struct.Struct('>HHffH')


@register_message('service-demand')
@dataclass(frozen=True, slots=True, kw_only=True)
class DemandUpdate(Message):
    """Message with a node's counts of one service.

    Parameters
    ----------
    names
        Names of the workspaces, separated by line feeds.
    entries
        For each name: priority of the workspace and of the route, requests
        per second of new and of returning callers, and the number of classes
        that are added up.
    """

    service: str = schema.text()
    answered_per_s: float = schema.number(0, MAX_RATE_PER_S)
    refused_per_s: float = schema.number(0, MAX_RATE_PER_S)
    is_short: bool = schema.flag()
    names: bytes = schema.binary()
    entries: bytes = schema.binary()


def encode_counts(service: str, counts: NodeCounts) -> DemandUpdate:
    """Return the message with the counts of a service."""
    rows = _named_rows(counts.asked)
    return DemandUpdate(
        service=service,
        answered_per_s=min(MAX_RATE_PER_S, counts.answered_per_s),
        refused_per_s=min(MAX_RATE_PER_S, counts.refused_per_s),
        is_short=counts.is_short,
        names=NAME_SEPARATOR.join(key.workspace for key in rows).encode(),
        entries=b''.join(_pack(key, asked) for key, asked in rows.items()),
    )


def decode_counts(update: DemandUpdate) -> NodeCounts:
    """Return the counts of a message; malformed entries are left out."""
    names = update.names.decode(errors='replace').split(NAME_SEPARATOR)
    whole_bytes = len(update.entries) - len(update.entries) % _ENTRY.size
    entries = _ENTRY.iter_unpack(update.entries[:whole_bytes])
    asked = {}
    for name, entry in zip(names, entries, strict=False):
        priority, route_priority, new_per_s, returning_per_s, classes = entry
        if _is_rate(new_per_s) and _is_rate(returning_per_s) and classes:
            key = ClassKey(name, priority, route_priority)
            asked[key] = Asked(new_per_s, returning_per_s, classes)
    return NodeCounts(
        asked, update.answered_per_s, update.refused_per_s, update.is_short
    )


def _named_rows(asked: dict[ClassKey, Asked]) -> dict[ClassKey, Asked]:
    """Return the largest classes, and the sums of the others by priority."""
    largest = sorted(asked, key=lambda key: -asked[key].per_s)
    named = [key for key in largest if NAME_SEPARATOR not in key.workspace]
    rows = {key: asked[key] for key in named[:MAX_NAMED_CLASSES]}
    others: defaultdict[ClassKey, list[Asked]] = defaultdict(list)
    for key in asked.keys() - rows.keys():
        added = ClassKey(ADDED_UP, key.priority, key.route_priority)
        others[added].append(asked[key])
    for key, items in others.items():
        rows[key] = Asked(
            sum(item.new_per_s for item in items),
            sum(item.returning_per_s for item in items),
            len(items),
        )
    return rows


def _pack(key: ClassKey, asked: Asked) -> bytes:
    return _ENTRY.pack(
        min(_MAX_SHORT, key.priority),
        min(_MAX_SHORT, key.route_priority),
        min(MAX_RATE_PER_S, asked.new_per_s),
        min(MAX_RATE_PER_S, asked.returning_per_s),
        min(_MAX_SHORT, asked.classes),
    )


def _is_rate(value: float) -> bool:
    return math.isfinite(value) and 0 <= value <= MAX_RATE_PER_S
