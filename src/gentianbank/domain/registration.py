"""What targets and nodes say of themselves in the store."""

from __future__ import annotations

from dataclasses import dataclass

from gentianbank.domain import schema


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRegistration:
    """A target's entry.

    Parameters
    ----------
    cold_left_ms
        Time that the target remained cold when it wrote the entry.
    born_ms
        Unix time of the target's start; 0 when it does not say.
    """

    target_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    cold_left_ms: float
    born_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeRegistration:
    """A node's entry: where callers and other nodes reach it.

    Parameters
    ----------
    peer_key
        Key that other nodes prove on a connection to this one. They have
        it from the store, which only the fleet can read.
    """

    vm: str = schema.text()
    region: str = schema.text()
    failure_domain: str = schema.text()
    callers: str = schema.text(schema.ADDRESS_PATTERN)
    peers: str = schema.text(schema.ADDRESS_PATTERN)
    peer_key: str = schema.text(r'[0-9a-f]{32}', default='')
