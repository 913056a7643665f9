"""What is known about whether a request has run, and what that allows."""

from __future__ import annotations

import enum

# To a caller these statuses promise that its request has not run and never
# will. They are said on evidence only.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_MIN_FAILURE = 400


class RunEvidence(enum.Enum):
    """Evidence about a request after all of its attempts so far."""

    NEVER_SENT = 'never-sent'
    """No byte of it can have reached a target."""

    REJECTED = 'rejected'
    """Each target that it may have reached said that it did not run it."""

    MAY_HAVE_RUN = 'may-have-run'
    """A target has run it, or nothing rules that out."""


class AnswerMeaning(enum.Enum):
    """What the head of a target's answer means for the request."""

    RESULT = 'it is the result of the request'
    REJECTION = 'the target did not run the request'
    NAMES_OTHERS = 'it does not name this request alone'
    CONTRADICTION = 'it says both that the request ran and that it did not'
    UNPROVED = 'the target does not say that it did not run the request'


def judge_answer(
    status: int, *, says_not_run: bool, says_run: bool, names_request: bool
) -> AnswerMeaning:
    """Decide what an answer means; unless it is a rejection, it may have run.

    A status alone is no evidence: a target may also choose one that means
    "not run" to callers after it has run the request.

    Parameters
    ----------
    says_not_run
        Whether the target states that it did not run the request.
    says_run
        Whether the answer has what only a run adds to it.
    names_request
        Whether the answer names this request and no other.
    """
    if not names_request:
        return AnswerMeaning.NAMES_OTHERS
    if says_not_run:
        if says_run or status < _MIN_FAILURE:
            return AnswerMeaning.CONTRADICTION
        return AnswerMeaning.REJECTION
    if status in NOT_RUN_STATUSES:
        return AnswerMeaning.UNPROVED
    return AnswerMeaning.RESULT


def check_promise(status: int, evidence: RunEvidence) -> None:
    """Check that a status promises no more than the evidence shows.

    Raises
    ------
    ValueError
        If it does, which would be an error in the node.
    """
    if status in NOT_RUN_STATUSES and evidence is RunEvidence.MAY_HAVE_RUN:
        raise ValueError(f'{status} for a request that may have run')
