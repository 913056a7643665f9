"""Message between nodes: what they know of the load of targets."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
import math
import struct
from typing import Any
from typing import TYPE_CHECKING

from gentianbank.control.messages import Message
from gentianbank.control.messages import register_message
from gentianbank.domain import schema
from gentianbank.policy.target_limit import LimitNews
from gentianbank.policy.target_pace import PaceNews

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianbank.policy.target_load import TargetLoad

# Larger numbers do not fit into the one byte that is sent.
MAX_IN_FLIGHT = 255
# A slowdown is sent as a number of steps of this size.
SLOWDOWN_STEP = 0.05
MAX_SLOWDOWN_STEPS = 255
NAME_SEPARATOR = b'\n'
_OBJECT_ENTRY = struct.Struct('>HI')
_LIMIT_ENTRY = struct.Struct('>HdI')
_COLD_ENTRY = struct.Struct('>HI')
_PACE_ENTRY = struct.Struct('>HfI')
# Sent in place of a limit or of an allowance that has ended.
_ENDED = -1.0
MAX_AGE_MS = 2**32 - 1
# Longer times for which a target is said to be cold are cut to this.
MAX_COLD_LEFT_MS = 600_000.0


@register_message('loads')
@dataclass(frozen=True, slots=True, kw_only=True)
class LoadUpdate(Message):
    """Message with the targets whose load changed at the sending node.

    Without targets it is a heartbeat.

    Parameters
    ----------
    targets
        Ids of the targets, separated by line feeds. ``in_flight`` and
        ``slowdowns`` have one byte for each target, in the same order.
    in_flight
        Requests that the sending node has in flight at the target, at most
        ``MAX_IN_FLIGHT``.
    slowdowns
        Slowdown in the newest load report, in steps of ``SLOWDOWN_STEP``;
        0 if there is no report since the last message.
    objects
        Objects of the requests sent to the targets since the last message,
        each as the index of the target and the hash of the object.
    limits
        Limits that targets name for all nodes together, each as the index
        of the target, the requests per second (negative: the limit has
        ended), and the time in milliseconds since the target said so.
    colds
        Targets that the sending node found to be cold after a restart, each
        as the index of the target and the time left in milliseconds.
    paces
        Targets under pace, each as the index of the target, the allowance
        (negative: the pace has ended), and the time in milliseconds since
        the pace started.
    """

    targets: bytes = schema.binary()
    in_flight: bytes = schema.binary()
    slowdowns: bytes = schema.binary()
    objects: bytes = schema.binary()
    limits: bytes = schema.binary(default=b'')
    colds: bytes = schema.binary(default=b'')
    paces: bytes = schema.binary(default=b'')


@dataclass(frozen=True, slots=True)
class TargetRow:
    """What a message says of one target.

    Parameters
    ----------
    cold_until_ms
        Time until which the target is cold; ``None`` if nothing is said.
    """

    target_id: str
    in_flight: int
    slowdown_steps: int
    objects: tuple[int, ...] = ()
    limit: LimitNews | None = None
    cold_until_ms: float | None = None
    pace: PaceNews | None = None


def build_row(target: TargetLoad | None, target_id: str) -> TargetRow:
    """Return what is sent about a target.

    Slowdown, objects, limit and coldness are included only if they are new
    since the last call.
    """
    if target is None:
        return TargetRow(target_id, 0, 0)
    report = target.pop_unsent_report()
    steps = 0
    if report is not None:
        steps = round(report.slowdown / SLOWDOWN_STEP)
        steps = max(1, min(MAX_SLOWDOWN_STEPS, steps))
    in_flight = min(MAX_IN_FLIGHT, target.in_flight)
    objects = tuple(target.pop_unsent_objects())
    limit = target.limit.pop_news()
    return TargetRow(
        target_id,
        in_flight,
        steps,
        objects,
        limit,
        target.pop_unsent_cold_ms(),
        target.pop_pace_news(),
    )


def encode_rows(rows: list[TargetRow], now_ms: float) -> LoadUpdate:
    """Return the message with some rows."""
    return LoadUpdate(
        targets=NAME_SEPARATOR.join(row.target_id.encode() for row in rows),
        in_flight=bytes(row.in_flight for row in rows),
        slowdowns=bytes(row.slowdown_steps for row in rows),
        objects=b''.join(
            _OBJECT_ENTRY.pack(index, object_hash)
            for index, row in enumerate(rows)
            for object_hash in row.objects
        ),
        limits=b''.join(
            _pack_limit(index, row.limit, now_ms)
            for index, row in enumerate(rows)
            if row.limit is not None
        ),
        colds=b''.join(
            _pack_cold(index, row.cold_until_ms, now_ms)
            for index, row in enumerate(rows)
            if row.cold_until_ms is not None
        ),
        paces=b''.join(
            _pack_pace(index, row.pace, now_ms)
            for index, row in enumerate(rows)
            if row.pace is not None
        ),
    )


def decode_rows(update: LoadUpdate, now_ms: float) -> list[TargetRow]:
    """Return the rows of a message; malformed parts are left out."""
    objects: defaultdict[int, list[int]] = defaultdict(list)
    for index, object_hash in _unpack(_OBJECT_ENTRY, update.objects):
        objects[index].append(object_hash)
    limits: dict[int, LimitNews] = {}
    for index, per_s, age_ms in _unpack(_LIMIT_ENTRY, update.limits):
        # Also false for what is no number.
        if per_s < math.inf:
            limit_per_s = None if per_s < 0 else per_s
            limits[index] = LimitNews(limit_per_s, now_ms - age_ms)
    colds = {
        index: now_ms + min(left_ms, MAX_COLD_LEFT_MS)
        for index, left_ms in _unpack(_COLD_ENTRY, update.colds)
    }
    paces: dict[int, PaceNews] = {}
    for index, allowance, age_ms in _unpack(_PACE_ENTRY, update.paces):
        # Also false for what is no number.
        if allowance < math.inf:
            paces[index] = PaceNews(
                None if allowance < 0 else allowance, now_ms - age_ms
            )
    rows = zip(
        _split_target_ids(update.targets),
        update.in_flight,
        update.slowdowns,
        strict=False,
    )
    return [
        TargetRow(
            target_id,
            in_flight,
            steps,
            tuple(objects[index]),
            limits.get(index),
            colds.get(index),
            paces.get(index),
        )
        for index, (target_id, in_flight, steps) in enumerate(rows)
    ]


def _pack_limit(index: int, news: LimitNews, now_ms: float) -> bytes:
    per_s = news.requests_per_s
    age_ms = min(MAX_AGE_MS, max(0, round(now_ms - news.heard_ms)))
    return _LIMIT_ENTRY.pack(index, _ENDED if per_s is None else per_s, age_ms)


def _pack_cold(index: int, cold_until_ms: float, now_ms: float) -> bytes:
    left_ms = min(MAX_COLD_LEFT_MS, max(0.0, cold_until_ms - now_ms))
    return _COLD_ENTRY.pack(index, round(left_ms))


def _pack_pace(index: int, news: PaceNews, now_ms: float) -> bytes:
    age_ms = min(MAX_AGE_MS, max(0, round(now_ms - news.started_ms)))
    allowance = _ENDED if news.allowance is None else news.allowance
    return _PACE_ENTRY.pack(index, allowance, age_ms)


def _split_target_ids(joined: bytes) -> list[str]:
    if not joined:
        return []
    return joined.decode(errors='replace').split(NAME_SEPARATOR.decode())


def _unpack(layout: struct.Struct, packed: bytes) -> Iterator[tuple[Any, ...]]:
    """Unpack entries; an incomplete one at the end is ignored."""
    whole_bytes = len(packed) - len(packed) % layout.size
    return layout.iter_unpack(packed[:whole_bytes])
