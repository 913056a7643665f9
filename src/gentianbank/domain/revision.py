"""Revisions of the configuration as the store keeps them.

A revision is a head, which lists the digests of its bodies, and the bodies:
one per service, one per chunk of client blocks, and one for the rest.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import hashlib
import json
from typing import Any

from expression import Error
from expression import Result

from gentianbank.domain import client_map
from gentianbank.domain import schema
from gentianbank.domain.configuration import Configuration
from gentianbank.domain.configuration import read_configuration
from gentianbank.domain.errors import FieldError
from gentianbank.domain.errors import InvalidDocument

_BASE_BODY = 'base'
_SERVICE_PREFIX = 'service/'
_CLIENT_BLOCKS_PREFIX = 'client-blocks/'


@dataclass(frozen=True, slots=True, kw_only=True)
class AuditEntry:
    """Audit record of one change of the configuration."""

    revision: int = schema.integer(1, 2**53)
    base_revision: int = schema.integer(0, 2**53)
    change_id: str = schema.text()
    author: str = schema.text()
    time_ms: int = schema.integer(0, 2**53)
    summary: str = schema.text(r'(?s).{1,2000}')


@dataclass(frozen=True, slots=True)
class Head:
    """Number of a revision and the digest of each body by its name."""

    revision: int
    digests: dict[str, str]

    def encode(self) -> bytes:
        """Return the head as the store keeps it."""
        document = {'revision': self.revision, 'digests': self.digests}
        return json.dumps(document, sort_keys=True).encode()


def decode_head(data: bytes) -> Head:
    """Decode a head from the store.

    Raises
    ------
    ValueError
        If the bytes are not an encoded head.
    """
    try:
        document = json.loads(data)
        return Head(int(document['revision']), dict(document['digests']))
    except (KeyError, TypeError) as error:
        raise ValueError(f'not a head: {error!r}') from error


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A revision: its bodies and the configuration decoded from them."""

    revision: int
    head: Head = field(repr=False)
    bodies: dict[str, bytes] = field(repr=False)
    configuration: Configuration = field(repr=False)
    clients: client_map.ClientMap = field(repr=False)

    def document(self) -> dict[str, Any]:
        """Return the whole configuration as a plain document."""
        document = schema.dump(self.configuration)
        document['client_blocks'] = [
            schema.dump(block)
            for name in _chunk_names(self.bodies)
            for block in client_map.unpack_blocks(self.bodies[name])
        ]
        return document


def digest(body: bytes) -> str:
    """Return the digest that a head lists for a body."""
    return hashlib.sha256(body).hexdigest()[:32]


def encode_bodies(configuration: Configuration) -> dict[str, bytes]:
    """Split a configuration into the bodies of a revision.

    A whole configuration may be too large for one value of the store.
    """
    document = schema.dump(configuration)
    services = document.pop('services')
    document['client_blocks'] = []
    bodies = {_BASE_BODY: _encode_json(document)}
    for name, service in services.items():
        bodies[f'{_SERVICE_PREFIX}{name}'] = _encode_json(service)
    chunks = client_map.pack_blocks(configuration.client_blocks)
    for index, chunk in enumerate(chunks):
        bodies[f'{_CLIENT_BLOCKS_PREFIX}{index:05d}'] = chunk
    return bodies


def decode_snapshot(
    revision: int, bodies: dict[str, bytes], held: Snapshot | None = None
) -> Result[Snapshot, InvalidDocument]:
    """Decode and check the bodies of a revision.

    Parameters
    ----------
    bodies
        Every body of the revision by its name.
    held
        Earlier snapshot; its client map is reused when the client blocks
        are the same.
    """
    source = f'revision {revision}'
    try:
        document: dict[str, Any] = json.loads(bodies[_BASE_BODY])
        document['services'] = {
            name.removeprefix(_SERVICE_PREFIX): json.loads(body)
            for name, body in bodies.items()
            if name.startswith(_SERVICE_PREFIX)
        }
    except (KeyError, TypeError, ValueError) as error:
        cause = FieldError('(bodies)', repr(error))
        return Error(InvalidDocument(source, (cause,)))
    head = Head(revision, {n: digest(body) for n, body in bodies.items()})
    return read_configuration(document, source).map(
        lambda configuration: Snapshot(
            revision,
            head,
            bodies,
            configuration,
            _reuse_or_build_client_map(head, bodies, held),
        )
    )


def summarise(old: dict[str, bytes], new: dict[str, bytes]) -> str:
    """Return one line that names the added, changed and removed bodies."""
    added = sorted(set(new) - set(old))
    removed = sorted(set(old) - set(new))
    changed = sorted(n for n in set(old) & set(new) if old[n] != new[n])
    parts = []
    for word, names in (
        ('added', added),
        ('changed', changed),
        ('removed', removed),
    ):
        if names:
            parts.append(f'{word} {", ".join(names[:8])}')
            parts[-1] += ' ...' if len(names) > 8 else ''
    return '; '.join(parts) or 'no difference'


def _reuse_or_build_client_map(
    head: Head, bodies: dict[str, bytes], held: Snapshot | None
) -> client_map.ClientMap:
    names = _chunk_names(bodies)
    if held is not None and names == _chunk_names(held.bodies):
        blocks_unchanged = all(
            head.digests[name] == held.head.digests[name] for name in names
        )
        if blocks_unchanged:
            return held.clients
    return client_map.build_client_map(bodies[name] for name in names)


def _chunk_names(bodies: dict[str, bytes]) -> list[str]:
    return sorted(
        name for name in bodies if name.startswith(_CLIENT_BLOCKS_PREFIX)
    )


def _encode_json(document: Any) -> bytes:
    return json.dumps(document, sort_keys=True, separators=(',', ':')).encode()
