"""Keys of the platform's store and the decoding of their values."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import TYPE_CHECKING
from typing import TypeVar

from expression import Ok
from expression import Result

from gentianbank.domain import schema
from gentianbank.domain.registration import MemberRegistration
from gentianbank.domain.registration import NodeRegistration
from gentianbank.domain.registration import TargetRegistration
from gentianbank.domain.route_table import RouteTable
from gentianbank.platform import fields
from gentianbank.platform.documents import CONFIGURATION_KEY
from gentianbank.platform.documents import decode_configuration
from gentianbank.platform.documents import decode_target
from gentianbank.platform.documents import EVACUATION_PREFIX
from gentianbank.platform.documents import TARGET_PREFIX
from gentianbank.storage.store import Put

if TYPE_CHECKING:
    from gentianbank.domain.errors import InvalidDocument
    from gentianbank.storage.prefix_store import Lease
    from gentianbank.storage.store import StoredValue

T = TypeVar('T')

# Prefix of every key: a node watches all keys with one call at a time.
ALL_KEYS_PREFIX = ''
NODE_PREFIX = 'nodes/'
MEMBER_PREFIX = 'members/'
# Prefixes of the used keys that the operator does not write.
ENTRY_PREFIXES = (TARGET_PREFIX, NODE_PREFIX, MEMBER_PREFIX)


@dataclass(frozen=True, slots=True)
class EvacuationKey:
    """An evacuated failure domain: its targets get no requests."""

    name: str


@dataclass(frozen=True, slots=True)
class TargetKey:
    """The key belongs to the entry of a target."""

    target_id: str


@dataclass(frozen=True, slots=True)
class NodeKey:
    """The key belongs to the entry of a node."""

    vm: str


@dataclass(frozen=True, slots=True)
class MemberKey:
    """The key belongs to the lasting entry of a node."""

    vm: str


@dataclass(frozen=True, slots=True)
class ConfigurationKey:
    """The key belongs to the operator's configuration."""


@dataclass(frozen=True, slots=True)
class UnrelatedKey:
    """The key has no meaning for a node."""


KeyKind = (
    ConfigurationKey
    | EvacuationKey
    | TargetKey
    | NodeKey
    | MemberKey
    | UnrelatedKey
)
DecodedValue = (
    RouteTable
    | TargetRegistration
    | NodeRegistration
    | MemberRegistration
    | EvacuationKey
)


def kind_of_key(key: str) -> KeyKind:
    """Return which kind of entry a key belongs to.

    A key that cannot be encoded, as another writer may leave one, belongs to
    none.
    """
    if not fields.is_encodable(key):
        return UnrelatedKey()
    if key == CONFIGURATION_KEY:
        return ConfigurationKey()
    if key.startswith(EVACUATION_PREFIX):
        return EvacuationKey(key.removeprefix(EVACUATION_PREFIX))
    if key.startswith(TARGET_PREFIX):
        return TargetKey(key.removeprefix(TARGET_PREFIX))
    if key.startswith(NODE_PREFIX):
        return NodeKey(key.removeprefix(NODE_PREFIX))
    if key.startswith(MEMBER_PREFIX):
        return MemberKey(key.removeprefix(MEMBER_PREFIX))
    return UnrelatedKey()


def is_used(key: str) -> bool:
    """Return whether a node makes any use of a key."""
    return not isinstance(kind_of_key(key), UnrelatedKey)


def decode(
    stored: StoredValue,
) -> Result[DecodedValue | None, InvalidDocument]:
    """Decode a value by the kind of its key; ``None`` for unrelated keys."""
    match kind_of_key(stored.key):
        # ``_as_optional`` only widens the type of a result.
        case ConfigurationKey():
            return decode_configuration(stored.value).map(_as_optional)
        case TargetKey():
            return decode_target(stored.key, stored.value).map(_as_optional)
        case NodeKey():
            return _decode(NodeRegistration, stored).map(_as_optional)
        case MemberKey():
            return _decode(MemberRegistration, stored).map(_as_optional)
        case EvacuationKey() as domain:
            return Ok(domain)
        case UnrelatedKey():
            return Ok(None)


def evacuation_key(name: str) -> str:
    """Return the key that evacuates a failure domain."""
    return f'{EVACUATION_PREFIX}{name}'


def target_key(target_id: str) -> str:
    """Return the key of a target's entry."""
    return f'{TARGET_PREFIX}{target_id}'


def node_key(vm: str) -> str:
    """Return the key of a node's entry."""
    return f'{NODE_PREFIX}{vm}'


def encode_node(node: NodeRegistration, lease: Lease) -> Put:
    """Return the write that registers a node under its lease."""
    value = json.dumps(schema.dump(node)).encode()
    return Put(node_key(node.vm), value, lease.number, lease.era)


def member_key(vm: str) -> str:
    """Return the key of a node's lasting entry."""
    return f'{MEMBER_PREFIX}{vm}'


def encode_member(node: NodeRegistration, lease: Lease) -> Put:
    """Return the write of a node's lasting entry under its lease."""
    member = MemberRegistration(vm=node.vm, region=node.region)
    value = json.dumps(schema.dump(member)).encode()
    return Put(member_key(node.vm), value, lease.number, lease.era)


def _decode(kind: type[T], stored: StoredValue) -> Result[T, InvalidDocument]:
    try:
        raw = json.loads(stored.value)
    except (ValueError, RecursionError):
        raw = None
    return schema.read(kind, raw, stored.key, ignore_unknown=True)


def _as_optional(value: DecodedValue) -> DecodedValue | None:
    return value
