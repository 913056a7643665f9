"""Entries under which targets and nodes register in the store."""

from __future__ import annotations

from dataclasses import dataclass

from gentianbank.domain import schema


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRegistration:
    """The entry that a target writes about itself.

    Parameters
    ----------
    cold_left_ms
        Time for which the target still had to warm up, at reduced capacity,
        when it wrote the entry.
    born_ms
        Unix time at which the target started; 0 when the entry has none.
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
class MemberRegistration:
    """An entry that outlasts a node's own: the node may still send requests.

    Limits for all nodes together are divided among these nodes.
    """

    vm: str = schema.text()
    region: str = schema.text()


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeRegistration:
    """The entry that a node writes: where callers and other nodes reach it.

    Parameters
    ----------
    peer_key
        Secret, in hexadecimal, that other nodes prove when they connect to
        this one. They read it from the store, which only the fleet can
        read.
    """

    vm: str = schema.text()
    region: str = schema.text()
    failure_domain: str = schema.text()
    callers: str = schema.text(schema.ADDRESS_PATTERN)
    peers: str = schema.text(schema.ADDRESS_PATTERN)
    peer_key: str = schema.text(r'[0-9a-f]{32}', default='')
