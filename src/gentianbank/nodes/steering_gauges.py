"""Gauges of a node on the platform, read when its metrics are scraped."""

from __future__ import annotations

import functools
import resource
from typing import TYPE_CHECKING

from gentianbank.telemetry.deferred import Gauge
from gentianbank.telemetry.deferred import LabelledGauge

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.dataplane.connection_ledger import ConnectionLedger
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.steering.placer import Placer
    from gentianbank.steering.store_following.store_sync import StoreSync
    from gentianbank.steering.usage_caps.admission import UsageCaps
    from gentianbank.telemetry.loop_delay import LoopDelay

_BYTES_PER_KB = 1_024
_HELD_KINDS = {
    'heads': 'Bytes of heads that are not complete.',
    'bodies': 'Bytes of bodies that are not complete.',
    'running': 'Bytes of bodies of requests that are being served.',
    'ahead': 'Bytes of requests ahead.',
    'answers': 'Bytes of answers that callers have not read.',
}


def list_gauges(
    cluster_view: ClusterView,
    placer: Placer,
    in_flight: Callable[[], int],
    read_ahead_bytes: Callable[[], int],
    loop_delay: LoopDelay,
    usage_caps: UsageCaps,
    clock: Callable[[], float],
) -> list[Gauge | LabelledGauge]:
    """Return the gauges of a node.

    Parameters
    ----------
    in_flight
        Returns the number of requests in flight.
    read_ahead_bytes
        Returns the bytes of answers that are held for callers.
    clock
        Returns the monotonic time in milliseconds.
    """

    def version() -> float:
        return float(cluster_view.table.version if cluster_view.table else 0)

    def problems() -> float:
        table = cluster_view.table
        return float(len(table.problems)) if table else 0.0

    return [
        Gauge(
            'store.age',
            'Milliseconds since the store answered.',
            lambda: float(cluster_view.age_ms(clock()) or 0),
        ),
        Gauge(
            'configuration.version',
            'Version in force.',
            version,
        ),
        Gauge(
            'configuration.rejected',
            '1 while the newest configuration cannot be used.',
            lambda: float(bool(cluster_view.rejected_table)),
        ),
        Gauge(
            'configuration.problems',
            'Invalid or unknown parts of the configuration in force.',
            problems,
        ),
        Gauge(
            'nodes',
            'Known nodes.',
            lambda: float(placer.quotas.assumed_node_count),
        ),
        Gauge(
            'peers.heard',
            'Nodes whose loads are known.',
            lambda: float(cluster_view.peer_loads.live_count),
        ),
        Gauge('targets', 'Known targets.', lambda: len(cluster_view.targets)),
        Gauge(
            'targets.limited',
            'Targets that name a limit on their requests.',
            lambda: float(cluster_view.limited_target_count),
        ),
        Gauge(
            'targets.paced',
            'Targets under pace.',
            lambda: float(
                placer.pacing.paced_target_count if placer.pacing else 0
            ),
        ),
        Gauge(
            'requests.in_flight',
            'Requests that are being served.',
            lambda: float(in_flight()),
        ),
        Gauge(
            'answers.read_ahead',
            'Bytes of answers that are held for callers.',
            lambda: float(read_ahead_bytes()),
        ),
        Gauge(
            'memory.peak',
            'Bytes.',
            _peak_bytes,
        ),
        Gauge(
            'loop.delay',
            'Longest delay of a timer since the last scrape, in ms.',
            loop_delay.pop_longest_ms,
        ),
        LabelledGauge(
            'caps.use',
            'Requests per second under a usage cap, of the largest.',
            'workspace',
            usage_caps.largest_uses,
        ),
        LabelledGauge(
            'caps.refused',
            'Requests refused under a usage cap, of the largest.',
            'workspace',
            usage_caps.largest_refusals,
        ),
    ]


def list_store_gauges(sync: StoreSync) -> list[Gauge]:
    """Return the gauges of the node's copy of the store."""
    return [
        Gauge(
            'store.era',
            'Restores of the store, as it states them, that the copy knows.',
            lambda: float(sync.era),
        ),
        Gauge(
            'store.revision',
            'Revision of the copy within its era.',
            lambda: float(sync.revision),
        ),
        Gauge(
            'store.unlisted',
            '1 while the copy awaits a listing of the store.',
            lambda: float(sync.needs_listing),
        ),
    ]


def list_connection_gauges(ledger: ConnectionLedger) -> list[Gauge]:
    """Return the gauges of the connections of callers."""
    held = [
        Gauge(
            f'callers.held.{kind}',
            description,
            functools.partial(ledger.held_by_kind, kind),
        )
        for kind, description in _HELD_KINDS.items()
    ]
    return [
        Gauge(
            'callers.connections',
            'Open connections of callers.',
            lambda: ledger.connection_count,
        ),
        Gauge(
            'callers.held.largest',
            'Bytes that the largest holder holds.',
            ledger.largest_held_bytes,
        ),
        *held,
    ]


def _peak_bytes() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return float(usage.ru_maxrss * _BYTES_PER_KB)
