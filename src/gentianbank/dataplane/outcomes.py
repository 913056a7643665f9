"""Admission of requests that may run at most once.

Only the incarnation that owns a key sends its request. A scoped key names
its owner; an opaque key is owned by the incarnation that has claimed it in
the store. A node that receives a key of another incarnation asks the owner
or, after a graceful shutdown of the owner, the heir that took its outcomes
over. If neither answers, it tells the caller that the outcome is unknown.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.dataplane.refusal import Refusal
from gentianbank.dataplane.refusal import RefusalKind
from gentianbank.domain.outcome import Answered
from gentianbank.domain.outcome import Mismatch
from gentianbank.domain.outcome import NotRun
from gentianbank.domain.outcome import Outcome
from gentianbank.domain.outcome import OutcomeTable
from gentianbank.domain.outcome import OwnedElsewhere
from gentianbank.domain.outcome import Pending
from gentianbank.domain.outcome import SendPermission
from gentianbank.domain.outcome import Unknown
from gentianbank.domain.request_key import OpaqueKey
from gentianbank.domain.request_key import RequestKey
from gentianbank.domain.request_key import ScopedKey

if TYPE_CHECKING:
    from gentianbank.storage.claims import Claim
    from gentianbank.storage.claims import ClaimStore

_MS_PER_S = 1_000

KeyReport = Outcome | Pending | Mismatch
# Asks the node that answers for an incarnation for the outcome of a key, with
# the fingerprint of the request and a timeout in milliseconds; returns None
# when there is no answer.
AskOwner = Callable[[str, RequestKey, str, float], Awaitable[KeyReport | None]]
AdmitResult = SendPermission | Answered


@dataclass(frozen=True, slots=True)
class AdoptedOutcomes:
    """Outcomes taken over from an incarnation that shut down gracefully.

    Parameters
    ----------
    oldest_epoch
        Oldest epoch whose outcomes are complete.
    complete
        Whether every batch of the handover has arrived. From then on, a
        key of a retained epoch that is missing was never sent.
    outcomes
        Fingerprint and outcome of each key.
    """

    incarnation: str
    oldest_epoch: int
    outcomes: dict[RequestKey, tuple[str, Outcome]]
    complete: bool

    def find(self, key: RequestKey, fingerprint: str) -> KeyReport:
        """Return the outcome of a key of the stopped incarnation."""
        held = self.outcomes.get(key)
        if held is None:
            if not self.complete:
                return Unknown('its outcome is being handed over')
            if isinstance(key, ScopedKey) and key.epoch >= self.oldest_epoch:
                return NotRun('never sent', sealed=True)
            return Unknown('its outcome was dropped')
        return held[1] if held[0] == fingerprint else Mismatch()


@dataclass(slots=True)
class KeyAdmission:
    """Admits requests by their keys and records their outcomes.

    Parameters
    ----------
    table
        Outcomes of this incarnation.
    claims
        Claims on opaque keys, in the store.
    ask_owner
        Asks the node that answers for another incarnation.
    clock
        Returns the time since this process started, in milliseconds.
    """

    table: OutcomeTable
    claims: ClaimStore
    ask_owner: AskOwner
    clock: Callable[[], float]
    _adopted: dict[str, AdoptedOutcomes] = field(default_factory=dict)
    _waiters: dict[RequestKey, list[asyncio.Future[KeyReport]]] = field(
        default_factory=dict
    )

    async def admit(
        self, key: RequestKey, fingerprint: str, timeout_ms: float
    ) -> Result[AdmitResult, Refusal]:
        """Admit a request, or return the outcome of an earlier one.

        Parameters
        ----------
        timeout_ms
            Longest wait for an earlier request that is still running, or
            for the report of another node.
        """
        match self.table.begin(key, fingerprint, self.clock()):
            case SendPermission() as permission:
                if isinstance(key, OpaqueKey):
                    return await self._claim(
                        key, fingerprint, permission, timeout_ms
                    )
                return Ok(permission)
            case Pending():
                return await self._wait_for_report(key, timeout_ms)
            case OwnedElsewhere(incarnation):
                report = await self._report_of_owner(
                    incarnation, key, fingerprint, timeout_ms
                )
                return _to_admit_result(report)
            case NotRun() if isinstance(key, OpaqueKey):
                return await self._follow_claim(key, fingerprint, timeout_ms)
            case Mismatch() | Answered() | NotRun() | Unknown() as report:
                return _to_admit_result(report)

    def finish(self, key: RequestKey, outcome: Outcome) -> None:
        """Record the outcome of a key and wake the requests waiting for it."""
        self.table.finish(key, outcome)
        self._wake_waiters(key, outcome)

    def adopt(self, adopted: AdoptedOutcomes) -> None:
        """Add a batch of outcomes of a node that shuts down gracefully."""
        held = self._adopted.get(adopted.incarnation)
        if held is not None:
            adopted.outcomes.update(held.outcomes)
        self._adopted[adopted.incarnation] = adopted

    def report(self, key: RequestKey, fingerprint: str) -> KeyReport:
        """Return the outcome of a key, on behalf of another node.

        A key that this incarnation is known not to have sent is sealed: it
        will not be sent from here later.
        """
        adopted = self._find_adopted(key)
        if adopted is not None:
            return adopted.find(key, fingerprint)
        if (
            isinstance(key, ScopedKey)
            and key.incarnation != self.table.incarnation
        ):
            return Unknown('the key belongs to another node')
        return self.table.seal(key, fingerprint, self.clock())

    def refuse_unadmitted(
        self, key: RequestKey | None, refusal: Refusal
    ) -> Refusal:
        """Return the refusal to send if the key has not been admitted.

        This request has not run, but an earlier one with the same key may
        have. Unless this node can rule that out, the refusal says that the
        outcome is unknown.
        """
        if key is None or refusal.kind.may_have_run:
            return refusal
        if (
            isinstance(key, ScopedKey)
            and key.incarnation == self.table.incarnation
            and key.epoch >= self.table.oldest_epoch
            and not self.table.has_entry(key)
        ):
            return refusal
        cause = f'{refusal.cause}; an earlier try may have run'
        return Refusal(RefusalKind.KEY_UNRESOLVED, cause)

    def _find_adopted(self, key: RequestKey) -> AdoptedOutcomes | None:
        if isinstance(key, ScopedKey):
            return self._adopted.get(key.incarnation)
        for adopted in self._adopted.values():
            if key in adopted.outcomes:
                return adopted
        return None

    async def _report_of_owner(
        self,
        incarnation: str,
        key: RequestKey,
        fingerprint: str,
        timeout_ms: float,
    ) -> KeyReport:
        adopted = self._adopted.get(incarnation)
        if adopted is not None:
            return adopted.find(key, fingerprint)
        report = await self.ask_owner(
            incarnation, key, fingerprint, timeout_ms
        )
        return report or Unknown('the node that owns the key does not answer')

    async def _wait_for_report(
        self, key: RequestKey, timeout_ms: float
    ) -> Result[AdmitResult, Refusal]:
        waiter: asyncio.Future[KeyReport] = asyncio.Future()
        self._waiters.setdefault(key, []).append(waiter)
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                return _to_admit_result(await waiter)
        except TimeoutError:
            return _to_admit_result(Pending())

    async def _claim(
        self,
        key: OpaqueKey,
        fingerprint: str,
        permission: SendPermission,
        timeout_ms: float,
    ) -> Result[AdmitResult, Refusal]:
        """Claim an opaque key in the store before its request is sent."""
        match await self.claims.claim(key):
            case Result(tag='ok', ok=claim):
                pass
            case Result(error=error):
                return self._end_unsent(key, Unknown(str(error)))
        if claim.written_by_this_call:
            return Ok(permission)
        if claim.incarnation == self.table.incarnation:
            if permission.is_retry:
                return Ok(permission)
            outcome = Unknown('the outcome of this key is not held any more')
            self.finish(key, outcome)
            return _to_admit_result(outcome)
        return await self._resolve_claim(key, fingerprint, claim, timeout_ms)

    async def _resolve_claim(
        self,
        key: OpaqueKey,
        fingerprint: str,
        claim: Claim,
        timeout_ms: float,
    ) -> Result[AdmitResult, Refusal]:
        """Ask the incarnation that holds the claim on a key.

        If it reports that the request has not run, it never sends it later
        either, so this node takes the claim over and may send the request.
        """
        report = await self._report_of_owner(
            claim.incarnation, key, fingerprint, timeout_ms
        )
        if not isinstance(report, NotRun):
            return self._end_unsent(key, report)
        match await self.claims.take_over(key, claim):
            case Result(tag='ok', ok=taken) if taken.written_by_this_call:
                return Ok(SendPermission())
        return self._end_unsent(key, Unknown('the key moved to another node'))

    async def _follow_claim(
        self, key: OpaqueKey, fingerprint: str, timeout_ms: float
    ) -> Result[AdmitResult, Refusal]:
        """Ask the node that may have taken over the claim on a sealed key.

        By sealing the key, this incarnation promised another node never to
        send the request. That node may have sent it since, so the outcome
        recorded here no longer holds.
        """
        match await self.claims.claim(key):
            case Result(tag='ok', ok=claim):
                pass
            case Result(error=error):
                return _to_admit_result(Unknown(str(error)))
        report: KeyReport = NotRun('sealed')
        if claim.incarnation != self.table.incarnation:
            report = await self._report_of_owner(
                claim.incarnation, key, fingerprint, timeout_ms
            )
        if isinstance(report, NotRun):
            # The holder of the claim has sealed the key. Another node may
            # take the claim over and still run the request.
            report = Unknown('the key moves to another node')
        return _to_admit_result(report)

    def _end_unsent(
        self, key: OpaqueKey, report: KeyReport
    ) -> Result[AdmitResult, Refusal]:
        """End a request that was begun here but not sent.

        The table records that this node sent nothing. The request may still
        have run on another node, so the requests that wait for this key get
        the report rather than that record.
        """
        if isinstance(report, Answered):
            self.table.finish(key, report)
        else:
            self.table.finish(key, NotRun('not sent by this node'))
        self._wake_waiters(key, report)
        return _to_admit_result(report)

    def _wake_waiters(self, key: RequestKey, report: KeyReport) -> None:
        for waiter in self._waiters.pop(key, ()):
            if not waiter.done():
                waiter.set_result(report)


def _to_admit_result(report: KeyReport) -> Result[AdmitResult, Refusal]:
    match report:
        case Answered(body=None):
            return _refuse(
                RefusalKind.NOT_RETAINED,
                f'it ran with status {report.status}, but the answer was too '
                'large to retain',
            )
        case Answered():
            return Ok(report)
        case NotRun(cause, sealed):
            hint = '; use a new key' if sealed else ''
            return _refuse(RefusalKind.OVERLOADED, f'{cause}{hint}')
        case Mismatch():
            return _refuse(
                RefusalKind.KEY_REUSED,
                'the key was used before for a different request',
            )
        case Pending():
            return _refuse(
                RefusalKind.KEY_UNRESOLVED, 'an earlier try is still running'
            )
        case Unknown(cause):
            return _refuse(RefusalKind.KEY_UNRESOLVED, cause)


def _refuse(kind: RefusalKind, cause: str) -> Result[AdmitResult, Refusal]:
    return Error(Refusal(kind, cause))
