"""Which entry VMs a caller is told to use."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianbank.domain.registration import NodeRegistration


def choose_entry_points(
    nodes: Iterable[NodeRegistration], region: str, failure_domain: str
) -> tuple[str, ...]:
    """Return the addresses of the nearest nodes that live.

    Parameters
    ----------
    nodes
        Nodes that live and are not leaving.
    region, failure_domain
        Where the caller is.
    """
    living = sorted(nodes, key=lambda node: node.vm)
    near = [n for n in living if n.failure_domain == failure_domain]
    near = near or [node for node in living if node.region == region]
    return tuple(node.callers for node in near or living)
