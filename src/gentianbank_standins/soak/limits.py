"""Whether targets got more requests than they could take.

Some name limits, and some are cold after they have started again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from gentianbank_standins.users_targets import ColdPeriod
    from gentianbank_standins.users_targets import Journal
    from gentianbank_standins.users_targets import LimitPeriod
    from gentianbank_standins.users_targets import TargetEvent

# A target gets in the span no more than the limit allows times the factor,
# and the slack.
SPAN_S = 4.0
# Span in which the requests to a cold target are counted.
COLD_SPAN_S = 1.0
FACTOR = 1.5
SLACK = 5
# The limit binds so long after the target first named it, and a node so long
# after it got such an answer.
SETTLE_S = 3.0
TOLD_AFTER_S = 0.5


def exceeded_limits(
    journal: Journal, processes: Mapping[str, str]
) -> list[str]:
    """Return a line for each limit that was exceeded.

    Counted are requests by way of processes that had got an answer with the
    limit.

    Parameters
    ----------
    processes
        Process that each request was sent to, by the request's id; requests
        that are not there do not count.
    """
    lines = []
    for period in journal.limit_periods:
        times_s = _binding_arrivals(journal, processes, period)
        most = _most_in_a_span(times_s, SPAN_S)
        if most > FACTOR * period.limit_per_s * SPAN_S + SLACK:
            lines.append(
                f'{period.target_id} named a limit of {period.limit_per_s} a '
                f'second and got {most} requests in {SPAN_S:g} s'
            )
    return lines


def overloaded_cold_targets(journal: Journal) -> list[str]:
    """Return a line for each cold target that got too many requests."""
    lines = []
    for period in journal.cold_periods:
        times_s = [event.time_s for event in _within(period, journal.arrivals)]
        most = _most_in_a_span(times_s, COLD_SPAN_S)
        if most > period.allowed_per_s:
            lines.append(
                f'{period.target_id} was cold and got {most} requests in '
                f'{COLD_SPAN_S:g} s, {period.allowed_per_s:g} allowed'
            )
    return lines


def _binding_arrivals(
    journal: Journal, processes: Mapping[str, str], period: LimitPeriod
) -> list[float]:
    """Return the times of the requests for which the limit was binding."""
    told_s: dict[str, float] = {}
    for named in _within(period, journal.limits_named):
        process = processes.get(named.request_id)
        if process is not None:
            told_s.setdefault(process, named.time_s)
    times_s = []
    for arrival in _within(period, journal.arrivals):
        process = processes.get(arrival.request_id)
        if process not in told_s:
            continue
        binds_s = max(
            period.begin_s + SETTLE_S, told_s[process] + TOLD_AFTER_S
        )
        if arrival.time_s >= binds_s:
            times_s.append(arrival.time_s)
    return times_s


def _most_in_a_span(times_s: list[float], span_s: float) -> int:
    return max(
        (
            sum(begin_s <= time_s < begin_s + span_s for time_s in times_s)
            for begin_s in times_s
        ),
        default=0,
    )


def _within(
    period: LimitPeriod | ColdPeriod, events: list[TargetEvent]
) -> Iterator[TargetEvent]:
    for event in events:
        is_in_time = period.begin_s <= event.time_s < period.end_s
        if event.target_id == period.target_id and is_in_time:
            yield event
