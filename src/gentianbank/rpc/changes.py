"""Changes of the configuration that operators request."""

from __future__ import annotations

import asyncio
import copy
from dataclasses import dataclass
import time
from typing import Any
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.domain import revision as revisions
from gentianbank.domain.configuration import read_configuration
from gentianbank.domain.errors import FieldError
from gentianbank.domain.errors import InvalidDocument
from gentianbank.domain.errors import RevisionConflict
from gentianbank.domain.errors import StoreUnavailable
from gentianbank.storage.revisions import Change

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.domain.errors import ChangeError
    from gentianbank.domain.revision import Head
    from gentianbank.domain.revision import Snapshot
    from gentianbank.storage.revisions import RevisionStore

MAX_DRAIN_ATTEMPTS = 5
MAX_TEXT_LENGTH = 200
_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """A change that the store has accepted.

    Parameters
    ----------
    revision
        Revision that the change made.
    summary
        One line with the parts of the configuration that differ.
    """

    revision: int
    summary: str


@dataclass(frozen=True, slots=True)
class ChangeOrigin:
    """Origin of a change.

    Parameters
    ----------
    author
        Operator, for the audit trail.
    change_id
        Unique id; a change is accepted at most once under an id.
    """

    author: str
    change_id: str


class ConfigurationChanges:
    """Checks changes and writes them to the store.

    Parameters
    ----------
    store
        Accepted revisions.
    snapshot
        Returns the snapshot in force on this node.
    on_accepted
        Called with the head of each accepted change.
    """

    def __init__(
        self,
        store: RevisionStore,
        snapshot: Callable[[], Snapshot | None],
        on_accepted: Callable[[Head], None],
    ) -> None:
        self._store = store
        self._snapshot = snapshot
        self._on_accepted = on_accepted

    async def current(
        self,
    ) -> Result[Snapshot | None, InvalidDocument | StoreUnavailable]:
        """Return the accepted revision, read from the store.

        Only bodies that the snapshot of this node lacks are fetched.

        Returns
        -------
        Result
            ``None`` if there is no configuration yet.
        """
        match await self._store.read_head():
            case Result(tag='ok', ok=stored):
                head = stored.head
            case Result(error=error):
                return Error(error)
        if head.revision == 0:
            return Ok(None)
        held = self._snapshot()
        if held is not None and held.head == head:
            return Ok(held)
        bodies_by_digest = {}
        if held is not None:
            bodies_by_digest = {
                digest: held.bodies[name]
                for name, digest in held.head.digests.items()
            }
        bodies = {}
        for name, digest in head.digests.items():
            if digest not in bodies_by_digest:
                match await self._store.read_body(digest):
                    case Result(tag='ok', ok=body):
                        bodies_by_digest[digest] = body
                    case Result(error=error):
                        return Error(error)
            bodies[name] = bodies_by_digest[digest]
        return await asyncio.to_thread(
            revisions.decode_snapshot, head.revision, bodies, held
        )

    async def apply(
        self, document: Any, base_revision: int | None, origin: ChangeOrigin
    ) -> Result[AcceptedChange, ChangeError]:
        """Replace the configuration.

        Parameters
        ----------
        base_revision
            Revision that the change is based on; ``None`` means the
            current one. The change is refused if it is not current.
        """
        rejected = _check_origin(origin)
        if rejected is not None:
            return Error(rejected)
        match read_configuration(document, 'configuration'):
            case Result(tag='ok', ok=configuration):
                pass
            case Result(error=invalid):
                return Error(invalid)
        match await self.current():
            case Result(tag='ok', ok=current):
                pass
            case Result(error=error):
                return Error(error)
        before = current.bodies if current else {}
        revision = current.revision if current else 0
        bodies = await asyncio.to_thread(
            revisions.encode_bodies, configuration
        )
        return await self._accept(
            bodies,
            before,
            revision if base_revision is None else base_revision,
            origin,
        )

    async def set_draining(
        self, target: str, draining: bool, origin: ChangeOrigin
    ) -> Result[AcceptedChange, ChangeError]:
        """Start or end the drain of a target.

        The change is tried up to ``MAX_DRAIN_ATTEMPTS`` times, again whenever
        another change was accepted meanwhile.
        """
        rejected = _check_origin(origin)
        if rejected is not None:
            return Error(rejected)
        for _ in range(MAX_DRAIN_ATTEMPTS):
            match await self.current():
                case Result(tag='ok', ok=current):
                    pass
                case Result(error=error):
                    return Error(error)
            if current is None:
                return Error(
                    _invalid_field('target', 'there is no configuration yet')
                )
            document = copy.deepcopy(current.document())
            if not _set_target_draining(document, target, draining):
                return Error(
                    _invalid_field('target', f'unknown target {target!r}')
                )
            match read_configuration(document, 'configuration'):
                case Result(tag='ok', ok=configuration):
                    pass
                case Result(error=invalid):
                    return Error(invalid)
            bodies = revisions.encode_bodies(configuration)
            if bodies == current.bodies:
                return Ok(AcceptedChange(current.revision, 'no difference'))
            result = await self._accept(
                bodies, current.bodies, current.revision, origin
            )
            match result:
                case Result(tag='error', error=RevisionConflict()):
                    continue
            return result
        return result

    async def _accept(
        self,
        bodies: dict[str, bytes],
        before: dict[str, bytes],
        base_revision: int,
        origin: ChangeOrigin,
    ) -> Result[AcceptedChange, ChangeError]:
        summary = revisions.summarise(before, bodies)
        change = Change(
            change_id=origin.change_id,
            base_revision=base_revision,
            author=origin.author,
            summary=summary,
            time_ms=int(time.time() * _MS_PER_S),
            bodies=bodies,
        )
        result = await self._store.accept(change)
        match result:
            case Result(tag='ok', ok=revision):
                digests = {n: revisions.digest(b) for n, b in bodies.items()}
                self._on_accepted(revisions.Head(revision, digests))
        return result.map(lambda revision: AcceptedChange(revision, summary))


def _set_target_draining(
    document: dict[str, Any], target: str, draining: bool
) -> bool:
    for service in document['services'].values():
        for place in service['places']:
            for item in place['targets']:
                if item['name'] == target:
                    item['draining'] = draining
                    return True
    return False


def _check_origin(origin: ChangeOrigin) -> InvalidDocument | None:
    for name, value in (
        ('author', origin.author),
        ('change_id', origin.change_id),
    ):
        if not 1 <= len(value) <= MAX_TEXT_LENGTH or '\n' in value:
            return _invalid_field(
                name, f'expected 1 to {MAX_TEXT_LENGTH} characters'
            )
    return None


def _invalid_field(path: str, cause: str) -> InvalidDocument:
    return InvalidDocument('request', (FieldError(path, cause),))
