"""Assembly of configuration revisions from change sets and bodies."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gentianbank.control.messages import ChangeSet
from gentianbank.domain import revision as revisions

if TYPE_CHECKING:
    from gentianbank.domain.revision import Head
    from gentianbank.domain.revision import Snapshot

# Total size of the bodies that one change set carries.
MAX_INLINE_BYTES = 256 * 1024
CHANGE_LOG_LENGTH = 64


@dataclass(slots=True)
class RevisionAssembly:
    """A revision that is being assembled; bodies may be missing.

    Parameters
    ----------
    digests
        Digest of each body of the revision, by body name.
    install_requested
        The complete revision was passed on for installation.
    """

    revision: int
    digests: dict[str, str]
    _held_bodies: dict[str, bytes] = field(default_factory=dict)
    install_requested: bool = False

    @classmethod
    def from_head(
        cls, head: Head, snapshot: Snapshot | None
    ) -> RevisionAssembly:
        """Start from a complete head and the bodies of a snapshot.

        Bodies of the snapshot that the new revision shares are reused.
        """
        assembly = cls(head.revision, dict(head.digests))
        if snapshot is not None:
            assembly._add_verified(
                {
                    digest: snapshot.bodies[name]
                    for name, digest in snapshot.head.digests.items()
                }
            )
        return assembly

    @classmethod
    def from_change_set(
        cls,
        change: ChangeSet,
        snapshot: Snapshot | None,
        pending: RevisionAssembly | None,
    ) -> RevisionAssembly | None:
        """Apply a change set to the revision that it is based on.

        The base is the pending assembly or the snapshot. A complete change
        set needs none.

        Returns
        -------
        RevisionAssembly | None
            ``None`` if the base of the change set is not held.
        """
        base: dict[str, str] = {}
        if change.base_revision:
            if pending and pending.revision == change.base_revision:
                base = pending.digests
            elif snapshot and snapshot.revision == change.base_revision:
                base = snapshot.head.digests
            else:
                return None
        digests = {**base, **change.digests}
        for name in change.removed:
            digests.pop(name, None)
        head = revisions.Head(change.revision, digests)
        assembly = cls.from_head(head, snapshot)
        if pending is not None:
            assembly._add_verified(pending._held_bodies)
        assembly.add(change.bodies)
        return assembly

    @property
    def missing(self) -> set[str]:
        """Return the digests of the missing bodies."""
        return set(self.digests.values()) - set(self._held_bodies)

    def add(self, bodies: dict[str, bytes]) -> None:
        """Add the bodies that belong to the revision.

        Bodies that do not match their digests are ignored.
        """
        wanted = set(self.digests.values())
        for digest, body in bodies.items():
            if digest in wanted and revisions.digest(body) == digest:
                self._held_bodies[digest] = body

    def bodies(self) -> dict[str, bytes]:
        """Return the bodies by name; none may be missing."""
        return {
            name: self._held_bodies[digest]
            for name, digest in self.digests.items()
        }

    def _add_verified(self, held: dict[str, bytes]) -> None:
        """Add bodies whose digests were verified earlier."""
        wanted = set(self.digests.values())
        for digest, body in held.items():
            if digest in wanted:
                self._held_bodies[digest] = body


@dataclass(slots=True)
class ChangeLog:
    """The latest change sets, for peers that are a few revisions behind.

    The base of each change set is the revision of the one before.
    """

    _changes: list[ChangeSet] = field(default_factory=list)

    def append(self, old: Snapshot | None, new: Snapshot) -> ChangeSet | None:
        """Record and return the change set between two snapshots.

        Without an old snapshot the log is cleared and the result is
        ``None``.
        """
        if old is None:
            self._changes.clear()
            return None
        change = _change_between(old, new)
        self._changes = [*self._changes[-CHANGE_LOG_LENGTH + 1 :], change]
        return change

    def since(self, revision: int, snapshot: Snapshot) -> ChangeSet:
        """Return the change set that leads from a revision to the snapshot.

        It has the newest bodies only. If the log does not reach back to the
        revision, it is complete.
        """
        for index, change in enumerate(self._changes):
            if change.base_revision == revision:
                return _merge(self._changes[index:], snapshot)
        return full_change_set(snapshot)


def _merge(changes: list[ChangeSet], snapshot: Snapshot) -> ChangeSet:
    """Return one change set for several that follow each other.

    Parameters
    ----------
    snapshot
        The revision to which the changes lead.
    """
    digests: dict[str, str] = {}
    removed: set[str] = set()
    for change in changes:
        removed -= set(change.digests)
        removed |= set(change.removed)
        digests |= change.digests
        for name in change.removed:
            digests.pop(name, None)
    return ChangeSet(
        base_revision=changes[0].base_revision,
        revision=snapshot.revision,
        digests=digests,
        removed=tuple(sorted(removed)),
        bodies=_inline_bodies(digests, snapshot),
    )


def _change_between(old: Snapshot, new: Snapshot) -> ChangeSet:
    before, after = old.head.digests, new.head.digests
    changed = {n: d for n, d in after.items() if before.get(n) != d}
    return ChangeSet(
        base_revision=old.revision,
        revision=new.revision,
        digests=changed,
        removed=tuple(sorted(set(before) - set(after))),
        bodies=_inline_bodies(changed, new),
    )


def full_change_set(snapshot: Snapshot) -> ChangeSet:
    """Return a change set that holds the complete revision."""
    digests = snapshot.head.digests
    return ChangeSet(
        base_revision=0,
        revision=snapshot.revision,
        digests=digests,
        removed=(),
        bodies=_inline_bodies(digests, snapshot),
    )


def _inline_bodies(
    digests: dict[str, str], snapshot: Snapshot
) -> dict[str, bytes]:
    """Return the bodies that fit into a change set, by digest.

    A receiver asks for those left out with a body request.
    """
    bodies: dict[str, bytes] = {}
    remaining_bytes = MAX_INLINE_BYTES
    for name, digest in digests.items():
        body = snapshot.bodies[name]
        if len(body) <= remaining_bytes:
            bodies[digest] = body
            remaining_bytes -= len(body)
    return bodies
