"""Selection of the nodes that own the buckets of workspaces."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import hashlib
from typing import TYPE_CHECKING

from gentianbank.policy import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

OWNERS_TOPIC = 'usage cap owners'
MIN_OWNERS = 8
NODES_PER_OWNER = 32
_DIGEST_BYTES = 6


@dataclass(frozen=True, slots=True)
class OwnerSet:
    """The nodes among which the buckets of workspaces are divided.

    Parameters
    ----------
    digest
        Equal on two nodes only if they have the same set.
    """

    names: tuple[str, ...] = ()
    digest: int = 0
    _owners: dict[str, str] = field(default_factory=dict, compare=False)

    def owner_of(self, workspace: str) -> str | None:
        """Return the owner of a workspace; ``None`` without any node."""
        if not self.names:
            return None
        owner = self._owners.get(workspace)
        if owner is None:
            owner = rendezvous.rank_names(self.names, workspace)[0]
            self._owners[workspace] = owner
        return owner


def choose_owners(registered: Iterable[str]) -> OwnerSet:
    """Return the owners among the registered nodes."""
    nodes = sorted(registered)
    count = max(MIN_OWNERS, len(nodes) // NODES_PER_OWNER)
    names = tuple(sorted(rendezvous.rank_names(nodes, OWNERS_TOPIC)[:count]))
    data = '\0'.join(names).encode()
    digest = hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()
    return OwnerSet(names, int.from_bytes(digest))
