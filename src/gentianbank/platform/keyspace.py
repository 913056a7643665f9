"""Keys of the platform's store and the decoding of their values."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import TYPE_CHECKING

from expression import Ok
from expression import Result

from gentianbank.domain import schema
from gentianbank.domain.registration import NodeRegistration
from gentianbank.domain.registration import TargetRegistration
from gentianbank.domain.route_table import RouteTable
from gentianbank.platform.documents import CONFIGURATION_KEY
from gentianbank.platform.documents import decode_configuration
from gentianbank.platform.documents import decode_target
from gentianbank.platform.documents import EVACUATION_PREFIX
from gentianbank.platform.documents import TARGET_PREFIX
from gentianbank.storage.store import Put

if TYPE_CHECKING:
    from gentianbank.domain.errors import InvalidDocument
    from gentianbank.storage.store import StoredValue

# Prefix of every key: a node watches all keys with one call at a time.
EVERYTHING = ''
NODE_PREFIX = 'nodes/'


@dataclass(frozen=True, slots=True)
class EvacuatedDomain:
    """An evacuated failure domain: its targets get no requests."""

    name: str


@dataclass(frozen=True, slots=True)
class TargetId:
    """The key belongs to the entry of a target."""

    target_id: str


@dataclass(frozen=True, slots=True)
class NodeName:
    """The key belongs to the entry of a node."""

    vm: str


@dataclass(frozen=True, slots=True)
class Configuration:
    """The key belongs to the operator's configuration."""


@dataclass(frozen=True, slots=True)
class UnrelatedKey:
    """The key has no meaning for a node."""


KeyKind = Configuration | EvacuatedDomain | TargetId | NodeName | UnrelatedKey
DecodedValue = (
    RouteTable | TargetRegistration | NodeRegistration | EvacuatedDomain
)


def subject_of(key: str) -> KeyKind:
    """Return which kind of entry a key belongs to."""
    if key == CONFIGURATION_KEY:
        return Configuration()
    if key.startswith(EVACUATION_PREFIX):
        return EvacuatedDomain(key.removeprefix(EVACUATION_PREFIX))
    if key.startswith(TARGET_PREFIX):
        return TargetId(key.removeprefix(TARGET_PREFIX))
    if key.startswith(NODE_PREFIX):
        return NodeName(key.removeprefix(NODE_PREFIX))
    return UnrelatedKey()


def decode(
    stored: StoredValue,
) -> Result[DecodedValue | None, InvalidDocument]:
    """Decode a value by the kind of its key; ``None`` for unrelated keys."""
    match subject_of(stored.key):
        # ``_as_optional`` only widens the type of a result.
        case Configuration():
            return decode_configuration(stored.value).map(_as_optional)
        case TargetId():
            return decode_target(stored.key, stored.value).map(_as_optional)
        case NodeName():
            return _decode_node(stored).map(_as_optional)
        case EvacuatedDomain() as domain:
            return Ok(domain)
        case UnrelatedKey():
            return Ok(None)


def target_key(target_id: str) -> str:
    """Return the key of a target's entry."""
    return f'{TARGET_PREFIX}{target_id}'


def node_key(vm: str) -> str:
    """Return the key of a node's entry."""
    return f'{NODE_PREFIX}{vm}'


def encode_node(node: NodeRegistration, lease: int) -> Put:
    """Return the write that registers a node under its lease."""
    value = json.dumps(schema.dump(node)).encode()
    return Put(node_key(node.vm), value, lease)


def _decode_node(
    stored: StoredValue,
) -> Result[NodeRegistration, InvalidDocument]:
    try:
        raw = json.loads(stored.value)
    except ValueError:
        raw = None
    return schema.read(NodeRegistration, raw, stored.key)


def _as_optional(value: DecodedValue) -> DecodedValue | None:
    return value
