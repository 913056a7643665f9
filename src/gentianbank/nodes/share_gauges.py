"""Gauges of fair shares, read when a node's metrics are scraped."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianbank.telemetry.deferred import Gauge
from gentianbank.telemetry.deferred import LabelledValue

if TYPE_CHECKING:
    from gentianbank.steering.fair_shares.fair_shares import FairShares


def list_share_gauges(fair_shares: FairShares) -> list[Gauge]:
    """Return the gauges of the shares and of the largest workspaces."""

    def shares() -> list[LabelledValue]:
        return [
            LabelledValue(share, {'service': service, 'workspace': name})
            for service, name, share, _ in fair_shares.largest_workspaces()
        ]

    def asked() -> list[LabelledValue]:
        return [
            LabelledValue(asked, {'service': service, 'workspace': name})
            for service, name, _, asked in fair_shares.largest_workspaces()
        ]

    return [
        Gauge(
            'shares.services',
            'Services whose room is divided among workspaces.',
            lambda: float(fair_shares.shared_services),
        ),
        Gauge(
            'shares.admitted',
            'Requests per second that are admitted over all nodes, for the '
            'largest workspaces.',
            shares,
        ),
        Gauge(
            'shares.asked',
            'Requests per second that callers send over all nodes, for the '
            'largest workspaces.',
            asked,
        ),
    ]
