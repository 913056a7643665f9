"""Attempts of one request at targets, and what is known from them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gentianbank.policy.run_evidence import RunEvidence
from gentianbank.steering.outcomes import Delivered
from gentianbank.steering.outcomes import NotReached
from gentianbank.steering.outcomes import Rejected
from gentianbank.steering.outcomes import Withheld

if TYPE_CHECKING:
    from gentianbank.policy.placement import PlacementResult
    from gentianbank.policy.usage_caps.account import Token
    from gentianbank.steering.outcomes import Outcome

# After this many failed connections a request is not retried.
MAX_CONNECT_FAILURES = 3


@dataclass(slots=True)
class AttemptHistory:
    """Attempts of a request so far.

    Parameters
    ----------
    targets
        Ids of the targets that were tried.
    sent_count
        Attempts whose request may have reached a target.
    connect_failures
        Attempts whose connection failed.
    may_have_run
        Whether a target may have run the request.
    failed_answers
        Failures that targets answered with, the latest last.
    placement
        Result of the latest choice of a target.
    cap_token
        Token of the workspace's usage cap; ``None`` without a cap.
    """

    targets: list[str] = field(default_factory=list)
    sent_count: int = 0
    connect_failures: int = 0
    may_have_run: bool = False
    failed_answers: list[Delivered] = field(default_factory=list)
    placement: PlacementResult | None = None
    cap_token: Token | None = None

    @property
    def evidence(self) -> RunEvidence:
        """Return what is known about whether the request has run."""
        if self.may_have_run:
            return RunEvidence.MAY_HAVE_RUN
        if self.sent_count:
            return RunEvidence.REJECTED
        return RunEvidence.NEVER_SENT

    def record(self, outcome: Outcome, *, idempotent: bool) -> bool:
        """Record an attempt that gave no final answer.

        Returns
        -------
        bool
            Whether a retry is safe.
        """
        if isinstance(outcome, Withheld):
            return True
        if isinstance(outcome, NotReached):
            self.connect_failures += 1
            return self.connect_failures < MAX_CONNECT_FAILURES
        self.sent_count += 1
        if isinstance(outcome, Rejected):
            return True
        self.may_have_run = True
        if isinstance(outcome, Delivered):
            self.failed_answers.append(outcome)
        return idempotent

    async def close(self) -> None:
        """Drop the failures that were not passed on."""
        for answer in self.failed_answers:
            await answer.body.close()
