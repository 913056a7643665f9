"""The operators' command line."""

from __future__ import annotations

import dataclasses
import datetime
import getpass
import os
from pathlib import Path
import sys
from typing import Any
from typing import NoReturn
from typing import TYPE_CHECKING
import uuid

from expression import Result
import fire
import yaml

from gentianbank.cli import explain as explanation
from gentianbank.cli import where as where_view
from gentianbank.cli.client import OperatorsClient
from gentianbank.cli.exit_codes import ExitCode
from gentianbank.cli.tables import render_json
from gentianbank.cli.tables import render_table
from gentianbank.domain import documents
from gentianbank.domain import schema
from gentianbank.domain.configuration import read_configuration
from gentianbank.platform.credentials import digest_key
from gentianbank.rpc import conversion
from gentianbank.rpc import operators_pb2 as pb
from gentianbank.steering.where.query import WhereQuery

if TYPE_CHECKING:
    from collections.abc import Sequence

    from google.protobuf.message import Message

NODE_VARIABLE = 'GENTIANBANK_NODE'
DEFAULT_NODE = '127.0.0.1:7003'
_MS_PER_S = 1_000


class Commands:
    """Operate a gentianbank fleet.

    Parameters
    ----------
    node
        Address for operators of a node, or of several nodes, separated by
        commas; the default is the value of GENTIANBANK_NODE.
    json
        Print JSON instead of tables.
    """

    def __init__(self, node: str = '', json: bool = False) -> None:
        given = node or os.environ.get(NODE_VARIABLE, DEFAULT_NODE)
        parts = given if isinstance(given, tuple | list) else [given]
        nodes = [n for part in parts for n in str(part).split(',') if n]
        self._nodes = tuple(nodes)
        self._client = OperatorsClient(self._nodes)
        self._json = json

    def apply(
        self,
        file: str,
        base_revision: int | None = None,
        author: str = '',
        change_id: str = '',
    ) -> None:
        """Replace the configuration by that of a file.

        The file is checked before it is sent.
        """
        request = pb.ApplyRequest(
            configuration=_load_configuration(file),
            author=_author_or_user(author),
            change_id=_change_id_or_new(change_id),
        )
        if base_revision is not None:
            request.base_revision = _require_whole_number(
                base_revision, '--base_revision'
            )
        self._change('Apply', request)

    def diff(self, file: str) -> None:
        """Show what a file would change; the exit code is 7 if anything."""
        request = pb.DiffRequest(configuration=_load_configuration(file))
        reply = self._read('Diff', request)
        rows = [(d.path, d.before, d.after) for d in reply.differences]
        self._print(reply, ('path', 'before', 'after'), rows)
        if rows:
            raise SystemExit(ExitCode.DIFFERENT)

    def get(self) -> None:
        """Print the accepted configuration."""
        reply = self._read('Get', pb.GetRequest())
        document = conversion.to_document(reply.configuration)
        if self._json:
            print(render_json(conversion.to_document(reply)))
            return
        print(f'# revision {reply.revision}')
        print(yaml.safe_dump(document, sort_keys=False), end='')

    def history(self, limit: int = 20) -> None:
        """Print the audit trail, the newest change first."""
        request = pb.HistoryRequest(
            limit=_require_whole_number(limit, '--limit')
        )
        reply = self._read('History', request)
        rows = [
            (
                entry.revision,
                entry.base_revision,
                _format_time(entry.time_ms),
                entry.author,
                entry.change_id,
                entry.summary,
            )
            for entry in reply.entries
        ]
        titles = ('revision', 'from', 'time', 'author', 'change', 'summary')
        self._print(reply, titles, rows)

    def drain(self, target: str, author: str = '') -> None:
        """Drain a target: send it no new requests."""
        self._set_draining(target, True, author)

    def undrain(self, target: str, author: str = '') -> None:
        """End the drain of a target: send it new requests again."""
        self._set_draining(target, False, author)

    def status(self) -> None:
        """Print the members and targets as a node sees them."""
        reply = self._read('Status', pb.StatusRequest())
        if self._json:
            print(render_json(conversion.to_document(reply)))
            return
        role = 'relay' if reply.relay else 'ordinary node'
        print(f'{reply.vm}: revision {reply.revision}, {role}\n')
        print(_member_table(reply), end='\n\n')
        print(_target_table(reply))

    def explain(self, request_id: str, *logs: str) -> None:
        """Show what happened to a request, by the id that its caller sent.

        Parameters
        ----------
        logs
            Log files of nodes, or ``-`` for standard input. Without any, a
            node is asked, which must serve the product's own interface.
        """
        if logs:
            self._explain_from_logs(str(request_id), logs)
            return
        request = pb.ExplainRequest(request_id=str(request_id))
        reply = self._read('Explain', request)
        rows = [
            (name, ', '.join(value) if isinstance(value, list) else value)
            for name, value in conversion.to_document(reply).items()
        ]
        self._print(reply, ('field', 'value'), rows)

    def lookup(self, client: str) -> None:
        """Print the answer to a look-up for a client's address."""
        reply = self._read('Lookup', pb.LookupRequest(client=str(client)))
        rows = [
            (e.vm, e.address, e.region, e.weight_percent)
            for e in reply.entries
        ]
        titles = ('vm', 'address', 'region', 'weight percent')
        self._print(reply, titles, rows)

    def where(
        self,
        host: str,
        path: str,
        method: str = 'GET',
        workspace: str = '',
        key_file: str = '',
        affinity_key: str = '',
        region: str = '',
        failure_domain: str = '',
        size: int = 0,
        deadline_ms: int | None = None,
        request_id: str = 'where',
        tried: str = '',
    ) -> None:
        """Show where a request would go, without sending it.

        The node to ask is given by its metrics address.

        Parameters
        ----------
        workspace
            Name of the caller's workspace.
        key_file
            File with the caller's key, or ``-`` for standard input, in place
            of the workspace. Only its digest is sent.
        affinity_key
            Object that the request concerns.
        region, failure_domain
            Location of the caller.
        size
            Bytes of the request's body.
        deadline_ms
            Time that the caller has left.
        tried
            Targets that were tried already, separated by commas.
        """
        digest = _read_key_digest(key_file) if key_file else ''
        if deadline_ms is not None:
            _require_whole_number(deadline_ms, '--deadline_ms')
        query = WhereQuery(
            host=str(host),
            path=str(path),
            method=str(method),
            workspace=str(workspace),
            key_digest=digest,
            affinity_key=str(affinity_key),
            region=str(region),
            failure_domain=str(failure_domain),
            size_bytes=_require_whole_number(size, '--size'),
            deadline_ms=deadline_ms,
            request_id=str(request_id),
            tried=_join_names(tried),
        )
        document = _reply_or_exit(where_view.ask(self._nodes[0], query))
        if self._json:
            print(render_json(document))
        else:
            print(where_view.render(document))

    def _explain_from_logs(self, request_id: str, logs: Sequence[str]) -> None:
        texts = [text for name in logs for text in _read_log(name)]
        lines, unparsed = explanation.read_lines(texts)
        if unparsed:
            print(f'{unparsed} lines could not be read', file=sys.stderr)
        timeline = explanation.explain(lines, request_id)
        if self._json:
            print(render_json(dataclasses.asdict(timeline)))
        else:
            print(explanation.render(timeline))
        if not timeline.events:
            raise SystemExit(ExitCode.NOT_FOUND)

    def _set_draining(self, target: str, draining: bool, author: str) -> None:
        request = pb.SetDrainingRequest(
            target=str(target),
            draining=draining,
            author=_author_or_user(author),
            change_id=_change_id_or_new(''),
        )
        self._change('SetDraining', request)

    def _read(self, method: str, request: Message) -> Any:
        return _reply_or_exit(self._client.read(method, request))

    def _change(self, method: str, request: Message) -> None:
        reply = _reply_or_exit(self._client.change(method, request))
        if self._json:
            print(render_json(conversion.to_document(reply)))
        else:
            print(f'revision {reply.revision}: {reply.summary}')

    def _print(
        self, reply: Message, titles: Sequence[str], rows: list[Any]
    ) -> None:
        if self._json:
            print(render_json(conversion.to_document(reply)))
        else:
            print(render_table(titles, rows))


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands, name='gentianbank')


