"""Revisions of the configuration in the platform's store.

A change is accepted in two steps: first its bodies are written under their
digests, then one transaction replaces the head by compare-and-swap and adds
the audit entry.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import json
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.domain import revision as revisions
from gentianbank.domain import schema
from gentianbank.domain.errors import ChangeError
from gentianbank.domain.errors import ChangeOutcomeUnknown
from gentianbank.domain.errors import RevisionConflict
from gentianbank.domain.errors import StoreUnavailable
from gentianbank.domain.errors import ValueTooLarge
from gentianbank.domain.revision import AuditEntry
from gentianbank.domain.revision import Head
from gentianbank.storage.store import Expected
from gentianbank.storage.store import MAX_VALUE_BYTES
from gentianbank.storage.store import Put

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from gentianbank.storage.store import Store
    from gentianbank.storage.store import StoredValue

ACCEPT_ATTEMPTS = 6
ACCEPT_RETRY_DELAY_S = 0.25
_REVISION_DIGITS = 16


@dataclass(frozen=True, slots=True)
class StoredHead:
    """The head of the accepted revision, as read from the store.

    Parameters
    ----------
    mod_revision
        Revision of the store at which the head was written; 0 if there is
        no head yet.
    """

    head: Head
    mod_revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A change that an operator asks for.

    Parameters
    ----------
    change_id
        Unique id, by which the change is found in the audit trail when the
        store's answer was lost.
    base_revision
        Revision that the change is based on.
    bodies
        Every body of the new revision, by name.
    """

    change_id: str
    base_revision: int
    author: str
    summary: str
    time_ms: int
    bodies: dict[str, bytes]


