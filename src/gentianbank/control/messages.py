"""Messages between nodes: CBOR-encoded and validated on receipt."""

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
from gentianbank.domain.errors import show
from gentianbank.domain.member import Member

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
_BODY_NAME_PATTERN = r'[a-z0-9/-]{1,100}'
_DIGEST_PATTERN = r'[0-9a-f]{32}'
_MAX_COUNT = 2**53
_UNDECODABLE = (
    cbor2.CBORDecodeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)

T = TypeVar('T')
MESSAGE_TYPE_BY_KIND: dict[str, type[Message]] = {}


@dataclass(frozen=True, slots=True)
class UnknownMessage(InvalidDocument):
    """A message of a kind that only a newer version knows."""


class Message:
    """Base class of all messages between nodes."""

    __slots__ = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestOrReply(Message):
    """A request or reply; a reply carries the id of its request.

    The id is unique on one connection only.
    """

    request_id: int = schema.integer(0, _MAX_COUNT)


def register_message(kind: str) -> Callable[[type[T]], type[T]]:
    """Return a decorator that registers a message class.

    Parameters
    ----------
    kind
        Name of the message on the wire.
    """

    def register(message: type[T]) -> type[T]:
        assert issubclass(message, Message)
        MESSAGE_TYPE_BY_KIND[kind] = message
        _KIND_BY_TYPE[message] = kind
        return message

    return register


_KIND_BY_TYPE: dict[type, str] = {}


@register_message('heartbeat')
@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat(Message):
    """Tells a peer the revision in force and the digest of the members.

    Sent to every connected peer once per heartbeat interval.
    """

    revision: int = schema.integer(0, _MAX_COUNT)
    members_digest: int = schema.integer(0, 2**64)


@register_message('goodbye')
@dataclass(frozen=True, slots=True, kw_only=True)
class Goodbye(Message):
    """Announces that the sender closes the connection on purpose.

    The receiver then does not suspect the sender of a failure.
    """


@register_message('records')
@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecords(Message):
    """Member records, which the receiver merges into its table."""

    members: tuple[Member, ...] = schema.sequence(Member)


@dataclass(frozen=True, slots=True, kw_only=True)
class RegionDigest:
    """Digest of the member records of one region."""

    region: str = schema.name()
    digest: int = schema.integer(0, 2**64)


@register_message('region-digests')
@dataclass(frozen=True, slots=True, kw_only=True)
class RegionDigests(Message):
    """Digests of the sender's member records, one for each region.

    The receiver replies with its records of the regions that differ.
    """

    digests: tuple[RegionDigest, ...] = schema.sequence(RegionDigest)


@register_message('revision-request')
@dataclass(frozen=True, slots=True, kw_only=True)
class RevisionRequest(Message):
    """Asks for the change sets after a revision; 0 if none is held."""

    held_revision: int = schema.integer(0, _MAX_COUNT)


@register_message('change-set')
@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeSet(Message):
    """The difference between a revision and an earlier one.

    Parameters
    ----------
    base_revision
        The earlier revision; 0 if the change set is complete by itself.
    digests
        Digest of each body that was added or changed, by body name.
    removed
        Names of the bodies that were removed.
    bodies
        Bodies by digest. Large ones may be left out; the receiver asks
        for them with a :class:`BodyRequest`.
    """

    base_revision: int = schema.integer(0, _MAX_COUNT)
    revision: int = schema.integer(1, _MAX_COUNT)
    digests: dict[str, str] = schema.mapping(
        str, _BODY_NAME_PATTERN, _DIGEST_PATTERN
    )
    removed: tuple[str, ...] = schema.sequence(str, _BODY_NAME_PATTERN)
    bodies: dict[str, bytes] = schema.mapping(bytes, _DIGEST_PATTERN)


@register_message('body-request')
@dataclass(frozen=True, slots=True, kw_only=True)
class BodyRequest(Message):
    """Asks for configuration bodies by their digests."""

    digests: tuple[str, ...] = schema.sequence(str, _DIGEST_PATTERN)


@register_message('bodies')
@dataclass(frozen=True, slots=True, kw_only=True)
class Bodies(Message):
    """Configuration bodies by digest; answers a :class:`BodyRequest`."""

    bodies: dict[str, bytes] = schema.mapping(bytes, _DIGEST_PATTERN)