def _member_table(reply: pb.StatusReply) -> str:
    titles = ('vm', 'region', 'failure domain', 'http', 'state')
    return render_table(
        titles,
        [
            (m.vm, m.region, m.failure_domain, m.http, m.state)
            for m in reply.members
        ],
    )


def _target_table(reply: pb.StatusReply) -> str:
    titles = (
        'service',
        'target',
        'region',
        'state',
        'in flight',
        'latency ms',
    )
    return render_table(
        titles,
        [
            (
                t.service,
                t.target,
                t.region,
                t.state,
                t.in_flight,
                f'{t.latency_ms:.1f}',
            )
            for t in reply.targets
        ],
    )


def _load_configuration(file: str) -> pb.Configuration:
    try:
        data = Path(str(file)).read_bytes()
    except OSError as error:
        _exit_with_error(ExitCode.BAD_INPUT, f'{file}: {error.strerror}')
    result = documents.load_yaml(data, str(file)).bind(
        lambda raw: read_configuration(raw, str(file))
    )
    return conversion.to_message(schema.dump(_document_or_exit(result)))


def _read_log(name: str) -> list[str]:
    if str(name) == '-':
        return sys.stdin.readlines()
    try:
        text = Path(str(name)).read_text(encoding='utf-8', errors='replace')
    except OSError as error:
        _exit_with_error(ExitCode.BAD_INPUT, f'{name}: {error.strerror}')
    return text.splitlines()


def _read_key_digest(name: str) -> str:
    """Return the digest of a key; the key itself is not kept or sent."""
    key = ''.join(_read_log(name)).strip()
    if not key:
        _exit_with_error(ExitCode.BAD_INPUT, '--key_file: no key in the file')
    return digest_key(key.encode()).hex()


def _join_names(given: object) -> str:
    parts = given if isinstance(given, tuple | list) else [given]
    return ','.join(map(str, parts))


def _document_or_exit(result: Result[Any, Any]) -> Any:
    match result:
        case Result(tag='ok', ok=value):
            return value
        case Result(error=error):
            _exit_with_error(ExitCode.BAD_INPUT, str(error))
    raise AssertionError('a result is either ok or an error')


def _reply_or_exit(result: Result[Any, Any]) -> Any:
    match result:
        case Result(tag='ok', ok=value):
            return value
        case Result(error=failure):
            _exit_with_error(failure.exit_code, str(failure))
    raise AssertionError('a result is either ok or an error')


def _exit_with_error(code: ExitCode, message: str) -> NoReturn:
    print(message, file=sys.stderr)
    raise SystemExit(code)


def _author_or_user(given: object) -> str:
    return str(given or getpass.getuser())


def _change_id_or_new(given: object) -> str:
    return str(given or uuid.uuid4())


def _require_whole_number(value: object, name: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        _exit_with_error(
            ExitCode.BAD_INPUT, f'{name}: expected a whole number'
        )
    return value


def _format_time(time_ms: int) -> str:
    time_utc = datetime.datetime.fromtimestamp(
        time_ms / _MS_PER_S, datetime.UTC
    )
    return time_utc.isoformat(timespec='seconds')


if __name__ == '__main__':
    main()