class RevisionStore:
    """Reads revisions from the store and has it accept changes."""

    def __init__(self, store: Store, key_prefix: str) -> None:
        self._store = store
        self._head_key = f'{key_prefix}/head'
        self._body_prefix = f'{key_prefix}/body/'
        self._audit_prefix = f'{key_prefix}/audit/'

    async def read_head(self) -> Result[StoredHead, StoreUnavailable]:
        """Return the accepted head; revision 0 before the first change."""
        answer = await self._store.get(self._head_key)
        return answer.bind(_decode_head)

    async def read_body(self, digest: str) -> Result[bytes, StoreUnavailable]:
        """Return a body after verifying that it matches its digest."""
        answer = await self._store.get(f'{self._body_prefix}{digest}')
        return answer.bind(lambda value: _verify_body(value, digest))

    async def read_history(
        self, limit: int
    ) -> Result[list[AuditEntry], StoreUnavailable]:
        """Return the latest audit entries, newest first."""
        first, end = self._audit_key(0), f'{self._audit_prefix}~'
        answer = await self._store.get_range(
            first, end, limit, descending=True
        )
        return answer.map(_decode_audit_entries)

    async def accept(self, change: Change) -> Result[int, ChangeError]:
        """Accept a change if its base is still the current revision.

        Failed store calls are retried. When an answer of the store was
        lost, the change is looked up in the audit trail by its id, so that
        it is accepted at most once.

        Returns
        -------
        Result
            The accepted revision.
        """
        for key, body in change.bodies.items():
            if len(body) > MAX_VALUE_BYTES:
                return Error(ValueTooLarge(key, len(body), MAX_VALUE_BYTES))
        stored_digests: set[str] = set()
        cause = StoreUnavailable('not tried')
        swap_attempted = False
        for attempt in range(ACCEPT_ATTEMPTS):
            await asyncio.sleep(ACCEPT_RETRY_DELAY_S * min(attempt, 4))
            match await self.read_head():
                case Result(tag='ok', ok=current):
                    pass
                case Result(error=cause):
                    continue
            if current.head.revision != change.base_revision:
                return await self._resolve_acceptance(change, current)
            match await self._write_bodies(change, current, stored_digests):
                case Result(tag='error', error=cause):
                    continue
            swap_attempted = True
            match await self._swap_head(change, current):
                case Result(tag='ok', ok=True):
                    return Ok(change.base_revision + 1)
                case Result(tag='error', error=cause):
                    continue
        if swap_attempted:
            return Error(ChangeOutcomeUnknown(change.change_id, cause.cause))
        return Error(cause)

    async def watch(self, after_mod_revision: int) -> AsyncIterator[Head]:
        """Yield accepted heads until the connection to the store fails."""
        values = self._store.watch(self._head_key, after_mod_revision)
        async for value in values:
            match _decode_head(value):
                case Result(tag='ok', ok=stored):
                    yield stored.head

    async def _write_bodies(
        self, change: Change, current: StoredHead, stored_digests: set[str]
    ) -> Result[bool, StoreUnavailable]:
        stored_digests.update(current.head.digests.values())
        for body in change.bodies.values():
            digest = revisions.digest(body)
            if digest in stored_digests:
                continue
            put = Put(f'{self._body_prefix}{digest}', body)
            match await self._store.commit(None, [put]):
                case Result(tag='error', error=error):
                    return Error(error)
            stored_digests.add(digest)
        return Ok(True)

    async def _swap_head(
        self, change: Change, current: StoredHead
    ) -> Result[bool, StoreUnavailable]:
        revision = change.base_revision + 1
        digests = {
            name: revisions.digest(body)
            for name, body in change.bodies.items()
        }
        entry = AuditEntry(
            revision=revision,
            base_revision=change.base_revision,
            change_id=change.change_id,
            author=change.author,
            time_ms=change.time_ms,
            summary=change.summary,
        )
        head = Head(revision, digests).encode()
        audit = json.dumps(schema.dump(entry)).encode()
        return await self._store.commit(
            Expected(self._head_key, current.mod_revision),
            [Put(self._head_key, head), Put(self._audit_key(revision), audit)],
        )

    async def _resolve_acceptance(
        self, change: Change, current: StoredHead
    ) -> Result[int, ChangeError]:
        """Return the revision of the change if it was accepted.

        The head is not at the base any more: either an earlier attempt of
        this change was accepted and its answer lost, or another change was
        accepted first, which is a conflict.
        """
        key = self._audit_key(change.base_revision + 1)
        match await self._store.get(key):
            case Result(tag='error', error=error):
                cause = ChangeOutcomeUnknown(change.change_id, error.cause)
                return Error(cause)
            case Result(ok=value):
                entries = _decode_audit_entries([value] if value else [])
        if entries and entries[0].change_id == change.change_id:
            return Ok(entries[0].revision)
        return Error(
            RevisionConflict(
                change.base_revision,
                current.head.revision,
                entries[0].author if entries else 'unknown',
                entries[0].summary if entries else 'unknown',
            )
        )

    def _audit_key(self, revision: int) -> str:
        return f'{self._audit_prefix}{revision:0{_REVISION_DIGITS}d}'


def _decode_head(
    value: StoredValue | None,
) -> Result[StoredHead, StoreUnavailable]:
    if value is None:
        return Ok(StoredHead(Head(0, {}), 0))
    try:
        head = revisions.decode_head(value.value)
    except ValueError as error:
        return Error(StoreUnavailable(str(error)))
    return Ok(StoredHead(head, value.mod_revision))


def _verify_body(
    value: StoredValue | None, digest: str
) -> Result[bytes, StoreUnavailable]:
    if value is None or revisions.digest(value.value) != digest:
        return Error(StoreUnavailable(f'body {digest} is missing or altered'))
    return Ok(value.value)


def _decode_audit_entries(values: list[StoredValue]) -> list[AuditEntry]:
    entries = []
    for value in values:
        match schema.read(AuditEntry, json.loads(value.value), value.key):
            case Result(tag='ok', ok=entry):
                entries.append(entry)
    return entries
