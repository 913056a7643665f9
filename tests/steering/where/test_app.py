"""Explanations on the metrics address of a node."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import urlencode

import pytest

from gentianbank.steering.apps import MetricsApp
from gentianbank.steering.where.app import WhereApp
from gentianbank.steering.where.query import PATH
from gentianbank.steering.where.query import to_fields
from gentianbank.steering.where.query import WhereQuery
from gentianbank.telemetry.deferred import DeferredMetrics
from tests.support.steering import Caller
from tests.support.steering import HOST
from tests.support.steering import Path
from tests.support.steering import Reply
from tests.support.where import explainer


def _get(path: Path, url: str) -> Reply:
    app = MetricsApp(
        DeferredMetrics(path.vm, path.region), WhereApp(explainer(path))
    )
    caller = Caller(path.loop, path=url)

    async def receive() -> dict[str, Any]:
        await asyncio.Event().wait()
        return {}

    async def serve() -> None:
        await app(caller.scope, receive, caller._send)

    path.run(serve())
    return caller.reply


def test_node_answers_the_fields_of_the_command() -> None:
    """Guards against a command and a node that name fields differently."""
    query = WhereQuery(
        host=HOST,
        path='/read/1?a=b&c=d',
        method='POST',
        affinity_key='ü 7',
        failure_domain='east-1',
        size_bytes=5,
        deadline_ms=900,
        request_id='r-9',
        tried='desk-1',
    )
    reply = _get(Path(), f'{PATH}?{urlencode(to_fields(query))}')
    assert reply.status == 200
    document = json.loads(reply.body)
    assert document['route'] == 'read'
    assert document['target'] in ('desk-2', 'desk-3')


def test_other_paths_have_the_metrics() -> None:
    """Guards against scrapes that get an explanation."""
    assert _get(Path(), '/metrics').status == 503
    assert _get(Path(), '/').status == 503


@pytest.mark.parametrize('query', ['unknown=1', 'size_bytes=x', 'workspace=a'])
def test_wrong_query_gets_400(query: str) -> None:
    """Guards against a wrong query that ends in an internal error."""
    reply = _get(Path(), f'{PATH}?{query}')
    assert reply.status == 400
    assert json.loads(reply.body)['error']
