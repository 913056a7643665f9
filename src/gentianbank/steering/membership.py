"""Registration of this node in the store."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from absl import logging
from expression import Result

from gentianbank.platform import keyspace
from gentianbank.policy.fleet_members import MemberSource
from gentianbank.storage.prefix_store import LeaseExpired

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.domain.registration import NodeRegistration
    from gentianbank.domain.steering_settings import SteeringStore
    from gentianbank.steering.member_record import MemberRecord
    from gentianbank.storage.prefix_store import Lease
    from gentianbank.storage.prefix_store import PrefixStore

# The lease survives one lost renewal.
RENEWALS_PER_LEASE = 2.5
REMOVAL_TIMEOUT_S = 1.0
# All nodes notice at about the same time that the store was restored.
MAX_RESTORE_DELAY_S = 1.5
_MS_PER_S = 1_000


class Membership:
    """Registers the node under a lease and renews the lease.

    Parameters
    ----------
    me
        The node's own entry.
    record
        The node's lasting entry, which is kept up to date on the way.
    on_store_recovered
        Called when registration or renewal succeeds for the first time or
        again after a failure.
    """

    def __init__(
        self,
        me: NodeRegistration,
        store: PrefixStore,
        settings: SteeringStore,
        record: MemberRecord,
        on_store_recovered: Callable[[], None],
    ) -> None:
        self._me = me
        self._store = store
        self._settings = settings
        self._record = record
        self._on_store_recovered = on_store_recovered
        self._lease: Lease | None = None
        # Revision of the entry that is bound to the lease.
        self._revision = 0
        self._is_registered = False
        self._entry_lost = asyncio.Event()
        self._leaving = False

    def on_entry_gone(self, source: MemberSource) -> None:
        """Write an entry again, since it was removed from the store.

        Does nothing if this node itself has removed it.

        Parameters
        ----------
        source
            Which of the two entries it is.
        """
        if source is MemberSource.LASTING:
            self._record.on_entry_gone()
        elif not self._leaving:
            if self._lease and self._store.is_current(self._lease):
                self._lease = None
            self._entry_lost.set()

    async def run(self) -> None:
        """Keep the node registered until cancelled or until it leaves."""
        renewal_period_s = (
            self._settings.lease_ms / RENEWALS_PER_LEASE / _MS_PER_S
        )
        retry_s = self._settings.retry_ms / _MS_PER_S
        while not self._leaving:
            registered = await (
                self._renew(self._lease) if self._lease else self._register()
            )
            if registered and not self._is_registered:
                self._on_store_recovered()
            self._is_registered = registered
            if registered:
                await self._record.refresh()
            self._entry_lost.clear()
            try:
                async with asyncio.timeout(
                    renewal_period_s if registered else retry_s
                ):
                    await self._entry_lost.wait()
                if not self._lease:
                    await asyncio.sleep(retry_s)
            except TimeoutError:
                continue

    async def unregister(self) -> None:
        """Remove the entry, so that look-ups no longer name this node."""
        self._leaving = True
        if self._lease:
            await self._remove_entry(self._lease)

    async def _remove_entry(self, lease: Lease) -> None:
        key = keyspace.node_key(self._me.vm)
        try:
            async with asyncio.timeout(REMOVAL_TIMEOUT_S):
                await self._store.delete(key, self._revision, lease)
        except TimeoutError:
            logging.warning(
                'own entry not removed in time; it expires with its lease'
            )

    async def _register(self) -> bool:
        if self._leaving:
            return False
        match await self._store.grant_lease_ms(self._settings.lease_ms):
            case Result(tag='ok', ok=lease):
                pass
            case Result(error=error):
                _log_failure('node not registered', error)
                return False
        if self._leaving:
            return False
        put = keyspace.encode_node(self._me, lease)
        match await self._store.put(put):
            case Result(tag='ok', ok=revision):
                self._lease = lease
                self._revision = revision
            case Result(error=refused):
                _log_failure('node not registered', refused)
                return False
        if self._leaving:
            # The node was told to stop while the entry was written.
            await self._remove_entry(lease)
            return False
        logging.info('node registered')
        return True

    async def _renew(self, lease: Lease) -> bool:
        match await self._store.renew_lease(lease):
            case Result(tag='ok'):
                return True
            case Result(error=LeaseExpired()):
                if not self._store.is_current(lease):
                    delay_s = random.uniform(0, MAX_RESTORE_DELAY_S)
                    await asyncio.sleep(delay_s)
                self._lease = None
                return await self._register()
            case Result(error=error):
                _log_failure('lease not renewed', error)
                return False


def _log_failure(message: str, error: object) -> None:
    logging.warning(message, extra={'cause': str(error)})
