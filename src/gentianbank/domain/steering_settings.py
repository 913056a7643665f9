"""Settings of a node that steers for the users' platform."""

from __future__ import annotations

from dataclasses import dataclass

from gentianbank.domain import schema
from gentianbank.domain.settings import Logging


@dataclass(frozen=True, slots=True, kw_only=True)
class SteeringAddresses:
    """Where the node listens, each as ``IP:port``.

    Parameters
    ----------
    callers
        Requests for services.
    readiness
        Readiness checks.
    lookups
        Look-ups of entry VMs.
    peers
        Other nodes.
    metrics
        Metrics as text; empty for none.
    """

    callers: str = schema.text(schema.ADDRESS_PATTERN)
    readiness: str = schema.text(schema.ADDRESS_PATTERN)
    lookups: str = schema.text(schema.ADDRESS_PATTERN)
    peers: str = schema.text(schema.ADDRESS_PATTERN)
    metrics: str = schema.text(rf'({schema.ADDRESS_PATTERN})?', default='')


@dataclass(frozen=True, slots=True, kw_only=True)
class SteeringStore:
    """The platform's store.

    Parameters
    ----------
    watch_ms
        Longest time that one watch waits.
    retry_ms
        Pause before the next call while the store gives no answer.
    lease_ms
        Time after which a dead node's entry goes.
    """

    address: str = schema.text(schema.ADDRESS_PATTERN)
    timeout_ms: int = schema.integer(50, 60_000, default=900)
    watch_ms: int = schema.integer(100, 30_000, default=4_000)
    retry_ms: int = schema.integer(10, 60_000, default=400)
    lease_ms: int = schema.integer(1_000, 600_000, default=4_000)


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Promises that the node is held to.

    Parameters
    ----------
    retry_ratio, retry_slack, retry_window_s
        Sends beyond the first, of all nodes, in a window: a part of the
        requests, plus the slack.
    cold_factor, cold_slack
        Requests a second to a cold target, of all nodes: times the rate
        that it bears, plus the slack.
    max_region_shift
        Part of a region's requests that may change the serving region
        between two windows.
    stop_s
        Time from the request to stop until the process is killed.
    max_cache_s
        Time for which callers keep a look-up's answer at most.
    lapse_grace_ms
        Time after an outage of the store in which entries that lapsed
        come back.
    """

    retry_ratio: float = schema.number(0, 10, default=0.2)
    retry_slack: float = schema.number(0, 1e6, default=56)
    retry_window_s: float = schema.number(0.1, 600, default=10)
    cold_factor: float = schema.number(0, 100, default=1.5)
    cold_slack: float = schema.number(0, 1e6, default=5)
    max_region_shift: float = schema.number(0, 1, default=0.15)
    stop_s: float = schema.number(0, 600, default=6)
    max_cache_s: float = schema.number(0, 600, default=5)
    lapse_grace_ms: float = schema.number(0, 60_000, default=2_000)


@dataclass(frozen=True, slots=True, kw_only=True)
class SteeringSettings:
    """Settings of one node.

    Parameters
    ----------
    regions
        Region of each failure domain.
    """

    vm: str = schema.text()
    region: str = schema.text()
    failure_domain: str = schema.text()
    regions: dict[str, str] = schema.mapping(str, keys=r'.{1,200}')
    addresses: SteeringAddresses = schema.nested(SteeringAddresses)
    store: SteeringStore = schema.nested(SteeringStore)
    bounds: Bounds = schema.nested(Bounds, default=Bounds())
    logging: Logging = schema.nested(Logging, default=Logging())
