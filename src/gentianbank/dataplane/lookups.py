"""Look-ups: which entry VM a caller should use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.domain.errors import FieldError
from gentianbank.domain.outcome import EPOCH_MS
from gentianbank.policy.lookup import answer_lookup
from gentianbank.policy.lookup import LookupAnswer

if TYPE_CHECKING:
    from gentianbank.domain.member import MemberTable
    from gentianbank.domain.revision import Snapshot


@dataclass(frozen=True, slots=True)
class NoConfiguration:
    """The node has no revision yet."""

    def __str__(self) -> str:
        return 'this node has no revision yet'


LookupFailure = FieldError | NoConfiguration


class Lookups:
    """Answers look-ups from the snapshot in force.

    Parameters
    ----------
    region
        Region of this node; a client outside every client block is served
        as if it were there.
    members
        This node's view of the membership.
    """

    def __init__(self, region: str, members: MemberTable) -> None:
        self._region = region
        self._members = members
        self._members_digest = members.digest
        self._snapshot: Snapshot | None = None
        self._answers: dict[str, LookupAnswer] = {}

    def update(self, snapshot: Snapshot) -> None:
        """Answer look-ups from this snapshot from now on."""
        self._snapshot = snapshot
        self._answers.clear()

    def find(self, client: str) -> Result[LookupAnswer, LookupFailure]:
        """Return the entry VMs for a client's address."""
        snapshot = self._snapshot
        if snapshot is None:
            return Error(NoConfiguration())
        try:
            site = snapshot.clients.site_of(client)
        except ValueError as error:
            return Error(FieldError('client', str(error)))
        region = self._region
        if site is not None:
            region = snapshot.configuration.sites[site].region
        if self._members.digest != self._members_digest:
            self._members_digest = self._members.digest
            self._answers.clear()
        answer = self._answers.get(region)
        if answer is None:
            answer = self._answers[region] = answer_lookup(
                snapshot.configuration,
                snapshot.revision,
                self._members.ready(),
                region,
            )
        return Ok(answer)


def estimate_epoch(generation_ms: int, wall_ms: float) -> int:
    """Estimate the current epoch of a node from its start time.

    Wall clocks of nodes may differ. A wrong estimate can cause a refusal but
    never a second run, because the node that owns a key checks its epoch by
    its own monotonic clock.

    Parameters
    ----------
    generation_ms
        Time at which the node started, on its wall clock.
    wall_ms
        Wall-clock time of this node.
    """
    return max(0, int((wall_ms - generation_ms) // EPOCH_MS))
