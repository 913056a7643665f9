"""What would change where a request goes."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianbank.steering.where.explanation import Candidate
    from gentianbank.steering.where.explanation import CapAnswer
    from gentianbank.steering.where.explanation import PassedOverTarget
    from gentianbank.steering.where.explanation import ShareAnswer


def list_changes(
    cap: CapAnswer,
    share: ShareAnswer,
    candidates: tuple[Candidate, ...],
    passed_over: tuple[PassedOverTarget, ...],
) -> tuple[str, ...]:
    """Return what would change the result, one sentence each."""
    return tuple(
        [
            *_admission_changes(cap, share),
            *_target_changes(candidates, passed_over),
        ]
    )


def _admission_changes(cap: CapAnswer, share: ShareAnswer) -> Iterator[str]:
    if cap.wait_ms is not None:
        yield f'the cap would admit it after {cap.wait_ms:.0f} ms'
    if cap.state == 'asks owner':
        yield f'the cap decides once {cap.owner} has answered'
    if share.state == 'refused':
        yield 'the share admits it if others ask for less, or room grows'


def _target_changes(
    candidates: tuple[Candidate, ...],
    passed_over: tuple[PassedOverTarget, ...],
) -> Iterator[str]:
    if len(candidates) > 1:
        first, second = candidates[:2]
        if first.region == second.region:
            margin_ms = second.cost_ms - first.cost_ms
            yield (
                f'{second.target} gets it if the cost of {first.target} '
                f'rises by {margin_ms:.1f} ms'
            )
    if candidates:
        return
    reasons = Counter(target.reason for target in passed_over)
    for reason, count in sorted(reasons.items()):
        yield f'a target would be found if this ended: {reason} ({count})'
    if not passed_over:
        yield 'a target of the service must register'
