"""Asks a node where a request would go, and shows its answer."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result
import httpx

from gentianbank.cli.client import CallFailure
from gentianbank.cli.exit_codes import ExitCode
from gentianbank.cli.tables import render_table
from gentianbank.steering.where.query import PATH
from gentianbank.steering.where.query import to_fields

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianbank.steering.where.query import WhereQuery

TIMEOUT_S = 10.0
WIDTH = 80
_OK = 200
_BAD_QUERY = 400
# Entry VMs and passed-over targets that the text shows; JSON has all.
MAX_ENTRY_POINTS = 8
MAX_PASSED_OVER = 20


def ask(node: str, query: WhereQuery) -> Result[dict[str, Any], CallFailure]:
    """Return the explanation of a node.

    Parameters
    ----------
    node
        Metrics address of the node.
    """
    try:
        reply = httpx.get(
            f'http://{node}{PATH}',
            params=to_fields(query),
            timeout=TIMEOUT_S,
            trust_env=False,
        )
        document = reply.json() if reply.content else {}
    except httpx.HTTPError as error:
        cause = f'{node}: {type(error).__name__}'
        return Error(CallFailure(ExitCode.UNREACHABLE, cause))
    except ValueError:
        cause = f'{node}: this is not the metrics address of a node'
        return Error(CallFailure(ExitCode.FAILED, cause))
    if reply.status_code == _OK and isinstance(document, dict):
        return Ok(document)
    if reply.status_code == _BAD_QUERY:
        cause = str(document.get('error', 'the query is wrong'))
        return Error(CallFailure(ExitCode.BAD_INPUT, cause))
    cause = f'{node}: status {reply.status_code}'
    return Error(CallFailure(ExitCode.FAILED, cause))


def render(document: dict[str, Any]) -> str:
    """Return an explanation as text of at most ``WIDTH`` columns."""
    lines = [
        *_verdict(document),
        *_entry_points(document['entry_points']),
        *_identity(document),
        *_admission(document),
        *_candidates(document['candidates']),
        *_passed_over(document['passed_over']),
    ]
    if document['changes']:
        lines += ['', 'What would change this']
        lines += [f'  {change}' for change in document['changes']]
    return '\n'.join(_fit(line) for line in lines)


def _verdict(document: dict[str, Any]) -> Iterator[str]:
    target = document['target']
    if not document['cause']:
        yield f'would go to {target}'
    else:
        status = document['status']
        yield f'would be refused: {status or ""} {document["cause"]}'
        if target:
            yield f'if it were admitted, it would go to {target}'
    yield (
        f'as {document["vm"]} sees it: configuration '
        f'{document["configuration"]}, store heard '
        f'{_ago(document["configuration_age_ms"])}'
    )


def _entry_points(entry_points: list[dict[str, Any]]) -> Iterator[str]:
    yield ''
    yield f'The look-up names {len(entry_points)} VMs'
    for entry in entry_points[:MAX_ENTRY_POINTS]:
        yield f'  {entry["vm"]}  {entry["address"]}'
    if len(entry_points) > MAX_ENTRY_POINTS:
        yield f'  and {len(entry_points) - MAX_ENTRY_POINTS} more'


def _identity(document: dict[str, Any]) -> Iterator[str]:
    if not document['route']:
        return
    yield ''
    yield f'route           {document["route"]}'
    yield f'service         {document["service"]}'
    yield f'workspace       {document["workspace"] or "none"}'
    yield f'object          {document["topic"] or "none"}'
    homes = ', '.join(document['home_regions'])
    yield f'home regions    {homes or "all"}'
    yield f'planned region  {document["planned_region"]}'
    if document['is_returning']:
        yield 'the caller seems to retry a refused request'


def _admission(document: dict[str, Any]) -> Iterator[str]:
    cap = document['cap']
    if cap:
        yield f'usage cap       {cap["state"]}{_describe_cap(cap)}'
    share = document['share']
    if share:
        yield f'share           {share["state"]}'
    if share and share['share_per_s'] is not None:
        yield (
            f'  {share["share_per_s"]:.1f} of {share["asked_per_s"]:.1f} '
            f'requests/s, room {share["room_per_s"]:.1f}, {share["rule"]}, '
            f'counted {_ago(share["age_ms"])}'
        )


def _describe_cap(cap: dict[str, Any]) -> str:
    if cap['state'] == 'none':
        return ''
    text = f', {cap["rate_per_s"]:g}/s, burst {cap["burst"]:g}'
    if cap['owner']:
        text += f', owner {cap["owner"]}'
    if cap['use_per_s'] is not None:
        text += (
            f'; here {cap["use_per_s"]:.1f} of {cap["share_per_s"]:.1f}/s, '
            f'heard {_ago(cap["age_ms"])}'
        )
    return text


def _candidates(candidates: list[dict[str, Any]]) -> Iterator[str]:
    if not candidates:
        return
    yield ''
    yield 'Candidates, times in ms'
    titles = (
        'target',
        'domain',
        'cost',
        'expected',
        'wait',
        'warm',
        'load',
        'slowdown',
        'report',
    )
    rows = [
        (
            one['target'],
            one['failure_domain'],
            f'{one["cost_ms"]:.0f}',
            f'{one["expected_ms"]:.0f}',
            f'{one["wait_ms"]:.0f}',
            'yes' if one['is_warm'] else 'no',
            f'{one["occupancy"]:.1f}/{one["slots"]}',
            f'{one["slowdown"]:.2f}',
            _age(one['report_age_ms']),
        )
        for one in candidates
    ]
    yield from render_table(titles, rows).splitlines()


def _passed_over(passed_over: list[dict[str, Any]]) -> Iterator[str]:
    if not passed_over:
        return
    yield ''
    yield 'Passed over'
    rows = [
        (
            one['target'],
            f'{one["occupancy"]:.1f}/{one["slots"]}',
            _age(one['report_age_ms']),
            one['reason'],
        )
        for one in passed_over[:MAX_PASSED_OVER]
    ]
    titles = ('target', 'load', 'report', 'why')
    yield from render_table(titles, rows).splitlines()
    if len(passed_over) > MAX_PASSED_OVER:
        yield f'and {len(passed_over) - MAX_PASSED_OVER} more (--json has all)'


def _age(age_ms: float | None) -> str:
    return 'none' if age_ms is None else f'{age_ms:.0f}'


def _ago(age_ms: float | None) -> str:
    return 'never' if age_ms is None else f'{age_ms:.0f} ms ago'


def _fit(line: str) -> str:
    return line if len(line) <= WIDTH else line[: WIDTH - 3] + '...'
