"""A node that serves the product's own interface."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path
import random
import secrets
import signal
import time
from typing import Any
from typing import TextIO
from typing import TYPE_CHECKING

from absl import logging
from expression import Error
from expression import Ok
from expression import Result

from gentianbank.control.agent import ControlAgent
from gentianbank.control.agent import now_ms
from gentianbank.control.loans import Borrower
from gentianbank.control.loans import RegionBudgetLender
from gentianbank.control.state import ControlState
from gentianbank.dataplane.answers import AnswerWriter
from gentianbank.dataplane.app import build_app
from gentianbank.dataplane.attempts import RetryingSender
from gentianbank.dataplane.bounded_protocol import BoundedConfig
from gentianbank.dataplane.budgets import BudgetBook
from gentianbank.dataplane.connection_ledger import ConnectionLedger
from gentianbank.dataplane.decisions import DecisionLog
from gentianbank.dataplane.forwarder import Forwarder
from gentianbank.dataplane.health_checker import HealthChecker
from gentianbank.dataplane.lookups import estimate_epoch
from gentianbank.dataplane.lookups import Lookups
from gentianbank.dataplane.outcomes import KeyAdmission
from gentianbank.dataplane.routing import Routing
from gentianbank.dataplane.server import CallerProtocol
from gentianbank.dataplane.server import HttpServer
from gentianbank.domain import schema
from gentianbank.domain.addresses import parse_address
from gentianbank.domain.errors import FieldError
from gentianbank.domain.errors import InvalidDocument
from gentianbank.domain.member import Member
from gentianbank.domain.member import READY
from gentianbank.domain.outcome import OutcomeTable
from gentianbank.domain.settings import Settings
from gentianbank.nodes.steering_gauges import list_connection_gauges
from gentianbank.nodes.supervision import keep_running
from gentianbank.policy.balancer import BALANCERS
from gentianbank.requests import PeerRequests
from gentianbank.rpc.changes import ConfigurationChanges
from gentianbank.rpc.server import build_server
from gentianbank.rpc.server import OperatorsServicer
from gentianbank.rpc.status import StatusReporter
from gentianbank.storage.claims import ClaimStore
from gentianbank.storage.etcd import EtcdStore
from gentianbank.storage.revisions import RevisionStore
from gentianbank.storage.vm_list import HttpVMList
from gentianbank.targets.pool import ConnectionPool
from gentianbank.telemetry.logs import open_logs
from gentianbank.telemetry.metrics import Metrics
from gentianbank.transport.handshake import Credentials
from gentianbank.transport.peers import WebsocketPeers

if TYPE_CHECKING:
    from gentianbank.domain.revision import Snapshot

# Lets the last message to the peers, which says that this node is down, be
# sent before the connections are closed.
LAST_MESSAGE_S = 0.5
_MS_PER_S = 1_000


class OwnInterfaceNode:
    """One node of the product's own interface.

    Parameters
    ----------
    settings
        Checked settings of this VM.
    decision_file
        File to which the decisions about requests are written, or ``None``.
    """

    def __init__(
        self, settings: Settings, decision_file: TextIO | None
    ) -> None:
        self._settings = settings
        self._stopping = False
        self._draining = asyncio.Event()
        self._started_ms = now_ms()
        self._build_control()
        self._build_dataplane(decision_file)
        self._build_operators()
        self._add_gauges()

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._draining.set)
        await self._peers.start()
        await self._operators.start()
        http = asyncio.create_task(self._http.serve())
        tasks = [
            asyncio.create_task(self._agent.run()),
            *(
                asyncio.create_task(keep_running(name, work))
                for name, work in (
                    ('region budgets', self._keeper.run),
                    ('loans', self._borrower.run),
                    ('health checks', self._checker.run),
                )
            ),
        ]
        logging.info('node %s runs', self._settings.vm)
        draining = asyncio.create_task(self._draining.wait())
        await asyncio.wait(
            [draining, http, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        if not self._draining.is_set():
            self._raise_failure(http, *tasks)
        await self._drain()
        self._http.should_exit = True
        await http
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._operators.stop(grace=1)
        await self._peers.close()
        await self._targets.close()

    async def _drain(self) -> None:
        """Shut down gracefully.

        The node leaves the look-ups, but serves new requests until callers
        no longer cache look-up answers that name it. Then it refuses new
        requests, waits for those in flight and hands its outcomes over.
        """
        logging.info('node %s leaves', self._settings.vm)
        self._agent.declare_leaving('')
        await asyncio.sleep(self._lookup_cache_s())
        # No caller caches a look-up answer that names this node any more, so
        # new requests are refused from here on.
        self._stopping = True
        await self._forwarder.wait_idle()
        heir = await self._requests.hand_over()
        self._agent.declare_leaving(heir)
        self._agent.declare_down()
        await asyncio.sleep(LAST_MESSAGE_S)
        logging.info('node %s stops; heir %s', self._settings.vm, heir)

    def _lookup_cache_s(self) -> float:
        """Return how long callers cache look-ups, with a margin of 1 s."""
        snapshot = self._state.snapshot
        if snapshot is None:
            return 0.0
        cache_ms = snapshot.configuration.lookups.cache_ms
        return cache_ms / _MS_PER_S + 1.0

    def _raise_failure(self, *tasks: asyncio.Task[None]) -> None:
        for task in tasks:
            if task.done():
                task.result()
        raise AssertionError('a task of the node ended before the shutdown')

    def _build_control(self) -> None:
        settings = self._settings
        me = Member(
            vm=settings.vm,
            region=settings.region,
            failure_domain=settings.failure_domain,
            http=settings.addresses.http,
            peer=settings.addresses.peer,
            incarnation=secrets.token_hex(8),
            generation=int(time.time() * _MS_PER_S),
            version=0,
            state=READY,
        )
        store = settings.store
        self._store = EtcdStore(store.url, store.timeout_ms)
        self._revisions = RevisionStore(self._store, store.key_prefix)
        self._state = ControlState(me)
        self._agent = ControlAgent(
            self._state,
            self._revisions,
            HttpVMList(store.vm_list_url, store.timeout_ms),
            settings.seeds,
            self._put_in_force,
            now_ms,
        )
        self._keeper = RegionBudgetLender(
            self._state, self._store, store.key_prefix, now_ms
        )
        self._requests = PeerRequests(self._state, self._keeper)
        self._peers = WebsocketPeers(
            Credentials(settings.vm, settings.fleet_key.encode()),
            settings.addresses.peer,
            self._agent.on_peer_event,
            self._requests.answer,
            self._state.address_of,
            max_unauthenticated=(
                settings.caller_limits.max_unauthenticated_peers
            ),
        )
        self._agent.set_peers(self._peers)

    def _build_dataplane(self, decision_file: TextIO | None) -> None:
        settings = self._settings
        incarnation = self._state.me.incarnation
        self._metrics = Metrics(settings.vm, settings.region)
        self._decisions = DecisionLog(decision_file)
        self._targets = ConnectionPool()
        self._budgets = BudgetBook(settings.region, now_ms)
        self._routing = Routing(
            self._budgets,
            BALANCERS[settings.balancer](),
            random.Random(),
            now_ms,
        )
        self._key_admission = KeyAdmission(
            OutcomeTable(incarnation),
            ClaimStore(self._store, settings.store.key_prefix, incarnation),
            self._requests.ask_owner,
            self._uptime_ms,
        )
        self._requests.attach(self._peers, self._key_admission)
        self._borrower = Borrower(
            self._state,
            self._keeper,
            self._budgets.demands,
            self._budgets.accept_loan,
            self._budgets.loan_needed,
            now_ms,
        )
        self._borrower.set_peers(self._peers)
        retrying_sender = RetryingSender(
            node=settings.vm,
            region=settings.region,
            limits=settings.limits,
            routing=self._routing,
            budgets=self._budgets,
            transport=self._targets,
            metrics=self._metrics,
            clock=now_ms,
        )
        self._forwarder = Forwarder(
            limits=settings.limits,
            routing=self._routing,
            retrying_sender=retrying_sender,
            answer_writer=AnswerWriter(
                settings.region, self._budgets, now_ms, lambda: self._stopping
            ),
            key_admission=self._key_admission,
            decisions=self._decisions,
            metrics=self._metrics,
            clock=now_ms,
            revision=lambda: self._state.revision,
            is_stopping=lambda: self._stopping,
            log_requests=settings.logging.requests,
        )
        self._checker = HealthChecker(self._routing, self._targets)
        self._lookups = Lookups(settings.region, self._state.members)
        app = build_app(
            forwarder=self._forwarder,
            lookups=self._lookups,
            metrics=self._metrics,
            revision=lambda: self._state.revision,
            is_stopping=self._draining.is_set,
            epoch_of=self._epoch_of,
        )
        address = parse_address(settings.addresses.http)
        self._caller_ledger = ConnectionLedger(
            settings.caller_limits, 'http', on_cut=self._metrics.on_cut_off
        )
        config = BoundedConfig(
            app,
            self._caller_ledger,
            host=address.host,
            port=address.port,
            loop='asyncio',
            http=CallerProtocol,
            # Another protocol would take the connection out of the ledger.
            ws='none',
            lifespan='off',
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            backlog=2048,
        )
        self._http = HttpServer(config)

    def _build_operators(self) -> None:
        changes = ConfigurationChanges(
            self._revisions,
            lambda: self._state.snapshot,
            self._agent.offer_head,
        )
        servicer = OperatorsServicer(
            changes=changes,
            store=self._revisions,
            lookups=self._lookups,
            decisions=self._decisions,
            status=StatusReporter(self._state, self._routing, now_ms).report,
        )
        self._operators = build_server(
            servicer, self._settings.addresses.operators
        )

    def _add_gauges(self) -> None:
        gauges = (
            ('revision', 'Revision in force.', lambda: self._state.revision),
            ('peers', 'Connected peers.', lambda: len(self._state.connected)),
            (
                'members.ready',
                'Members that look-ups may name.',
                lambda: len(self._state.members.ready()),
            ),
            (
                'requests.in_flight',
                'Requests that are running.',
                lambda: self._forwarder.in_flight,
            ),
            (
                'outcomes.held',
                'Outcomes held in memory.',
                lambda: len(self._key_admission.table),
            ),
        )
        for name, description, read in gauges:
            self._metrics.add_gauge(name, description, read)
        for gauge in list_connection_gauges(self._caller_ledger):
            self._metrics.add_gauge(gauge.name, gauge.description, gauge.read)

    def _put_in_force(self, snapshot: Snapshot) -> None:
        self._routing.update(snapshot.configuration)
        self._keeper.update(snapshot.configuration)
        self._lookups.update(snapshot)

    def _uptime_ms(self) -> float:
        return now_ms() - self._started_ms

    def _epoch_of(self, vm: str) -> int:
        member = self._state.members.get(vm)
        generation = member.generation if member else 0
        return estimate_epoch(generation, time.time() * _MS_PER_S)


def run(path: Path, raw: Any) -> Result[None, InvalidDocument]:
    """Run a node until it is asked to stop.

    Parameters
    ----------
    path
        Path of the settings file, which errors name.
    raw
        Settings as read from the file, not yet checked.

    Returns
    -------
    Result
        An error if the settings are invalid.
    """
    match schema.read(Settings, raw, str(path)):
        case Result(tag='ok', ok=checked):
            pass
        case Result(error=error):
            return Error(error)
    if checked.balancer not in BALANCERS:
        known = ', '.join(sorted(BALANCERS))
        cause = f'{checked.balancer!r} is none of {known}'
        field_error = FieldError('balancer', cause)
        return Error(InvalidDocument(str(path), (field_error,)))
    with contextlib.ExitStack() as stack:
        stack.enter_context(open_logs(checked.logging, checked.vm))
        decision_file = None
        if checked.recorder_path:
            recorder = Path(checked.recorder_path)
            decision_file = stack.enter_context(
                recorder.open('a', encoding='utf-8')
            )
        asyncio.run(_run(checked, decision_file))
    return Ok(None)


async def _run(settings: Settings, decision_file: TextIO | None) -> None:
    await OwnInterfaceNode(settings, decision_file).run()
