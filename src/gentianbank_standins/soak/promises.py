"""What callers got, checked against what the targets ran."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gentianbank_standins.soak.attempts import Attempt
from gentianbank_standins.soak.leaving import requests_after_leaving
from gentianbank_standins.soak.limits import exceeded_limits
from gentianbank_standins.soak.limits import overloaded_cold_targets

if TYPE_CHECKING:
    from gentianbank_standins.users_targets import Journal

# Time beyond a route's time-out in which a final answer must be there.
ANSWER_SLACK_S = 1.5
# Part of the requests after the last fault that must be served.
RECOVERED_PART = 0.9
# Statuses that promise that a request has not run. They are stated here once
# more, so that an error in the product's own list is noticed.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(slots=True)
class Promises:
    """Collects attempts and says which promises were broken.

    Parameters
    ----------
    probes
        Requests of the soak itself, which are no attempts of callers.
    """

    attempts: list[Attempt] = field(default_factory=list)
    probes: set[str] = field(default_factory=set)
    seen: Counter[str] = field(default_factory=Counter)

    def note(self, attempt: Attempt) -> None:
        """Take an attempt that has ended."""
        self.attempts.append(attempt)
        without = 'no answer' if attempt.reached else 'no listener'
        self.seen[str(attempt.status or without)] += 1

    def broken(self, journal: Journal, calm_s: float) -> list[str]:
        """Return a line for each broken promise.

        Parameters
        ----------
        calm_s
            Time after which no fault was at work.
        """
        lines = []
        known = {attempt.request_id for attempt in self.attempts}
        known |= self.probes
        lines += [
            f'request {name} ran, but no caller sent it'
            for name in journal.runs
            if name not in known
        ]
        lines += [
            f'request {name} reached a target that had left'
            for name in journal.late
        ]
        for attempt in self.attempts:
            runs = journal.runs[attempt.request_id]
            lines += _broken_by(attempt, runs)
        processes = {
            attempt.request_id: attempt.process
            for attempt in self.attempts
            if not attempt.disturbed
        }
        lines += exceeded_limits(journal, processes)
        lines += overloaded_cold_targets(journal)
        lines += requests_after_leaving(journal, self.attempts)
        lines += self._unrecovered(calm_s)
        return lines

    def _unrecovered(self, calm_s: float) -> list[str]:
        late = [a for a in self.attempts if a.sent_s >= calm_s]
        served = sum(1 for attempt in late if attempt.status == 200)
        if late and served >= RECOVERED_PART * len(late):
            return []
        return [f'only {served} of {len(late)} served after the faults']


def _broken_by(attempt: Attempt, runs: int) -> list[str]:
    name = attempt.request_id
    lines = []
    if attempt.once and runs > 1:
        lines.append(f'order {name} ran {runs} times')
    if attempt.once and attempt.status in NOT_RUN_STATUSES and runs:
        lines.append(f'order {name} was answered {attempt.status} and ran')
    if attempt.status == 200 and not attempt.whole:
        lines.append(f'request {name} got a success that is not its own')
    if attempt.disturbed:
        return lines
    if not attempt.status and attempt.reached and runs:
        lines.append(f'request {name} ran and got no answer')
    if attempt.took_s > attempt.timeout_s + ANSWER_SLACK_S:
        lines.append(f'request {name} waited {attempt.took_s:.1f} s')
    return lines
