"""Gauges of a node on the platform, read when its metrics are scraped."""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING

from gentianbank.telemetry.deferred import Gauge

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.steering.beliefs import Beliefs
    from gentianbank.steering.placer import Placer
    from gentianbank.telemetry.loop_delay import LoopDelay

_BYTES_PER_KB = 1_024


def list_gauges(
    beliefs: Beliefs,
    placer: Placer,
    in_flight: Callable[[], int],
    loop_delay: LoopDelay,
    clock: Callable[[], float],
) -> list[Gauge]:
    """Return the gauges of a node.

    Parameters
    ----------
    in_flight
        Returns the number of requests in flight.
    clock
        Returns the monotonic time in milliseconds.
    """

    def version() -> float:
        return float(beliefs.table.version if beliefs.table else 0)

    return [
        Gauge(
            'store.age',
            'Milliseconds since the store last answered.',
            lambda: float(beliefs.age_ms(clock()) or 0),
        ),
        Gauge(
            'configuration.version',
            'Version of the configuration in force.',
            version,
        ),
        Gauge(
            'nodes',
            'Assumed number of nodes that send requests.',
            lambda: float(placer.nodes),
        ),
        Gauge(
            'peers.heard',
            'Nodes whose messages arrive here.',
            lambda: float(beliefs.peer_loads.heard),
        ),
        Gauge('targets', 'Known targets.', lambda: len(beliefs.targets)),
        Gauge(
            'requests.in_flight',
            'Requests in flight.',
            lambda: float(in_flight()),
        ),
        Gauge(
            'memory.peak',
            'Largest resident memory so far, in bytes.',
            _peak_bytes,
        ),
        Gauge(
            'loop.delay',
            'Longest delay of a timer since the last scrape, in ms.',
            loop_delay.pop_longest_ms,
        ),
    ]


def _peak_bytes() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return float(usage.ru_maxrss * _BYTES_PER_KB)
