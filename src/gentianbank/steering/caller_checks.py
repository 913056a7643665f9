"""Checks of a request's key against the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianbank.platform import credentials
from gentianbank.policy.attribution import attribute
from gentianbank.policy.attribution import Attributed
from gentianbank.policy.attribution import CopyAge
from gentianbank.policy.attribution import UndecidedKey
from gentianbank.policy.attribution import UnknownKey
from gentianbank.steering.answers import Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.dataplane.exchange import Exchange
    from gentianbank.domain.route_table import Route
    from gentianbank.domain.route_table import RouteTable
    from gentianbank.domain.steering_settings import Bounds
    from gentianbank.domain.workspaces import KeyDigest
    from gentianbank.steering.cluster_view import ClusterView

# Longer than a watch of the store takes to be answered without changes; a
# node that has heard nothing for longer may have missed a change.
MAX_CURRENT_AGE_MS = 5_500.0


class CallerChecks:
    """Finds the workspace of a request, or why it is refused.

    Parameters
    ----------
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        bounds: Bounds,
        clock: Callable[[], float],
    ) -> None:
        self._cluster_view = cluster_view
        self._bounds = bounds
        self._clock = clock

    def apply_bounds(self, bounds: Bounds) -> None:
        """Apply changed bounds."""
        self._bounds = bounds

    def check(
        self, exchange: Exchange, table: RouteTable, route: Route
    ) -> Attributed | Refusal | None:
        """Return the caller's workspace, or the refusal of the request.

        Returns
        -------
        Attributed, Refusal or None
            ``None`` if the configuration has no workspaces.
        """
        if table.workspaces is None:
            return None
        key = credentials.read_key(exchange.raw_headers)
        return self.check_key(key, table, route)

    def check_key(
        self,
        key: KeyDigest | credentials.NoKey,
        table: RouteTable,
        route: Route,
    ) -> Attributed | Refusal | None:
        """Return the workspace of a key, as ``check`` does."""
        if table.workspaces is None:
            return None
        no_key = isinstance(key, credentials.NoKey)
        result = attribute(
            table.workspaces,
            None if isinstance(key, credentials.NoKey) else key,
            self._copy_age(),
            is_public=route.public,
        )
        match result:
            case UnknownKey():
                return Refusal(401, 'no key' if no_key else 'unknown key')
            case UndecidedKey(cause):
                return Refusal(503, cause, may_retry_later=True)
        return result

    def _copy_age(self) -> CopyAge:
        age_ms = self._cluster_view.age_ms(self._clock())
        if age_ms is None:
            return CopyAge(is_current=False, is_expired=True)
        is_current = (
            self._cluster_view.is_store_reachable
            and age_ms <= MAX_CURRENT_AGE_MS
        )
        is_expired = (
            self._bounds.strict_revocation and age_ms > self._bounds.revoke_ms
        )
        return CopyAge(is_current=is_current, is_expired=is_expired)
