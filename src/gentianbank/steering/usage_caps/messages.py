"""Messages about usage caps: columns for all workspaces of two nodes."""

from __future__ import annotations

from dataclasses import dataclass
import math
import struct
from typing import Any
from typing import TYPE_CHECKING

from gentianbank.control.messages import Message
from gentianbank.control.messages import register_message
from gentianbank.domain import schema
from gentianbank.policy.usage_caps import exchange

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

_SEPARATOR = b'\0'
_MAX_TIME_MS = 2**53
_MAX_DURATION_MS = 3_600_000
_WANT = struct.Struct('>HH')
_GRANTED = struct.Struct('>HH')
_LEVEL = struct.Struct('>f')
_MAX_COUNT = 2**16 - 1
# Sent in place of an age for parts that were not used.
_NO_AGE = 2**16 - 1


@register_message('cap-ask')
@dataclass(frozen=True, slots=True, kw_only=True)
class CapAsk(Message):
    """Asks an owner for tokens, see :class:`exchange.Ask`.

    Parameters
    ----------
    names
        Names of the workspaces. ``wants`` has the tokens and the age of the
        equal part's use for each, in the same order.
    """

    sent_ms: int = schema.integer(0, _MAX_TIME_MS)
    stamp_ms: int = schema.integer(0, _MAX_TIME_MS)
    digest: int = schema.integer(0, 2**48)
    uptime_ms: int = schema.integer(0, _MAX_TIME_MS)
    names: bytes = schema.binary()
    wants: bytes = schema.binary()


@register_message('cap-grant')
@dataclass(frozen=True, slots=True, kw_only=True)
class CapGrant(Message):
    """Answers a :class:`CapAsk`, see :class:`exchange.Grant`.

    Parameters
    ----------
    names
        Names of the workspaces. ``granted`` has the tokens and the wait for
        each, in the same order.
    inactive
        Names of the workspaces for which the owner does not act.
    """

    sent_ms: int = schema.integer(0, _MAX_TIME_MS)
    stamp_ms: int = schema.integer(0, _MAX_TIME_MS)
    digest: int = schema.integer(0, 2**48)
    valid_ms: int = schema.integer(0, _MAX_DURATION_MS)
    promise_ms: int = schema.integer(0, _MAX_DURATION_MS)
    names: bytes = schema.binary()
    granted: bytes = schema.binary()
    inactive: bytes = schema.binary()
    is_leaving: bool = schema.flag(default=False)


@register_message('cap-offer')
@dataclass(frozen=True, slots=True, kw_only=True)
class CapOffer(Message):
    """Offers buckets to the next owner, see :class:`exchange.Offer`."""

    names: bytes = schema.binary()
    is_leaving: bool = schema.flag()


@register_message('cap-claim')
@dataclass(frozen=True, slots=True, kw_only=True)
class CapClaim(Message):
    """Asks for offered buckets, see :class:`exchange.Claim`."""

    sent_ms: int = schema.integer(0, _MAX_TIME_MS)
    names: bytes = schema.binary()


@register_message('cap-handover')
@dataclass(frozen=True, slots=True, kw_only=True)
class CapHandover(Message):
    """Hands buckets over, see :class:`exchange.Handover`."""

    sent_ms: int = schema.integer(0, _MAX_TIME_MS)
    names: bytes = schema.binary()
    levels: bytes = schema.binary()


CapMessage = CapAsk | CapGrant | CapOffer | CapClaim | CapHandover


def encode_ask(ask: exchange.Ask) -> CapAsk:
    """Return the message of an ask.

    Times at the sender are rounded down, so that tokens never last longer.
    """
    return CapAsk(
        sent_ms=int(ask.sent_ms),
        stamp_ms=int(ask.stamp_ms),
        digest=ask.digest,
        uptime_ms=int(ask.uptime_ms),
        names=_join(want.workspace for want in ask.wants),
        wants=b''.join(
            _WANT.pack(
                min(_MAX_COUNT, want.tokens),
                _NO_AGE
                if want.part_age_ms is None
                else min(_NO_AGE - 1, int(want.part_age_ms)),
            )
            for want in ask.wants
        ),
    )


