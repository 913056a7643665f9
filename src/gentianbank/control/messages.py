"""Messages between nodes, checked on receipt and carried as CBOR."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import cbor2
from expression import Error
from expression import Result

from gentianbank.domain import schema
from gentianbank.domain.errors import FieldError
from gentianbank.domain.errors import InvalidDocument
from gentianbank.domain.member import Member

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
_BODY_NAME = r'[a-z0-9/-]{1,100}'
_DIGEST = r'[0-9a-f]{32}'
_COUNT = 2**53

T = TypeVar('T')
MESSAGES: dict[str, type[Message]] = {}


class Message:
    """Base of the messages."""

    __slots__ = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Numbered(Message):
    """A request or reply; a reply bears the number of its request."""

    request_id: int = schema.integer(0, _COUNT)


def register_message(kind: str) -> Callable[[type[T]], type[T]]:
    """Register a message class under its name on the wire."""

    def register(message: type[T]) -> type[T]:
        assert issubclass(message, Message)
        MESSAGES[kind] = message
        _KINDS[message] = kind
        return message

    return register


_KINDS: dict[type, str] = {}


@register_message('heartbeat')
@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat(Message):
    """Sent on every connection each period."""

    revision: int = schema.integer(0, _COUNT)
    members_digest: int = schema.integer(0, 2**64)


@register_message('goodbye')
@dataclass(frozen=True, slots=True, kw_only=True)
class Goodbye(Message):
    """Sent before a connection is given up on purpose."""


@register_message('records')
@dataclass(frozen=True, slots=True, kw_only=True)
class Records(Message):
    """Member records, to be merged."""

    members: tuple[Member, ...] = schema.sequence(Member)


@dataclass(frozen=True, slots=True, kw_only=True)
class RegionDigest:
    """Digest of the member records of one region."""

    region: str = schema.name()
    digest: int = schema.integer(0, 2**64)


@register_message('region-digests')
@dataclass(frozen=True, slots=True, kw_only=True)
class RegionDigests(Message):
    """Asks for the records of the regions whose digests differ."""

    digests: tuple[RegionDigest, ...] = schema.sequence(RegionDigest)


@register_message('revision-request')
@dataclass(frozen=True, slots=True, kw_only=True)
class RevisionRequest(Message):
    """Asks for what came after a revision."""

    held_revision: int = schema.integer(0, _COUNT)


@register_message('change-set')
@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeSet(Message):
    """What a revision changes against a base, 0 for everything.

    Parameters
    ----------
    digests
        Digest of each body that was added or changed.
    bodies
        Bodies by digest; those left out are asked for.
    """

    base_revision: int = schema.integer(0, _COUNT)
    revision: int = schema.integer(1, _COUNT)
    digests: dict[str, str] = schema.mapping(str, _BODY_NAME, _DIGEST)
    removed: tuple[str, ...] = schema.sequence(str, _BODY_NAME)
    bodies: dict[str, bytes] = schema.mapping(bytes, _DIGEST)


@register_message('body-request')
@dataclass(frozen=True, slots=True, kw_only=True)
class BodyRequest(Message):
    """Asks for bodies by their digests."""

    digests: tuple[str, ...] = schema.sequence(str, _DIGEST)


@register_message('bodies')
@dataclass(frozen=True, slots=True, kw_only=True)
class Bodies(Message):
    """Bodies by digest."""

    bodies: dict[str, bytes] = schema.mapping(bytes, _DIGEST)


@dataclass(frozen=True, slots=True, kw_only=True)
class WireHeader:
    """One header of a retained answer."""

    name: str = schema.text(r'[!-~]{1,200}')
    value: str = schema.text(r'(?s).{0,8192}')


@dataclass(frozen=True, slots=True, kw_only=True)
class WireOutcome:
    """An outcome as it travels between nodes."""

    kind: str = schema.text(
        choices=('answered', 'not-run', 'unknown', 'pending', 'mismatch')
    )
    cause: str = schema.text(r'(?s).{0,1000}', default='')
    status: int = schema.integer(0, 999, default=0)
    headers: tuple[WireHeader, ...] = schema.sequence(WireHeader, default=())
    body: bytes = schema.binary(default=b'')
    has_body: bool = schema.flag(default=False)


@register_message('outcome-request')
@dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeRequest(Numbered):
    """Asks the owner of a key what became of it."""

    service: str = schema.name()
    key: str = schema.text(r'[!-~]{1,200}')
    fingerprint: str = schema.text()


@register_message('outcome-reply')
@dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeReply(Numbered):
    """Answers an :class:`OutcomeRequest`."""

    outcome: WireOutcome = schema.nested(WireOutcome)


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldOutcome:
    """One outcome that is handed over at a planned stop."""

    service: str = schema.name()
    key: str = schema.text(r'[!-~]{1,200}')
    fingerprint: str = schema.text()
    outcome: WireOutcome = schema.nested(WireOutcome)


@register_message('handover')
@dataclass(frozen=True, slots=True, kw_only=True)
class Handover(Numbered):
    """Outcomes of an incarnation that stops as planned, in batches."""

    incarnation: str = schema.text(r'[0-9a-f]{16}')
    oldest_epoch: int = schema.integer(0, _COUNT)
    last: bool = schema.flag()
    outcomes: tuple[HeldOutcome, ...] = schema.sequence(HeldOutcome)


@register_message('handover-reply')
@dataclass(frozen=True, slots=True, kw_only=True)
class HandoverReply(Numbered):
    """Tells that the outcomes were taken over."""


@register_message('loan-request')
@dataclass(frozen=True, slots=True, kw_only=True)
class LoanRequest(Numbered):
    """Asks the keeper of a region for a part of a budget."""

    budget: str = schema.text()
    wanted: float = schema.number(0, 1e15)


@register_message('loan-reply')
@dataclass(frozen=True, slots=True, kw_only=True)
class LoanReply(Numbered):
    """Answers a :class:`LoanRequest`."""

    amount: float = schema.number(0, 1e15)


def encode_message(message: Message) -> bytes:
    """Return the CBOR form: the kind, then the fields in their order."""
    values = list(schema.dump(message).values())
    return cbor2.dumps([_KINDS[type(message)], values])


def decode_message(data: bytes) -> Result[Message, InvalidDocument]:
    """Check bytes from a peer and return the message they hold."""
    try:
        kind, values = cbor2.loads(data)
        message = MESSAGES[kind]
        names = schema.field_names(message)
        raw: dict[str, Any] = dict(zip(names, values, strict=True))
    except (cbor2.CBORDecodeError, KeyError, TypeError, ValueError) as error:
        cause = FieldError('(message)', f'{type(error).__name__}: {error}')
        return Error(InvalidDocument('peer', (cause,)))
    return schema.read(message, raw, f'message {kind}')