@dataclass(frozen=True, slots=True, kw_only=True)
class WireHeader:
    """One header of an answer that is retained for its request key."""

    name: str = schema.text(r'[!-~]{1,200}')
    value: str = schema.text(r'(?s).{0,8192}')


@dataclass(frozen=True, slots=True, kw_only=True)
class WireOutcome:
    """Wire form of the outcome of a request.

    Parameters
    ----------
    kind
        ``pending`` while a request with the key is in flight; ``mismatch``
        if the key was used before for a different request.
    status, headers, body
        The answer, if ``kind`` is ``answered``.
    has_body
        False if the body was too large to be retained.
    """

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
class OutcomeRequest(RequestOrReply):
    """Asks the node that owns a request key for the outcome.

    Parameters
    ----------
    fingerprint
        Digest of the request; a retry with the same key must match it.
    """

    service: str = schema.name()
    key: str = schema.text(r'[!-~]{1,200}')
    fingerprint: str = schema.text()


@register_message('outcome-reply')
@dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeReply(RequestOrReply):
    """Answers an :class:`OutcomeRequest`."""

    outcome: WireOutcome = schema.nested(WireOutcome)


@dataclass(frozen=True, slots=True, kw_only=True)
class HandedOverOutcome:
    """One outcome in a :class:`Handover`."""

    service: str = schema.name()
    key: str = schema.text(r'[!-~]{1,200}')
    fingerprint: str = schema.text()
    outcome: WireOutcome = schema.nested(WireOutcome)


@register_message('handover')
@dataclass(frozen=True, slots=True, kw_only=True)
class Handover(RequestOrReply):
    """A batch of the outcomes of a node that shuts down gracefully.

    Parameters
    ----------
    incarnation
        Incarnation that owns the outcomes.
    oldest_epoch
        Oldest epoch whose outcomes are still held.
    last
        No batch follows this one.
    """

    incarnation: str = schema.text(r'[0-9a-f]{16}')
    oldest_epoch: int = schema.integer(0, _MAX_COUNT)
    last: bool = schema.flag()
    outcomes: tuple[HandedOverOutcome, ...] = schema.sequence(
        HandedOverOutcome
    )


@register_message('handover-reply')
@dataclass(frozen=True, slots=True, kw_only=True)
class HandoverReply(RequestOrReply):
    """Confirms that a batch of outcomes was taken over."""


@register_message('loan-request')
@dataclass(frozen=True, slots=True, kw_only=True)
class LoanRequest(RequestOrReply):
    """Asks a region's keeper to lend a part of a budget.

    Parameters
    ----------
    budget
        Name of a region or link.
    wanted
        Amount beyond the sender's floor: requests in flight for a region,
        bytes per second for a link.
    """

    budget: str = schema.text()
    wanted: float = schema.number(0, 1e15)


@register_message('loan-reply')
@dataclass(frozen=True, slots=True, kw_only=True)
class LoanReply(RequestOrReply):
    """Answers a :class:`LoanRequest`; the amount is 0 if refused."""

    amount: float = schema.number(0, 1e15)


def encode_message(message: Message) -> bytes:
    """Encode a message as a CBOR array of its kind and field values.

    The values stand in the order of the fields, without their names.
    """
    values = list(schema.dump(message).values())
    return cbor2.dumps([_KIND_BY_TYPE[type(message)], values])


def decode_message(data: bytes) -> Result[Message, InvalidDocument]:
    """Decode and validate a message received from a peer.

    Values and fields that a newer version has added are ignored.
    """
    try:
        kind, values = cbor2.loads(data)
        if isinstance(kind, str) and kind not in MESSAGE_TYPE_BY_KIND:
            cause = FieldError('(message)', f'unknown kind {kind[:50]!r}')
            return Error(UnknownMessage('peer', (cause,)))
        message = MESSAGE_TYPE_BY_KIND[kind]
        names = schema.field_names(message)
        raw: dict[str, Any] = dict(zip(names, values, strict=False))
    except _UNDECODABLE as error:
        cause = FieldError('(message)', show(error))
        return Error(InvalidDocument('peer', (cause,)))
    return schema.read(message, raw, f'message {kind}', ignore_unknown=True)
