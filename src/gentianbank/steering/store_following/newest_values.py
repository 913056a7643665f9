"""Reading of changes without the versions that others have replaced.

It answers many versions of a large value within a short time: a watch brings
each of them, while only the newest one counts.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.domain.errors import StoreUnavailable
from gentianbank.platform import keyspace
from gentianbank.platform.documents import OPERATOR_PREFIX
from gentianbank.storage.prefix_store import Changes
from gentianbank.storage.prefix_store import HistoryCompacted
from gentianbank.storage.prefix_store import Removal

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

    from gentianbank.storage.prefix_store import Listing
    from gentianbank.storage.prefix_store import PrefixStore
    from gentianbank.storage.prefix_store import WatchError
    from gentianbank.storage.store import StoredValue

# What changes of small values may take in one answer.
SMALL_CHANGES_BYTES = 128 * 1024
# The changes have happened already.
_NO_WAIT_MS = 1


def max_changes_bytes(largest_value_bytes: int) -> int:
    """Return the largest answer of a watch that is worth reading.

    It has room for one version of the largest value, in base64; two of them
    take longer than the calls that bring the newest one alone.
    """
    return SMALL_CHANGES_BYTES + largest_value_bytes * 4 // 3


async def read_newest(
    store: PrefixStore,
    after_revision: int,
    possible_keys: Callable[[], Collection[str]],
) -> Result[Changes, WatchError]:
    """Return the changes after a revision, with the newest values only.

    The operator's keys are listed. All others have small values, so their
    changes are read one by one.

    Parameters
    ----------
    possible_keys
        Returns the removable keys of the operator that this copy, or that
        of a peer, may have. It is called after the reads, as the copy may
        get changes from peers meanwhile.
    """
    match await store.list_prefix(OPERATOR_PREFIX):
        case Result(tag='ok', ok=listing):
            pass
        case Result(error=error):
            return Error(error)
    if listing.revision < after_revision:
        # The store was restored from an older copy.
        return Error(HistoryCompacted())
    if listing.revision == after_revision:
        return Error(StoreUnavailable('a listing is older than changes'))
    answers = await asyncio.gather(
        *(
            store.wait_for_changes(prefix, after_revision, _NO_WAIT_MS)
            for prefix in keyspace.ENTRY_PREFIXES
        )
    )
    others: list[Changes] = []
    for answer in answers:
        match answer:
            case Result(tag='ok', ok=changes):
                others.append(changes)
            case Result(error=failure):
                return Error(failure)
    if any(changes.era != listing.era for changes in others):
        return Error(HistoryCompacted())
    if any(changes.revision < listing.revision for changes in others):
        return Error(StoreUnavailable('changes are older than a listing'))
    return Ok(merge(listing, possible_keys(), others, after_revision))


def merge(
    listing: Listing,
    possible_keys: Collection[str],
    others: Iterable[Changes],
    after_revision: int,
) -> Changes:
    """Return the changes that a listing and watches of other keys make up.

    Parameters
    ----------
    listing
        Values of the keys whose versions are left out.
    possible_keys
        Those of these keys that a copy may have; missing ones were removed.
        A peer whose copy is of a revision in between may have one that this
        copy never had, and gets these changes from here.
    others
        Changes of the other keys, read after the listing.
    after_revision
        Revision of the copy.

    Returns
    -------
    Changes
        The newest value of each listed key and all changes of the others, up
        to the revision of the listing. Later ones are left to the next read.
    """
    revision = listing.revision
    events: list[StoredValue | Removal] = [
        event for changes in others for event in changes.events
    ]
    events += listing.values
    listed_keys = {stored.key for stored in listing.values}
    removed_keys = sorted(set(possible_keys) - listed_keys)
    events += [Removal(key, revision) for key in removed_keys]
    new = [e for e in events if after_revision < e.mod_revision <= revision]
    new.sort(key=lambda event: event.mod_revision)
    return Changes(tuple(new), revision, era=listing.era)