def decode_ask(message: CapAsk) -> exchange.Ask:
    """Return the ask of a message; malformed parts are left out."""
    rows = zip(
        _split(message.names), _unpack(_WANT, message.wants), strict=False
    )
    return exchange.Ask(
        message.sent_ms,
        message.stamp_ms,
        message.digest,
        message.uptime_ms,
        tuple(
            exchange.Want(name, tokens, None if age == _NO_AGE else age)
            for name, (tokens, age) in rows
        ),
    )


def encode_grant(grant: exchange.Grant) -> CapGrant:
    """Return the message of a grant."""
    return CapGrant(
        sent_ms=int(grant.sent_ms),
        stamp_ms=int(grant.stamp_ms),
        digest=grant.digest,
        valid_ms=int(grant.valid_ms),
        promise_ms=math.ceil(grant.promise_ms),
        names=_join(row.workspace for row in grant.granted),
        granted=b''.join(
            _GRANTED.pack(row.tokens, min(_MAX_COUNT, round(row.wait_ms)))
            for row in grant.granted
        ),
        inactive=_join(grant.inactive),
        is_leaving=grant.is_leaving,
    )


def decode_grant(message: CapGrant) -> exchange.Grant:
    """Return the grant of a message; malformed parts are left out."""
    rows = zip(
        _split(message.names), _unpack(_GRANTED, message.granted), strict=False
    )
    return exchange.Grant(
        message.sent_ms,
        message.stamp_ms,
        message.digest,
        message.valid_ms,
        message.promise_ms,
        tuple(
            exchange.Granted(name, tokens, wait_ms)
            for name, (tokens, wait_ms) in rows
        ),
        tuple(_split(message.inactive)),
        message.is_leaving,
    )


def encode_offer(offer: exchange.Offer) -> CapOffer:
    """Return the message of an offer."""
    return CapOffer(names=_join(offer.workspaces), is_leaving=offer.is_leaving)


def decode_offer(message: CapOffer) -> exchange.Offer:
    """Return the offer of a message."""
    return exchange.Offer(tuple(_split(message.names)), message.is_leaving)


def encode_claim(claim: exchange.Claim) -> CapClaim:
    """Return the message of a claim."""
    return CapClaim(sent_ms=int(claim.sent_ms), names=_join(claim.workspaces))


def decode_claim(message: CapClaim) -> exchange.Claim:
    """Return the claim of a message."""
    return exchange.Claim(message.sent_ms, tuple(_split(message.names)))


def encode_handover(handover: exchange.Handover) -> CapHandover:
    """Return the message of a handover."""
    return CapHandover(
        sent_ms=int(handover.sent_ms),
        names=_join(handover.levels),
        levels=b''.join(map(_LEVEL.pack, handover.levels.values())),
    )


def decode_handover(message: CapHandover) -> exchange.Handover:
    """Return the handover of a message; malformed parts are left out."""
    rows = zip(
        _split(message.names), _unpack(_LEVEL, message.levels), strict=False
    )
    # Also false for what is no number.
    levels = {name: level for name, (level,) in rows if 0 <= level < 1e9}
    return exchange.Handover(message.sent_ms, levels)


def _join(names: Iterable[str]) -> bytes:
    return _SEPARATOR.join(name.encode() for name in names)


def _split(joined: bytes) -> list[str]:
    if not joined:
        return []
    return joined.decode(errors='replace').split(_SEPARATOR.decode())


def _unpack(layout: struct.Struct, packed: bytes) -> Iterator[tuple[Any, ...]]:
    """Unpack entries; an incomplete one at the end is ignored."""
    whole_bytes = len(packed) - len(packed) % layout.size
    return layout.iter_unpack(packed[:whole_bytes])
