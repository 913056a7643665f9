"""Whether targets got requests after they had said that they leave."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from gentianbank_standins.soak.attempts import Attempt
    from gentianbank_standins.users_targets import Journal
    from gentianbank_standins.users_targets import TargetEvent

# A node may still use a target so long after it has passed on an answer in
# which the target says that it leaves.
DRAIN_S = 2.0


@dataclass(frozen=True, slots=True)
class Leaving:
    """One start of a target, as one run of a node knows it.

    Parameters
    ----------
    run
        Time of the node between starts and pauses, by name.
    born
        Which start of the target it is.
    """

    run: str
    target_id: str
    born: int


def told_times(
    journal: Journal, attempts: Iterable[Attempt]
) -> dict[Leaving, float]:
    """Return when each run of a node had first passed on that a target leaves.

    Times are those of the soak in s, when the caller had the answer.
    """
    said = {
        (event.request_id, event.target_id): event
        for event in journal.leaving_said
    }
    told_s: dict[Leaving, float] = {}
    for attempt in attempts:
        event = said.get((attempt.request_id, attempt.leaving_id))
        if event is None or not attempt.run:
            continue
        leaving = _leaving(attempt, event)
        ended_s = attempt.sent_s + attempt.took_s
        told_s[leaving] = min(ended_s, told_s.get(leaving, ended_s))
    return told_s


def requests_after_leaving(
    journal: Journal,
    attempts: Iterable[Attempt],
    told_s: Mapping[Leaving, float] | None = None,
) -> list[str]:
    """Return a line for each request that came too late to a target.

    It was sent later than ``DRAIN_S`` after its node had passed on that the
    target leaves, and neither of them has started again since, nor was the
    node paused. An outage of the store or of a link excuses nothing.

    Parameters
    ----------
    told_s
        Times as of `told_times`, which they are by default.
    """
    known = {attempt.request_id: attempt for attempt in attempts}
    if told_s is None:
        told_s = told_times(journal, known.values())
    lines = []
    for arrival in journal.arrivals:
        attempt = known.get(arrival.request_id)
        if attempt is None or not attempt.run:
            continue
        since_s = told_s.get(_leaving(attempt, arrival))
        if since_s is not None and attempt.sent_s > since_s + DRAIN_S:
            lines.append(
                f'request {attempt.request_id} reached {arrival.target_id}, '
                f'sent {attempt.sent_s - since_s:.1f} s after {attempt.run} '
                'had passed on that it leaves'
            )
    return lines


def _leaving(attempt: Attempt, event: TargetEvent) -> Leaving:
    return Leaving(attempt.run, event.target_id, event.born)
