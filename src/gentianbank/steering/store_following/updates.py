"""Building of the messages that a follower sends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianbank.steering.store_following.catch_up import encode_changes
from gentianbank.steering.store_following.catch_up import first_answer
from gentianbank.steering.store_following.catch_up import is_large
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
    echo_ms: float = 0.0,
) -> list[StoreUpdate]:
    """Return the changes after a revision, in as many messages as needed.

    There is always at least one message. Without changes, or if they are no
    longer held, it only tells the state of the follower's view. Changes up to
    the last large one count as not held, so that nodes read them themselves:
    a configuration of hundreds of routes, sent to a dozen nodes, would fill a
    link of 5 Mbit/s for seconds and hold up the follower's own requests.

    Parameters
    ----------
    confirmed_ms, sent_ms, is_reachable, echo_ms
        See ``StoreUpdate``.
    """
    changes = sync.changes_after(after_revision)
    held = sync.revision
    events = changes.events if changes else ()
    after = after_revision if changes and after_revision <= held else held
    large = max((e.mod_revision for e in events if is_large(e)), default=0)
    if large:
        events = tuple(e for e in events if e.mod_revision > large)
        after = large
    updates = []
    while True:
        part = first_answer(events)
        events = events[len(part) :]
        revision = part[-1].mod_revision if events else held
        updates.append(
            StoreUpdate(
                era=sync.era,
                oldest_revision=max(sync.oldest_revision, large),
                after_revision=after,
                revision=revision,
                held_revision=held,
                confirmed_ms=confirmed_ms,
                sent_ms=sent_ms,
                is_reachable=is_reachable,
                echo_ms=echo_ms,
                changes=encode_changes(part),
            )
        )
        after = revision
        if not events:
            return updates
