"""Requests between nodes for outcomes, handovers of outcomes, and loans."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging
from expression import Result

from gentianbank.control.messages import HandedOverOutcome
from gentianbank.control.messages import Handover
from gentianbank.control.messages import HandoverReply
from gentianbank.control.messages import LoanReply
from gentianbank.control.messages import LoanRequest
from gentianbank.control.messages import Message
from gentianbank.control.messages import OutcomeReply
from gentianbank.control.messages import OutcomeRequest
from gentianbank.control.wire_outcomes import decode_outcome
from gentianbank.control.wire_outcomes import encode_outcome
from gentianbank.dataplane.outcomes import AdoptedOutcomes
from gentianbank.dataplane.outcomes import KeyReport
from gentianbank.domain.outcome import Outcome
from gentianbank.domain.request_key import OpaqueKey
from gentianbank.domain.request_key import parse_key
from gentianbank.domain.request_key import RequestKey

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gentianbank.control.loans import RegionBudgetLender
    from gentianbank.control.peers import PeerConnections
    from gentianbank.control.state import ControlState
    from gentianbank.dataplane.outcomes import KeyAdmission

HANDOVER_BATCH_SIZE = 100
# A message of this size arrives well within the timeout on any link.
HANDOVER_BATCH_BYTES = 256 * 1024
HANDOVER_TIMEOUT_MS = 2_000
MAX_HANDOVER_PEERS = 3
MAX_OWNER_TIMEOUT_MS = 10_000
_UNSCOPED = 'unscoped'


class PeerRequests:
    """Sends requests to other nodes and answers theirs.

    Parameters
    ----------
    state
        What this node knows of the other nodes.
    keeper
        Lends parts of the budgets that this node keeps.
    """

    def __init__(
        self, state: ControlState, keeper: RegionBudgetLender
    ) -> None:
        self._state = state
        self._keeper = keeper
        self._peers: PeerConnections
        self._key_admission: KeyAdmission

    def attach(
        self, peers: PeerConnections, key_admission: KeyAdmission
    ) -> None:
        """Set the connections to peers and the outcomes of this node.

        This must be called before any request is sent or answered.
        """
        self._peers = peers
        self._key_admission = key_admission

    async def answer(self, vm: str, message: Message) -> Message | None:
        """Answer a request of another node.

        Returns
        -------
        Message or None
            ``None`` if the request is invalid or of an unexpected type.
        """
        match message:
            case LoanRequest():
                return self._answer_loan_request(vm, message)
            case OutcomeRequest():
                return self._answer_outcome_request(message)
            case Handover():
                return self._answer_handover(message)
        logging.warning(
            'peer %s sent an unexpected %s', vm, type(message).__name__
        )
        return None

    async def ask_owner(
        self,
        incarnation: str,
        key: RequestKey,
        fingerprint: str,
        timeout_ms: float,
    ) -> KeyReport | None:
        """Ask the node that holds the outcomes of an incarnation.

        Parameters
        ----------
        incarnation
            Incarnation that owns the key.
        fingerprint
            Digest of the request that the key was used with.
        timeout_ms
            Timeout, which is capped at ``MAX_OWNER_TIMEOUT_MS``.

        Returns
        -------
        Report or None
            ``None`` if there is no other node to ask or it does not answer.
        """
        owner = self._state.members.outcome_owner_of(incarnation)
        if owner is None or owner.vm == self._state.me.vm:
            return None
        service, value = _encode_key(key)
        request = OutcomeRequest(
            request_id=0, service=service, key=value, fingerprint=fingerprint
        )
        match await self._peers.request(
            owner.vm,
            owner.peer,
            request,
            min(timeout_ms, MAX_OWNER_TIMEOUT_MS),
        ):
            case Result(tag='ok', ok=OutcomeReply(outcome=outcome)):
                return decode_outcome(outcome)
        return None

    async def hand_over(self) -> str:
        """Hand the outcomes over to a ready peer.

        Peers of the same region are tried first.

        Returns
        -------
        str
            VM of the peer, the heir; empty if no peer took the outcomes.
        """
        ready = [
            member
            for member in self._state.members.ready()
            if member.vm != self._state.me.vm
        ]
        ready.sort(key=lambda m: (m.region != self._state.me.region, m.vm))
        for member in ready[:MAX_HANDOVER_PEERS]:
            if await self._hand_over_to(member.vm, member.peer):
                return member.vm
        return ''

    async def _hand_over_to(self, vm: str, address: str) -> bool:
        table = self._key_admission.table
        outcomes = [
            HandedOverOutcome(
                service=_encode_key(key)[0],
                key=_encode_key(key)[1],
                fingerprint=fingerprint,
                outcome=encode_outcome(outcome),
            )
            for key, fingerprint, outcome in table.items()
        ]
        # An empty handover is sent, too: it tells the heir that the outcomes
        # of this incarnation are complete.
        batches = split_outcomes(outcomes) or [()]
        for number, batch in enumerate(batches, start=1):
            message = Handover(
                request_id=0,
                incarnation=table.incarnation,
                oldest_epoch=table.oldest_epoch,
                last=number == len(batches),
                outcomes=batch,
            )
            match await self._peers.request(
                vm, address, message, HANDOVER_TIMEOUT_MS
            ):
                case Result(tag='ok', ok=HandoverReply()):
                    continue
            return False
        return True

    def _answer_loan_request(self, vm: str, message: LoanRequest) -> Message:
        member = self._state.members.get(vm)
        borrower = member.incarnation if member else vm
        amount = self._keeper.lend(borrower, message.budget, message.wanted)
        return LoanReply(request_id=message.request_id, amount=float(amount))

    def _answer_outcome_request(
        self, message: OutcomeRequest
    ) -> Message | None:
        key = _decode_key(message.service, message.key)
        if key is None:
            return None
        report = self._key_admission.report(key, message.fingerprint)
        return OutcomeReply(
            request_id=message.request_id, outcome=encode_outcome(report)
        )

    def _answer_handover(self, message: Handover) -> Message:
        outcomes = {}
        for item in message.outcomes:
            key = _decode_key(item.service, item.key)
            report = decode_outcome(item.outcome)
            if key is not None and isinstance(report, Outcome):
                outcomes[key] = (item.fingerprint, report)
        self._key_admission.adopt(
            AdoptedOutcomes(
                message.incarnation,
                message.oldest_epoch,
                outcomes,
                message.last,
            )
        )
        return HandoverReply(request_id=message.request_id)


def split_outcomes(
    outcomes: Sequence[HandedOverOutcome],
) -> list[tuple[HandedOverOutcome, ...]]:
    """Split outcomes into batches, each for one message.

    A batch of one outcome may be larger than ``HANDOVER_BATCH_BYTES``.
    """
    batches: list[list[HandedOverOutcome]] = []
    size_bytes = 0
    for outcome in outcomes:
        outcome_bytes = len(outcome.outcome.body)
        is_full = not batches or (
            len(batches[-1]) >= HANDOVER_BATCH_SIZE
            or size_bytes + outcome_bytes > HANDOVER_BATCH_BYTES
        )
        if is_full:
            batches.append([])
            size_bytes = 0
        batches[-1].append(outcome)
        size_bytes += outcome_bytes
    return [tuple(batch) for batch in batches]


def _encode_key(key: RequestKey) -> tuple[str, str]:
    if isinstance(key, OpaqueKey):
        return key.service, key.value
    return _UNSCOPED, str(key)


def _decode_key(service: str, value: str) -> RequestKey | None:
    match parse_key(service, value):
        case Result(tag='ok', ok=key):
            return key
    return None
