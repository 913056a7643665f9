"""Limits on what connections of callers may hold in a node."""

from __future__ import annotations

from dataclasses import dataclass

from gentianbank.domain import schema


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLimits:
    """Limits on connections that this system does not control.

    Parameters
    ----------
    max_connections
        Connections to the callers' port; fewer if the process may open only
        few descriptors.
    max_connections_per_address
        Those of one address. The rest stays free for other addresses.
    head_bytes
        Longest head of a request, unless the configuration tells it.
    framing_bytes
        Longest trailers, and longest run of bytes of a chunked body that
        carry no data.
    header_timeout_ms
        Time within which a head must arrive, unless the configuration tells
        it.
    idle_timeout_ms
        Time for which a connection may say nothing, unless the configuration
        tells it.
    max_held_bytes
        What all connections of a port may hold in memory, beside what each
        one takes while it is idle.
    max_unauthenticated_peers
        Connections to the port for other nodes that have not proved yet that
        they hold the key.
    """

    max_connections: int = schema.integer(8, 1_000_000, default=16_000)
    max_connections_per_address: int = schema.integer(
        1, 1_000_000, default=12_000
    )
    head_bytes: int = schema.integer(1_024, 16_777_216, default=65_536)
    framing_bytes: int = schema.integer(1_024, 16_777_216, default=65_536)
    header_timeout_ms: float = schema.number(100, 3_600_000, default=30_000)
    idle_timeout_ms: float = schema.number(100, 3_600_000, default=60_000)
    max_held_bytes: int = schema.integer(
        1_048_576, 1_099_511_627_776, default=67_108_864
    )
    max_unauthenticated_peers: int = schema.integer(1, 100_000, default=256)
