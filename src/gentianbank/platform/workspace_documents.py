"""Decoding of the workspaces in the operator's configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianbank.domain.errors import FieldError
from gentianbank.domain.workspaces import Workspace
from gentianbank.domain.workspaces import WorkspaceTable
from gentianbank.platform import credentials

if TYPE_CHECKING:
    from gentianbank.domain.workspaces import KeyDigest
    from gentianbank.platform.fields import Fields

WORKSPACES_FIELD = 'tenants'


def decode_workspaces(
    document: Fields, problems: list[FieldError]
) -> WorkspaceTable | None:
    """Decode the workspaces of a configuration.

    Returns
    -------
    WorkspaceTable or None
        ``None`` if the configuration has none, so that no key is asked for.
    """
    if not document.has(WORKSPACES_FIELD):
        return None
    by_key: dict[KeyDigest, Workspace | None] = {}
    has_all_keys = document.values(WORKSPACES_FIELD) is not None
    if not has_all_keys:
        # The value is not shown, as it may hold keys.
        cause = FieldError(WORKSPACES_FIELD, 'expected a list')
        problems.append(cause)
        return WorkspaceTable(by_key=by_key, has_all_keys=False)
    for item in document.objects(WORKSPACES_FIELD):
        workspace = _decode_workspace(item)
        digests = _decode_keys(item)
        has_all_keys = has_all_keys and None not in digests
        for digest in digests:
            if digest is None:
                continue
            if digest in by_key and by_key[digest] != workspace:
                item.reject('', 'a key is claimed by another workspace too')
                by_key[digest] = None
            else:
                by_key[digest] = workspace
        problems += item.errors
    return WorkspaceTable(by_key=by_key, has_all_keys=has_all_keys)


def _decode_workspace(raw: Fields) -> Workspace:
    """Decode a workspace.

    Without its name or its home regions it cannot be served. A cap or a
    priority that cannot be read is left out, as callers under the intended
    cap must not be refused.
    """
    name = raw.text('name')
    # The name is sent to targets in a header.
    if name and not (name.isascii() and name.isprintable()):
        raw.reject('name', 'expected printable ASCII characters')
    home_regions = frozenset(raw.texts('homeRegions'))
    is_usable = not raw.errors
    return Workspace(
        name=name,
        priority=int(raw.number('priority', 0)),
        rate_per_s=raw.number('ratePerS', 0),
        burst=raw.number('burst', 0),
        home_regions=home_regions,
        is_usable=is_usable,
    )


def _decode_keys(raw: Fields) -> list[KeyDigest | None]:
    """Return the digests of a workspace's keys; ``None`` for invalid ones.

    Errors do not show the values.
    """
    for name, read in (
        (credentials.DIGESTS_FIELD, credentials.parse_digest),
        (credentials.KEYS_FIELD, credentials.digest_text_key),
    ):
        if raw.has(name):
            values = raw.values(name)
            digests = [read(value) for value in values or ()]
            if values is None or None in digests:
                raw.reject(name, 'expected a list of keys')
                return [*digests, None]
            return digests
    return []
