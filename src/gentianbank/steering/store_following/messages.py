"""Messages between followers of the store and the nodes of their region."""

from __future__ import annotations

from dataclasses import dataclass

from gentianbank.control.messages import Message
from gentianbank.control.messages import register_message
from gentianbank.domain import schema
from gentianbank.steering.store_following.catch_up import StoreChange

_MAX_REVISION = 2**53
_MAX_MS = 1e15


@register_message('store-update')
@dataclass(frozen=True, slots=True, kw_only=True)
class StoreUpdate(Message):
    """Changes of the store, and until when a follower's view is current.

    Parameters
    ----------
    era
        Era of the store that all revisions are of.
    oldest_revision
        The follower holds all changes after this revision.
    after_revision, revision
        The message contains all changes after the one up to the other.
    held_revision
        Revision of the follower's view.
    confirmed_ms, sent_ms
        When the view was last known to be current, and when the message was
        sent, on the follower's clock, which counts suspended time.
    is_reachable
        Whether the store answered the follower's last call.
    echo_ms
        ``asked_ms`` of the request that is answered; 0 if there is none.
    """

    era: int = schema.integer(0, _MAX_REVISION, default=0)
    oldest_revision: int = schema.integer(0, _MAX_REVISION)
    after_revision: int = schema.integer(0, _MAX_REVISION)
    revision: int = schema.integer(0, _MAX_REVISION)
    held_revision: int = schema.integer(0, _MAX_REVISION)
    confirmed_ms: float = schema.number(0, _MAX_MS)
    sent_ms: float = schema.number(0, _MAX_MS)
    is_reachable: bool = schema.flag()
    echo_ms: float = schema.number(0, _MAX_MS, default=0.0)
    changes: tuple[StoreChange, ...] = schema.sequence(StoreChange)


@register_message('store-update-request')
@dataclass(frozen=True, slots=True, kw_only=True)
class StoreUpdateRequest(Message):
    """Asks a follower for the changes after a revision, and for its clock.

    Parameters
    ----------
    era
        Era of the store that the revision is of.
    asked_ms
        Time on the clock of the node that asks, suspended time counted.
    """

    era: int = schema.integer(0, _MAX_REVISION, default=0)
    after_revision: int = schema.integer(0, _MAX_REVISION)
    asked_ms: float = schema.number(0, _MAX_MS)
