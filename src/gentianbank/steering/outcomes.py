"""Outcomes of an attempt at a target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gentianbank.policy.run_evidence import check_promise
from gentianbank.policy.run_evidence import RunEvidence

if TYPE_CHECKING:
    from gentianbank.steering.answer_body import AnswerBody
    from gentianbank.targets.transport import RawHeaders


@dataclass(frozen=True, slots=True)
class Delivered:
    """The target gave an answer that can be passed on.

    Parameters
    ----------
    body
        The body, of which a part may not have been read yet.
    """

    status: int
    headers: RawHeaders
    body: AnswerBody

    def __post_init__(self) -> None:
        check_promise(self.status, RunEvidence.MAY_HAVE_RUN)

    @property
    def cause(self) -> str:
        """Return a description with the status of the answer."""
        return f'the target answered {self.status}'


@dataclass(frozen=True, slots=True)
class Rejected:
    """The target says that it did not run the request."""

    cause: str


@dataclass(frozen=True, slots=True)
class NotReached:
    """No byte of the request can have reached the target."""

    cause: str


@dataclass(frozen=True, slots=True)
class Withheld(NotReached):
    """The target may get no more requests since it was chosen."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The request may have run, but there is no usable answer."""

    cause: str


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The caller left while the request was in flight."""

    cause: str = 'the caller left'


Outcome = Delivered | Rejected | NotReached | Broken
