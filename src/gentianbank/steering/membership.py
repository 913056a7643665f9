"""Registration of this node in the store."""

from __future__ import annotations

import asyncio
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
    from gentianbank.storage.prefix_store import PrefixStore

# The lease survives one lost renewal.
RENEWALS_PER_LEASE = 2.5
LEASE_END_TIMEOUT_S = 1.0
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
        self._lease = 0
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
            self._lease = 0
            self._entry_lost.set()

    async def run(self) -> None:
        """Keep the node registered until cancelled or until it leaves."""
        renewal_period_s = (
            self._settings.lease_ms / RENEWALS_PER_LEASE / _MS_PER_S
        )
        retry_s = self._settings.retry_ms / _MS_PER_S
        while not self._leaving:
            registered = await (
                self._renew() if self._lease else self._register()
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
                await asyncio.sleep(retry_s)
            except TimeoutError:
                continue

    async def unregister(self) -> None:
        """Remove the entry, so that look-ups no longer name this node."""
        self._leaving = True
        if not self._lease:
            return
        try:
            async with asyncio.timeout(LEASE_END_TIMEOUT_S):
                await self._store.end_lease(self._lease)
        except TimeoutError:
            logging.warning(
                'own entry not removed in time; it expires with its lease'
            )

    async def _register(self) -> bool:
        match await self._store.grant_lease_ms(self._settings.lease_ms):
            case Result(tag='ok', ok=lease):
                pass
            case Result(error=error):
                _log_failure('node not registered', error)
                return False
        put = keyspace.encode_node(self._me, lease)
        match await self._store.put(put):
            case Result(tag='ok'):
                self._lease = lease
                logging.info('node registered')
                return True
            case Result(error=refused):
                _log_failure('node not registered', refused)
                return False

    async def _renew(self) -> bool:
        match await self._store.renew_lease(self._lease):
            case Result(tag='ok'):
                return True
            case Result(error=LeaseExpired()):
                self._lease = 0
                return await self._register()
            case Result(error=error):
                _log_failure('lease not renewed', error)
                return False


def _log_failure(message: str, error: object) -> None:
    logging.warning(message, extra={'cause': str(error)})
