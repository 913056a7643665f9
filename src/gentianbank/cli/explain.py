"""Timeline of one request, from the log lines of the nodes."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Context lines are shown from this long before the first line of a request.
CONTEXT_BEFORE_MS = 10_000
_MS_PER_S = 1_000
# Messages that are shown as context of a request. Those about a target are
# shown only if the request was sent to that target.
NODE_MESSAGES = frozenset(
    (
        'node runs',
        'node leaves',
        'store lost',
        'store answers again',
        'store was restored from a copy',
        'peer told of a restored store',
        'configuration in force',
        'failure domain evacuated',
        'failure domain is back',
        'settings read again',
        'settings not taken; the old ones stay in force',
        'log lines dropped',
    )
)
TARGET_MESSAGES = frozenset(('target registered', 'target gone'))
_COMMON_FIELDS = frozenset(('time_ms', 'level', 'node', 'message', 'request'))


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of a node's log.

    Parameters
    ----------
    fields
        Other fields of the line, by name.
    """

    time_ms: int
    node: str
    message: str
    request: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class RequestTimeline:
    """What happened to a request.

    Parameters
    ----------
    events
        Lines about the request, by time.
    context
        Lines about changes that its nodes learned of shortly before or
        while they served it, by time.
    verdict
        How the request ended and why, in one line.
    """

    request: str
    events: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    verdict: str


def read_lines(texts: Iterable[str]) -> tuple[list[LogLine], int]:
    """Parse log lines; return them and how many could not be parsed.

    Text before the first brace of a line is skipped, because log collectors
    often put a time or a name there. A line without a brace is not counted.
    """
    lines = []
    unparsed = 0
    for text in texts:
        _, brace, rest = text.partition('{')
        line = _parse_line(brace + rest)
        if line is not None:
            lines.append(line)
        elif brace:
            unparsed += 1
    return lines, unparsed


def explain(lines: Iterable[LogLine], request: str) -> RequestTimeline:
    """Return the timeline of a request.

    Parameters
    ----------
    request
        Id that the caller sent with the request.
    """
    sorted_lines = sorted(lines, key=lambda line: line.time_ms)
    events = tuple(line for line in sorted_lines if line.request == request)
    if not events:
        verdict = (
            'no log line names the request: it reached no node, was answered '
            'but not sampled, or its lines were dropped'
        )
        return RequestTimeline(request, (), (), verdict)
    context = tuple(line for line in sorted_lines if _is_context(line, events))
    return RequestTimeline(request, events, context, _find_verdict(events))


def render(timeline: RequestTimeline) -> str:
    """Return a timeline as text for people."""
    rows = [f'request {timeline.request}: {timeline.verdict}']
    if not timeline.events:
        return rows[0]
    begin_ms = timeline.events[0].time_ms
    for title, lines in (
        ('changes that its nodes learned of', timeline.context),
        ('what happened to it', timeline.events),
    ):
        if lines:
            rows.append(f'{title}:')
        for line in lines:
            after_s = (line.time_ms - begin_ms) / _MS_PER_S
            rows.append(
                f'  {after_s:+8.3f} s  {line.node}  {line.message}'
                f'{_render_fields(line)}'
            )
    return '\n'.join(rows)


def _parse_line(text: str) -> LogLine | None:
    try:
        raw = json.loads(text)
        return LogLine(
            time_ms=int(raw['time_ms']),
            node=str(raw['node']),
            message=str(raw['message']),
            request=str(raw.get('request', '')),
            fields={k: v for k, v in raw.items() if k not in _COMMON_FIELDS},
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _is_context(line: LogLine, events: tuple[LogLine, ...]) -> bool:
    begin_ms = events[0].time_ms
    end_ms = events[-1].time_ms
    if not begin_ms - CONTEXT_BEFORE_MS <= line.time_ms <= end_ms:
        return False
    if line.node not in {event.node for event in events}:
        return False
    if line.message in NODE_MESSAGES:
        return True
    targets = {event.fields.get('target') for event in events}
    return line.message in TARGET_MESSAGES and (
        line.fields.get('target') in targets
    )


def _find_verdict(events: tuple[LogLine, ...]) -> str:
    """Return how the request ended, by its last line, and its attempts."""
    last = events[-1]
    fields = last.fields
    attempts = [e for e in events if e.message == 'attempt failed']
    tried = ', then '.join(
        f'{e.fields.get("target")}: {e.fields.get("cause")}' for e in attempts
    )
    match last.message:
        case 'request answered':
            return (
                f'answered by {fields.get("target")} in '
                f'{fields.get("took_ms")} ms after it was held for '
                f'{fields.get("held_ms")} ms'
                + (f'; before that {tried}' if tried else '')
            )
        case 'request refused':
            reason = f'{fields.get("status")}: {fields.get("cause")}'
            if fields.get('busy'):
                reason += f' ({fields["busy"]})'
            return reason + (f'; tried {tried}' if tried else '')
        case 'failure passed on':
            return f'failed by its target; tried {tried}'
        case 'caller left':
            reason = f'the caller left after {fields.get("held_ms")} ms'
            return reason + (f'; tried {tried}' if tried else '')
        case 'answer ended early':
            return f'the answer broke off: {fields.get("cause")}'
        case _:
            return tried or last.message


def _render_fields(line: LogLine) -> str:
    shown = [
        f'{name}={value}'
        for name, value in line.fields.items()
        if value not in ('', None) and name != 'settings'
    ]
    return '  ' + ' '.join(shown) if shown else ''
