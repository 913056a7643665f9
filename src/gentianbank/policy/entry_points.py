"""Choice of the entry VMs for a caller by its location."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianbank.domain.registration import NodeRegistration


def choose_entry_points(
    nodes: Iterable[NodeRegistration], region: str, failure_domain: str
) -> tuple[str, ...]:
    """Return the caller-facing addresses of the nearest live nodes.

    These are the nodes in the caller's failure domain; without any, those in
    its region; without any, all nodes.

    Parameters
    ----------
    nodes
        Live nodes that are not shutting down.
    region, failure_domain
        Location of the caller.
    """
    live_nodes = sorted(nodes, key=lambda node: node.vm)
    nearest = [n for n in live_nodes if n.failure_domain == failure_domain]
    nearest = nearest or [node for node in live_nodes if node.region == region]
    return tuple(node.callers for node in nearest or live_nodes)
