"""Keys of callers: the only module that sees one in clear text."""

from __future__ import annotations

from dataclasses import dataclass
import hashlib
import json
from typing import Any
from typing import TYPE_CHECKING

from gentianbank.targets.http_headers import header_values

if TYPE_CHECKING:
    from gentianbank.domain.workspaces import KeyDigest
    from gentianbank.targets.transport import RawHeaders

AUTHORIZATION = b'authorization'
KEYS_FIELD = 'apiKeys'
# Replaces ``KEYS_FIELD`` in every copy of the configuration that leaves the
# adapter of the store.
DIGESTS_FIELD = 'apiKeyDigests'
# Replaces what is no workspace, as it may hold keys too.
UNREADABLE = 'unreadable'
_SCHEME = b'token'
_WORKSPACES_FIELD = 'tenants'
_MARKS = (_WORKSPACES_FIELD.encode(), b'\\u')
# No key of the platform is nearly as long; a longer one is not hashed.
_MAX_KEY_BYTES = 1_024
_DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class NoKey:
    """The request has no key, or none that can be read."""


def digest_key(key: bytes) -> KeyDigest:
    """Return the digest under which a key is looked up."""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()


def read_key(headers: RawHeaders) -> KeyDigest | NoKey:
    """Return the digest of the key that a request has.

    Two credentials are none: a node and a target might choose different
    ones.
    """
    values = header_values(headers, AUTHORIZATION)
    if len(values) != 1:
        return NoKey()
    scheme, _, key = values[0].strip().partition(b' ')
    key = key.strip()
    if scheme.lower() != _SCHEME or not 0 < len(key) <= _MAX_KEY_BYTES:
        return NoKey()
    return digest_key(key)


def parse_digest(text: Any) -> KeyDigest | None:
    """Return a digest from its form in a configuration without keys."""
    if not isinstance(text, str):
        return None
    try:
        digest = bytes.fromhex(text)
    except ValueError:
        return None
    return digest if len(digest) == _DIGEST_BYTES else None


def digest_text_key(key: Any) -> KeyDigest | None:
    """Return the digest of a key in a configuration; ``None`` if invalid."""
    if not isinstance(key, str) or not key:
        return None
    raw = key.encode(errors='surrogatepass')
    return digest_key(raw) if len(raw) <= _MAX_KEY_BYTES else None


def without_keys(configuration: bytes) -> bytes:
    """Return a configuration with digests in place of keys.

    Nodes pass the configuration on to each other, and keep recent changes of
    the store; neither copy may have a key. A document that cannot be read
    has none that could be used and is dropped, as it may still hold keys.
    """
    # An escape sequence may hide the name of the field.
    if not any(mark in configuration for mark in _MARKS):
        return configuration
    try:
        document = json.loads(configuration)
        if not isinstance(document, dict):
            return b''
        _replace_keys(document)
        return json.dumps(document).encode()
    except (ValueError, RecursionError):
        return b''


def _replace_keys(document: dict[str, Any]) -> None:
    workspaces = document.get(_WORKSPACES_FIELD)
    if workspaces is None:
        return
    if not isinstance(workspaces, list):
        # It stays known that there are workspaces which cannot be read.
        document[_WORKSPACES_FIELD] = UNREADABLE
        return
    for position, workspace in enumerate(workspaces):
        if not isinstance(workspace, dict):
            workspaces[position] = UNREADABLE
        elif KEYS_FIELD in workspace:
            keys = workspace.pop(KEYS_FIELD)
            workspace[DIGESTS_FIELD] = _digest_all(keys)


def _digest_all(keys: Any) -> list[str | None] | None:
    if not isinstance(keys, list):
        return None
    digests = map(digest_text_key, keys)
    return [digest.hex() if digest else None for digest in digests]
