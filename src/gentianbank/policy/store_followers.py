"""Which nodes read the store for their region, and when a node reads."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from gentianbank.policy import rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection

# In smaller regions the messages cost more than the saved calls.
MIN_REGION_NODES = 8
# A copy that was confirmed so long ago is read anew. Together with one call
# to the store this stays below the bound of 3,000 ms for drains.
FRESH_MS = 1_200.0
# Time between two confirmations of a follower while nothing changes. An answer
# with changes confirms only the time of its call, so that with the pause below
# up to 950 ms pass, and 250 ms are left for slow answers and messages.
FOLLOWER_PERIOD_MS = 600.0
# Pause of a follower after changes, so that the next call returns several.
FOLLOWER_BATCH_MS = 300.0
_TOPIC = 'store followers'


class StoreRole(Enum):
    """What a node does to keep its copy of the store up to date."""

    # The region has too few nodes for followers.
    ALONE = 'alone'
    FOLLOWER = 'follower'
    # The node hears no follower in time and reads the store itself.
    READER = 'reader'
    PASSIVE = 'passive'


def choose_followers(
    region_nodes: Collection[str], disconnected: Collection[str], count: int
) -> frozenset[str]:
    """Return the nodes of a region that read the store for the others.

    Parameters
    ----------
    region_nodes
        Registered nodes of the region.
    disconnected
        Nodes whose connection to this node was lost. They are passed over,
        since the entry of a dead node lasts until its lease ends.
    count
        Number of followers; 0 for none.

    Returns
    -------
    frozenset
        Empty if each node of the region is to read for itself.
    """
    if not count or len(region_nodes) < MIN_REGION_NODES:
        return frozenset()
    live = [vm for vm in region_nodes if vm not in disconnected]
    return frozenset(rendezvous.rank_names(live, _TOPIC)[:count])


def decide_role(
    vm: str, followers: Collection[str], confirmed_age_ms: float | None
) -> StoreRole:
    """Decide what a node does for its copy.

    Parameters
    ----------
    followers
        Followers of the region, as far as this node knows.
    confirmed_age_ms
        Time since a follower last confirmed this node's copy; ``None`` if
        none has.
    """
    if not followers:
        return StoreRole.ALONE
    if vm in followers:
        return StoreRole.FOLLOWER
    if confirmed_age_ms is None or confirmed_age_ms > FRESH_MS:
        return StoreRole.READER
    return StoreRole.PASSIVE
