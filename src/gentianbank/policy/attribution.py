"""Attribution of a request to a workspace by its key."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gentianbank.domain.workspaces import KeyDigest
    from gentianbank.domain.workspaces import Workspace
    from gentianbank.domain.workspaces import WorkspaceTable


@dataclass(frozen=True, slots=True)
class Attributed:
    """The request may be served.

    Parameters
    ----------
    workspace
        Workspace of the key; ``None`` if there is none on a public route.
    """

    workspace: Workspace | None


@dataclass(frozen=True, slots=True)
class UnknownKey:
    """No workspace holds the key; asking again would not help."""


@dataclass(frozen=True, slots=True)
class UndecidedKey:
    """This node cannot tell whether the key is valid, but may later.

    A caller never retries a request after it was told that its key is
    unknown, so that must not be said on a guess.
    """

    cause: str


AttributionResult = Attributed | UnknownKey | UndecidedKey


@dataclass(frozen=True, slots=True, kw_only=True)
class CopyAge:
    """How current a node's copy of the configuration is.

    Parameters
    ----------
    is_current
        Whether no newer configuration can have been missed for long.
    is_expired
        Whether keys must not be honored any more, since one may have been
        withdrawn meanwhile.
    """

    is_current: bool
    is_expired: bool = False


def attribute(
    workspaces: WorkspaceTable,
    key: KeyDigest | None,
    copy: CopyAge,
    *,
    is_public: bool,
) -> AttributionResult:
    """Decide to which workspace a request belongs.

    Parameters
    ----------
    key
        Digest of the key; ``None`` if the request has no readable key.
    is_public
        Whether the route takes requests without a key.
    """
    if key is None:
        return Attributed(None) if is_public else UnknownKey()
    if key not in workspaces.by_key:
        if is_public:
            return Attributed(None)
        if copy.is_current and workspaces.has_all_keys:
            return UnknownKey()
        return UndecidedKey('the key may be newer than the configuration')
    workspace = workspaces.by_key[key]
    if is_public and workspace is None:
        return Attributed(None)
    if copy.is_expired:
        return UndecidedKey('the configuration may be outdated')
    if workspace is None:
        return UndecidedKey('several workspaces claim the key')
    if not workspace.is_usable:
        return UndecidedKey('the workspace cannot be read')
    return Attributed(workspace)
