"""What nodes and owners tell each other about usage caps."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Want:
    """One workspace in an ask.

    Parameters
    ----------
    tokens
        Tokens that the node asks for.
    part_age_ms
        Time since the node last used its equal part; ``None`` if that is
        longer ago than a window.
    """

    workspace: str
    tokens: int
    part_age_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Ask:
    """A message of a node to an owner.

    Parameters
    ----------
    sent_ms
        Time at the node; the grant repeats it.
    stamp_ms
        Newest time of the owner that the node has received; 0 for none.
    digest
        Digest of the node's set of owners.
    uptime_ms
        Time since the node started, after which its parts are free.
    """

    sent_ms: float
    stamp_ms: float
    digest: int
    uptime_ms: float
    wants: tuple[Want, ...] = ()


@dataclass(frozen=True, slots=True)
class Granted:
    """Tokens for one workspace.

    Parameters
    ----------
    wait_ms
        Time until the owner may have a token; 0 if all were granted.
    """

    workspace: str
    tokens: int
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Grant:
    """An owner's answer to an ask.

    Parameters
    ----------
    sent_ms
        Time at the node at which it asked.
    stamp_ms
        Time at the owner.
    digest
        Digest of the owner's set of owners.
    valid_ms
        Time after ``sent_ms`` at which the tokens expire.
    promise_ms
        Time for which the node does not use its equal parts.
    inactive
        Workspaces of this owner for which it does not act yet.
    is_leaving
        Whether the owner shuts down; others take over.
    """

    sent_ms: float
    stamp_ms: float
    digest: int
    valid_ms: float
    promise_ms: float
    granted: tuple[Granted, ...] = ()
    inactive: tuple[str, ...] = ()
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class Offer:
    """An owner that stops acting offers its buckets to the next owner.

    Parameters
    ----------
    is_leaving
        Whether the sender shuts down.
    """

    workspaces: tuple[str, ...]
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """The next owner asks for offered buckets.

    Parameters
    ----------
    sent_ms
        Time at the next owner; the handover repeats it, so that a handover
        that was delayed is not used.
    """

    sent_ms: float
    workspaces: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Handover:
    """The levels of buckets that the sender gave up with this message."""

    sent_ms: float
    levels: dict[str, float]


@dataclass(frozen=True, slots=True)
class FleetView:
    """What a node knows of the fleet from the store.

    Parameters
    ----------
    registered
        Nodes with an entry now.
    members
        Nodes that may be sending, with persistent entries included.
    heard_ms
        Time of the store's last answer, on the clock that includes
        suspended time.
    """

    registered: frozenset[str]
    members: frozenset[str]
    heard_ms: float
