"""Building of the messages that a follower sends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianbank.steering.store_following.catch_up import encode_changes
from gentianbank.steering.store_following.catch_up import first_answer
from gentianbank.steering.store_following.messages import StoreUpdate

if TYPE_CHECKING:
    from gentianbank.steering.store_following.store_sync import StoreSync


def build_updates(
    sync: StoreSync,
    after_revision: int,
    *,
    confirmed_ms: float,
    sent_ms: float,
    is_reachable: bool,
) -> list[StoreUpdate]:
    """Return the changes after a revision, in as many messages as needed.

    There is always at least one message. Without changes, or if they are no
    longer held, it only tells the state of the follower's view.

    Parameters
    ----------
    confirmed_ms, sent_ms, is_reachable
        See ``StoreUpdate``.
    """
    changes = sync.changes_after(after_revision)
    held = sync.revision
    events = changes.events if changes else ()
    after = after_revision if changes and after_revision <= held else held
    updates = []
    while True:
        part = first_answer(events)
        events = events[len(part) :]
        revision = part[-1].mod_revision if events else held
        updates.append(
            StoreUpdate(
                oldest_revision=sync.oldest_revision,
                after_revision=after,
                revision=revision,
                held_revision=held,
                confirmed_ms=confirmed_ms,
                sent_ms=sent_ms,
                is_reachable=is_reachable,
                changes=encode_changes(part),
            )
        )
        after = revision
        if not events:
            return updates
