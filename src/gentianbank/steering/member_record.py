"""A lasting entry in the store that a node exists."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging
from expression import Result

from gentianbank.platform import keyspace

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.domain.registration import NodeRegistration
    from gentianbank.storage.prefix_store import Lease
    from gentianbank.storage.prefix_store import PrefixStore

# Far longer than outages and cuts, through which a node goes on sending.
LEASE_MS = 600_000
RENEWAL_MS = LEASE_MS / 3
# A node that does not hear from the store knows that its entry is still there
# for so long, as the entry may have been renewed this long before.
CERTAIN_MS = LEASE_MS - RENEWAL_MS


class MemberRecord:
    """Keeps a node's lasting entry.

    A node that starts divides limits for all nodes by these entries, since
    the entries of nodes that are cut off from the store have lapsed. A node
    that leaves keeps its entry, as it still sends requests for a while.

    Parameters
    ----------
    me
        The node's own entry.
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        me: NodeRegistration,
        store: PrefixStore,
        clock: Callable[[], float],
    ) -> None:
        self._me = me
        self._store = store
        self._clock = clock
        self._lease: Lease | None = None
        self._due_ms = float('-inf')

    def on_entry_gone(self) -> None:
        """Write the entry with the next refresh, since it was removed."""
        self._lease = None
        self._due_ms = float('-inf')

    async def refresh(self) -> None:
        """Write or renew the entry if that is due; a failure is repeated."""
        now_ms = self._clock()
        if now_ms < self._due_ms:
            return
        # Set before the calls, during which the entry may be removed.
        self._due_ms = now_ms + RENEWAL_MS
        renewed = self._lease and await self._renew(self._lease)
        if not renewed and not await self._write():
            self._due_ms = float('-inf')

    async def _renew(self, lease: Lease) -> bool:
        return (await self._store.renew_lease(lease)).is_ok()

    async def _write(self) -> bool:
        match await self._store.grant_lease_ms(LEASE_MS):
            case Result(tag='ok', ok=lease):
                pass
            case Result(error=error):
                _log_failure(error)
                return False
        match await self._store.put(keyspace.encode_member(self._me, lease)):
            case Result(tag='ok'):
                self._lease = lease
                return True
            case Result(error=refused):
                _log_failure(refused)
                return False


def _log_failure(error: object) -> None:
    logging.warning('lasting entry not written', extra={'cause': str(error)})
