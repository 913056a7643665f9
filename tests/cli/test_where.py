"""Tests of the command ``where``."""

from __future__ import annotations

from dataclasses import asdict
import json
from typing import Any
from typing import TYPE_CHECKING

import httpx
import pytest

from gentianbank.cli.main import Commands
from gentianbank.cli.where import render
from gentianbank.cli.where import WIDTH
from gentianbank.platform.credentials import digest_key
from tests.support.steering import Path
from tests.support.where import explain

if TYPE_CHECKING:
    import pathlib

KEY = 'secret-key-of-a-caller'


def _document() -> dict[str, Any]:
    path = Path(targets=3)
    path.put_target('desk-4', draining=True)
    path.put_target('desk-with-a-long-name-of-its-own-5')
    document: dict[str, Any] = json.loads(json.dumps(asdict(explain(path))))
    return document


def test_text_fits_a_terminal() -> None:
    """Guards against lines that a terminal wraps."""
    text = render(_document())
    assert all(len(line) <= WIDTH for line in text.splitlines())


def test_text_names_target_candidates_and_reasons() -> None:
    """Guards against a text that leaves out what decided."""
    document = _document()
    text = render(document)
    assert f'would go to {document["target"]}' in text
    assert 'Candidates' in text
    assert 'draining' in text


class _Node:
    """Stands in for the node; keeps the URLs that it is asked."""

    def __init__(self, status: int, document: Any) -> None:
        self._status = status
        self._document = document
        self.urls: list[str] = []

    def get(self, url: str, **options: Any) -> httpx.Response:
        request = httpx.Request('GET', url, params=options['params'])
        self.urls.append(str(request.url))
        return httpx.Response(
            self._status, json=self._document, request=request
        )


def test_key_is_sent_as_a_digest(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a key in a URL, where servers and logs keep it."""
    node = _Node(200, _document())
    monkeypatch.setattr(httpx, 'get', node.get)
    file = tmp_path / 'key'
    file.write_text(KEY + '\n')
    Commands(node='127.0.0.1:7000', json=True).where(
        'shop.example', '/read/1', key_file=str(file)
    )
    assert KEY not in node.urls[0]
    assert digest_key(KEY.encode()).hex() in node.urls[0]
    output = capsys.readouterr().out
    assert KEY not in output
    assert json.loads(output) == _document()


def test_wrong_query_is_bad_input(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an error of the query that looks like one of a node."""
    node = _Node(400, {'error': 'no workspace of that name has a key'})
    monkeypatch.setattr(httpx, 'get', node.get)
    with pytest.raises(SystemExit) as stop:
        Commands(node='127.0.0.1:7000').where('a', '/', workspace='none')
    assert stop.value.code == 2
    assert 'no workspace' in capsys.readouterr().err
