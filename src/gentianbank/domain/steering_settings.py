"""Settings of a node with the platform's interface."""

from __future__ import annotations

from dataclasses import dataclass

from gentianbank.domain import schema
from gentianbank.domain.connection_limits import ConnectionLimits
from gentianbank.domain.settings import Logging


@dataclass(frozen=True, slots=True, kw_only=True)
class SteeringAddresses:
    """Addresses that the node listens on, each as ``IP:port``.

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
        Metrics in text form; empty for none.
    """

    callers: str = schema.text(schema.ADDRESS_PATTERN)
    readiness: str = schema.text(schema.ADDRESS_PATTERN)
    lookups: str = schema.text(schema.ADDRESS_PATTERN)
    peers: str = schema.text(schema.ADDRESS_PATTERN)
    metrics: str = schema.text(rf'({schema.ADDRESS_PATTERN})?', default='')


@dataclass(frozen=True, slots=True, kw_only=True)
class SteeringStore:
    """How to reach and follow the platform's store.

    Parameters
    ----------
    timeout_ms
        Time until an answer begins, beyond the wait of a watch, and longest
        silence within it.
    watch_ms
        Longest time that a watch waits for changes.
    retry_ms
        Delay from the begin of a failed call to the next one, at least.
    lease_ms
        Lease of this node's entry: the store removes the entry this long
        after the node stopped renewing it.
    followers_per_region
        Number of nodes of each region that read the store for the others
        if the region has at least ``MIN_REGION_NODES``; 0 if each node
        reads for itself.
    """

    address: str = schema.text(schema.ADDRESS_PATTERN)
    timeout_ms: int = schema.integer(50, 60_000, default=900)
    watch_ms: int = schema.integer(100, 30_000, default=4_000)
    retry_ms: int = schema.integer(10, 60_000, default=400)
    lease_ms: int = schema.integer(1_000, 600_000, default=4_000)
    followers_per_region: int = schema.integer(0, 10, default=0)


DEFAULT_MESSAGES_PER_S = 35.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Gossip:
    """How often nodes tell each other the loads of targets.

    Parameters
    ----------
    messages_per_s
        Messages that a node sends to all of its peers together. Where
        targets are busy and slow down for moments, loads that are a second
        old lead many nodes to the same target.
    """

    messages_per_s: float = schema.number(
        1, 10_000, default=DEFAULT_MESSAGES_PER_S
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Limits that the node keeps; some hold for all nodes together.

    Parameters
    ----------
    retry_ratio, retry_slack, retry_window_s
        Limit on the retries of all nodes together in a window: the ratio
        times the requests, plus the slack.
    cold_factor, cold_slack
        Limit on the requests per second of all nodes together to a cold
        target: the factor times the rate that its service declares, plus
        the slack.
    max_region_shift
        Part of a region's requests that may move to another serving region
        from one window to the next.
    stop_s
        Time for the graceful shutdown, until the process is killed.
    max_cache_s
        Longest time for which callers may cache the answer of a look-up.
    strict_revocation
        Whether a node stops honoring keys once its copy of the configuration
        has not been confirmed for ``revoke_ms``.
    revoke_ms
        Time within which a withdrawn key must stop working.
    cap_window_s, cap_overage, cap_slack
        Limit on the requests of a workspace with a usage cap, of all nodes
        together in any window: rate times window plus burst, exceeded by at
        most this part and these requests.
    lapse_grace_ms
        Time after an outage of the store for which a node keeps targets
        whose entries are gone. Their leases may have ended only because of
        the outage, and then the targets register again.
    """

    retry_ratio: float = schema.number(0, 10, default=0.2)
    retry_slack: float = schema.number(0, 1e6, default=56)
    retry_window_s: float = schema.number(0.1, 600, default=10)
    cold_factor: float = schema.number(0, 100, default=1.5)
    cold_slack: float = schema.number(0, 1e6, default=5)
    max_region_shift: float = schema.number(0, 1, default=0.15)
    stop_s: float = schema.number(0, 600, default=6)
    max_cache_s: float = schema.number(0, 600, default=5)
    strict_revocation: bool = schema.flag(default=False)
    revoke_ms: float = schema.number(0, 600_000, default=5_000)
    cap_window_s: float = schema.number(0.1, 600, default=5)
    cap_overage: float = schema.number(0, 10, default=0.1)
    cap_slack: float = schema.number(0, 1e6, default=20)
    lapse_grace_ms: float = schema.number(0, 60_000, default=2_000)


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestsAhead:
    """Limits of requests that callers send before earlier answers.

    Parameters
    ----------
    max_per_connection
        Requests of a connection that are in progress; 1 for one at a time.
    max_per_node
        Requests of all connections that are in progress while an earlier
        answer is owed.
    held_bytes_per_connection, held_bytes_per_node
        Bytes of answers that wait for an earlier one.
    """

    max_per_connection: int = schema.integer(1, 1_000, default=16)
    max_per_node: int = schema.integer(0, 100_000, default=512)
    held_bytes_per_connection: int = schema.integer(
        0, 1 << 30, default=1 << 20
    )
    held_bytes_per_node: int = schema.integer(0, 1 << 30, default=16 << 20)


@dataclass(frozen=True, slots=True, kw_only=True)
class Pace:
    """Pace of targets that have just started or recovered.

    Parameters
    ----------
    enabled
        Whether such targets get requests at a pace that follows from their
        answers.
    """

    enabled: bool = schema.flag(default=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class SteeringSettings:
    """Settings of one node.

    Parameters
    ----------
    regions
        Region of each failure domain, by failure domain.
    first_start
        Whether the whole system starts for the first time, so that usage
        caps start with their bursts unused.
    """

    vm: str = schema.text()
    region: str = schema.text()
    failure_domain: str = schema.text()
    regions: dict[str, str] = schema.mapping(str, keys=r'.{1,200}')
    addresses: SteeringAddresses = schema.nested(SteeringAddresses)
    store: SteeringStore = schema.nested(SteeringStore)
    bounds: Bounds = schema.nested(Bounds, default=Bounds())
    ahead: RequestsAhead = schema.nested(
        RequestsAhead, default=RequestsAhead()
    )
    gossip: Gossip = schema.nested(Gossip, default=Gossip())
    pace: Pace = schema.nested(Pace, default=Pace())
    logging: Logging = schema.nested(Logging, default=Logging())
    first_start: bool = schema.flag(default=False)
    caller_limits: ConnectionLimits = schema.nested(
        ConnectionLimits, default=ConnectionLimits()
    )
