"""Tests of look-ups and readiness."""

from __future__ import annotations

import asyncio
from dataclasses import replace
import json
from typing import Any

from gentianbank.domain.registration import NodeRegistration
from gentianbank.steering.apps import App
from gentianbank.steering.apps import LookupApp
from gentianbank.steering.apps import ReadinessApp
from tests.support.steering import Caller
from tests.support.steering import Path
from tests.support.steering import Reply


def registration(vm: str, failure_domain: str) -> NodeRegistration:
    return NodeRegistration(
        vm=vm,
        region='east',
        failure_domain=failure_domain,
        callers=f'10.0.0.{vm[-1]}:80',
        peers=f'10.0.0.{vm[-1]}:81',
    )


ME = registration('vm-1', 'east-1')
QUERY = '/?region=east&zone=east-1'


class NodeApps:
    """The applications of a node that can be set to stop."""

    def __init__(self) -> None:
        self.path = Path()
        self.stopping = False
        self.lookups = LookupApp(
            ME, self.path.cluster_view, self._is_stopping, 0.5
        )
        self.readiness = ReadinessApp(
            self.path.cluster_view, self._is_stopping
        )

    def ask(self, app: App, path: str = QUERY) -> Reply:
        """Send one request to an application."""
        caller = Caller(self.path.loop, path=path)

        async def receive() -> dict[str, Any]:
            await asyncio.Event().wait()
            return {}

        async def send(message: Any) -> None:
            await caller._send(message)

        async def serve() -> None:
            await app(caller.scope, receive, send)

        self.path.run(serve())
        return caller.reply

    def addresses(self) -> list[str]:
        """Return the addresses of a look-up from east-1."""
        reply = self.ask(self.lookups)
        found: list[str] = json.loads(reply.body).get('addresses', [])
        return found

    def _is_stopping(self) -> bool:
        return self.stopping


def test_lookup_without_the_store_names_the_node_itself() -> None:
    assert NodeApps().addresses() == ['10.0.0.1:80']


def test_lookup_is_cached_no_longer_than_allowed() -> None:
    apps = NodeApps()
    assert json.loads(apps.ask(apps.lookups).body)['ttlS'] == 0.5


def test_lookup_of_a_stopping_node_names_others() -> None:
    apps = NodeApps()
    apps.path.cluster_view.nodes['vm-2'] = registration('vm-2', 'east-2')
    apps.stopping = True
    assert apps.addresses() == ['10.0.0.2:80']


def test_lookup_without_configuration_is_503() -> None:
    apps = NodeApps()
    apps.path.cluster_view.table = None
    assert apps.ask(apps.lookups).status == 503


def test_node_with_configuration_is_ready_until_it_stops() -> None:
    apps = NodeApps()
    assert apps.ask(apps.readiness).status == 200
    apps.stopping = True
    assert apps.ask(apps.readiness).status == 503
    apps.stopping = False
    apps.path.cluster_view.table = None
    assert apps.ask(apps.readiness).status == 503


def test_lookup_leaves_out_a_peer_whose_connection_ended() -> None:
    apps = NodeApps()
    cluster_view = apps.path.cluster_view
    cluster_view.put_node(registration('vm-2', 'east-1'))
    cluster_view.put_node(registration('vm-3', 'east-2'))
    cluster_view.disconnected_peers.add('vm-2')
    assert apps.addresses() == ['10.0.0.1:80']
    apps.stopping = True
    assert apps.addresses() == ['10.0.0.3:80']
    cluster_view.disconnected_peers.add('vm-3')
    # The fault may be on this side, so disconnected peers are named again.
    assert apps.addresses() == ['10.0.0.2:80']


def test_lookup_names_a_node_again_that_has_registered_anew() -> None:
    apps = NodeApps()
    cluster_view = apps.path.cluster_view
    cluster_view.put_node(registration('vm-2', 'east-1'))
    cluster_view.disconnected_peers.add('vm-2')
    cluster_view.put_node(registration('vm-2', 'east-1'))
    assert apps.addresses() == ['10.0.0.1:80']
    cluster_view.put_node(
        replace(registration('vm-2', 'east-1'), peer_key='0' * 32)
    )
    assert apps.addresses() == ['10.0.0.1:80', '10.0.0.2:80']
