"""What usage caps need of a node's view of the fleet."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gentianbank.policy.fleet_members import MemberSource
from gentianbank.policy.usage_caps.exchange import FleetView
from gentianbank.policy.usage_caps.plan import Cap

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.domain.workspaces import WorkspaceTable
    from gentianbank.steering.cluster_view import ClusterView


@dataclass(slots=True)
class StoreAge:
    """Converts the time of the store's last answer to another clock.

    The answer's time was taken on the monotonic clock, which stops while the
    system is suspended. What was suspended since the check before the answer
    counts as after it.

    Parameters
    ----------
    clock
        Returns the monotonic time in milliseconds.
    boot_clock
        Returns the time with suspended time in milliseconds.
    """

    clock: Callable[[], float]
    boot_clock: Callable[[], float]
    _answered_ms: float | None = None
    _offset_ms: float | None = None
    _checked_offset_ms: float | None = None

    def heard_ms(self, answered_ms: float | None) -> float:
        """Return when the store answered, on the clock with suspended time.

        Parameters
        ----------
        answered_ms
            The same on the monotonic clock; ``None`` if it never has.
        """
        offset_ms = self.boot_clock() - self.clock()
        if self._answered_ms != answered_ms or self._offset_ms is None:
            self._answered_ms = answered_ms
            last_ms = self._checked_offset_ms
            self._offset_ms = offset_ms if last_ms is None else last_ms
        self._checked_offset_ms = offset_ms
        if answered_ms is None:
            return float('-inf')
        return answered_ms + self._offset_ms


@dataclass(slots=True)
class CapView:
    """Reads caps and the fleet from the view of the cluster.

    Parameters
    ----------
    vm
        Name of this node.
    """

    vm: str
    cluster_view: ClusterView
    age: StoreAge
    _workspaces: WorkspaceTable | None = None
    _caps: dict[str, Cap] = field(default_factory=dict)

    @property
    def caps(self) -> dict[str, Cap]:
        """Return the caps in force, by workspace."""
        table = self.cluster_view.table
        workspaces = table.workspaces if table else None
        if workspaces is not self._workspaces:
            self._workspaces = workspaces
            listed = workspaces.by_name.values() if workspaces else ()
            self._caps = {
                workspace.name: Cap(workspace.rate_per_s, workspace.burst)
                for workspace in listed
                if workspace.has_cap
            }
        return self._caps

    def read(self) -> FleetView:
        """Return what is known of the fleet now."""
        view = self.cluster_view
        registered = frozenset(view.nodes)
        if not view.members.has_entry(self.vm, MemberSource.NODE):
            # The cluster view keeps it, but others choose owners without it.
            registered -= {self.vm}
        return FleetView(
            registered,
            registered | frozenset(view.members.regions),
            self.age.heard_ms(view.store_answered_ms),
        )
