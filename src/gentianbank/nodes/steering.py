"""A node that serves the platform's interface."""

from __future__ import annotations

import asyncio
import contextlib
import importlib
import secrets
import signal
import time
from typing import Any
from typing import TYPE_CHECKING

from absl import logging
from expression import Error
from expression import Ok
from expression import Result

from gentianbank.dataplane.bounded_protocol import BoundedConfig
from gentianbank.dataplane.connection_ledger import ConnectionLedger
from gentianbank.dataplane.pipelining import AheadNode
from gentianbank.dataplane.server import caller_protocol
from gentianbank.dataplane.server import CallerProtocol
from gentianbank.dataplane.server import HttpServer
from gentianbank.domain import schema
from gentianbank.domain.addresses import parse_address
from gentianbank.domain.registration import NodeRegistration
from gentianbank.domain.steering_settings import SteeringSettings
from gentianbank.nodes.settings_file import SettingsFile
from gentianbank.nodes.share_gauges import list_share_gauges
from gentianbank.nodes.steering_gauges import list_connection_gauges
from gentianbank.nodes.steering_gauges import list_gauges
from gentianbank.nodes.steering_gauges import list_store_gauges
from gentianbank.nodes.supervision import keep_running
from gentianbank.platform.store import PlatformStore
from gentianbank.policy.answer_order import AheadCount
from gentianbank.policy.buffer_budget import BufferBudget
from gentianbank.policy.graceful_shutdown import ShutdownSchedule
from gentianbank.steering.apps import LookupApp
from gentianbank.steering.apps import MetricsApp
from gentianbank.steering.apps import ProxyApp
from gentianbank.steering.apps import ReadinessApp
from gentianbank.steering.cluster_view import ClusterView
from gentianbank.steering.fair_shares.fair_shares import FairShares
from gentianbank.steering.member_record import MemberRecord
from gentianbank.steering.membership import Membership
from gentianbank.steering.placer import Placer
from gentianbank.steering.proxy import Proxy
from gentianbank.steering.reporter import Reporter
from gentianbank.steering.request_log import RequestLog
from gentianbank.steering.restart_checks import RestartChecks
from gentianbank.steering.store_following.store_sync import StoreSync
from gentianbank.steering.usage_caps.admission import UsageCaps
from gentianbank.steering.where.app import WhereApp
from gentianbank.steering.where.explainer import Explainer
from gentianbank.targets.pool import ConnectionPool
from gentianbank.telemetry.deferred import DeferredMetrics
from gentianbank.telemetry.logs import open_logs
from gentianbank.telemetry.logs import set_level
from gentianbank.telemetry.loop_delay import LoopDelay

if TYPE_CHECKING:
    from pathlib import Path

    from gentianbank.domain.errors import InvalidDocument
    from gentianbank.domain.route_table import CallerLimits
    from gentianbank.domain.steering_settings import RequestsAhead
    from gentianbank.steering.apps import App

# Parts of the limits on callers' connections that other ports have. Look-ups
# are asked for by all callers, the others by few checks of the platform.
LOOKUP_PART = 0.25
CHECK_PART = 0.0625
BACKLOG = 2_048
STOP_POLL_S = 0.05
# The settings file is polled, since it may change without a SIGHUP.
SETTINGS_POLL_S = 1.0
PEER_KEY_BYTES = 16
_MS_PER_S = 1_000


def now_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * _MS_PER_S


def boot_ms() -> float:
    """Return the time since the VM started, also while it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * _MS_PER_S


class SteeringNode:
    """One node of the platform's interface.

    Parameters
    ----------
    path
        Path of the settings file, which is read again when it changes.
    settings
        Checked settings of this VM.
    """

    def __init__(self, path: Path, settings: SteeringSettings) -> None:
        self._settings = settings
        self._settings_file = SettingsFile(path, settings)
        self._metrics = DeferredMetrics(settings.vm, settings.region)
        self._loop_delay = LoopDelay()
        bounds = settings.bounds
        started_ms = now_ms()
        self._stop = asyncio.Event()
        addresses = settings.addresses
        me = NodeRegistration(
            vm=settings.vm,
            region=settings.region,
            failure_domain=settings.failure_domain,
            callers=addresses.callers,
            peers=addresses.peers,
            peer_key=secrets.token_hex(PEER_KEY_BYTES),
        )
        self._me = me
        self._targets = ConnectionPool(self._on_idle_lost)
        self._store = PlatformStore(
            settings.store.address,
            settings.store.timeout_ms,
            self._targets,
            self._on_store_call,
        )
        self._cluster_view = ClusterView(dict(settings.regions))
        self._membership = Membership(
            me,
            self._store,
            settings.store,
            MemberRecord(me, self._store, now_ms),
            lambda: self._sync.retry_now(),
        )
        self._sync = StoreSync(
            vm=settings.vm,
            store=self._store,
            settings=settings.store,
            cluster_view=self._cluster_view,
            grace_ms=bounds.lapse_grace_ms,
            on_own_entry_gone=self._membership.on_entry_gone,
            clock=now_ms,
        )
        self._placer = Placer(
            vm=settings.vm,
            region=settings.region,
            failure_domain=settings.failure_domain,
            cluster_view=self._cluster_view,
            bounds=bounds,
            started_ms=started_ms,
            clock=now_ms,
            with_pace=settings.pace.enabled,
        )
        log = RequestLog(settings.logging.request_lines_per_s, now_ms)
        self._fair_shares = FairShares(
            vm=settings.vm,
            cluster_view=self._cluster_view,
            log=log,
            clock=now_ms,
        )
        reporter = Reporter(
            cluster_view=self._cluster_view,
            log=log,
            metrics=self._metrics,
            clock=now_ms,
        )
        self._restart_checks = RestartChecks(
            cluster_view=self._cluster_view,
            quotas=self._placer.quotas,
            transport=self._targets,
            on_check=self._on_status_check,
            clock=now_ms,
        )
        self._usage_caps = UsageCaps(
            vm=settings.vm,
            cluster_view=self._cluster_view,
            quotas=self._placer.quotas,
            bounds=bounds,
            is_first_start=settings.first_start,
            clock=now_ms,
            boot_clock=boot_ms,
        )
        self._proxy = Proxy(
            cluster_view=self._cluster_view,
            placer=self._placer,
            fair_shares=self._fair_shares,
            transport=self._targets,
            checks=self._restart_checks,
            bounds=bounds,
            reporter=reporter,
            is_stopping=self._stop.is_set,
            started_ms=started_ms,
            clock=now_ms,
            usage_caps=self._usage_caps,
        )
        self._caller_ledger = self._build_ledger('callers', 1.0)
        self._caller_server = _build_server(
            addresses.callers,
            ProxyApp(self._proxy),
            self._caller_ledger,
            caller_protocol(_build_ahead_node(settings.ahead)),
        )
        readiness = ReadinessApp(self._cluster_view, self._stop.is_set)
        lookups = LookupApp(
            me, self._cluster_view, self._stop.is_set, bounds.max_cache_s
        )
        self._servers = [
            self._caller_server,
            _build_server(
                addresses.readiness,
                readiness,
                self._build_ledger('readiness', CHECK_PART),
            ),
            _build_server(
                addresses.lookups,
                lookups,
                self._build_ledger('lookups', LOOKUP_PART),
            ),
        ]
        if addresses.metrics:
            explainer = Explainer(
                vm=settings.vm,
                cluster_view=self._cluster_view,
                lookups=lookups,
                proxy=self._proxy,
                placer=self._placer,
                fair_shares=self._fair_shares,
                usage_caps=self._usage_caps,
                clock=now_ms,
            )
            app = MetricsApp(self._metrics, WhereApp(explainer))
            ledger = self._build_ledger('metrics', CHECK_PART)
            server = _build_server(addresses.metrics, app, ledger)
            self._servers.append(server)

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then shut down gracefully.

        SIGHUP reloads the settings. A background task that fails is started
        again; a server that fails ends the node, which serves nobody then.
        """
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        tasks = [asyncio.create_task(s.serve()) for s in self._servers]
        tasks += [
            asyncio.create_task(keep_running(name, work))
            for name, work in (
                ('store sync', self._sync.run),
                ('membership', self._membership.run),
                ('loop delay', self._loop_delay.run),
                ('settings file', self._watch_settings),
                ('metrics', self._load_metrics),
                ('mesh', self._run_mesh),
            )
        ]
        logging.info('node runs', extra={'settings': self._settings})
        stopping = asyncio.create_task(self._stop.wait())
        await asyncio.wait(
            [stopping, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        for task in tasks:
            if task.done():
                task.result()
        await self._drain()
        for server in self._servers:
            server.should_exit = True
            server.force_exit = True
        for task in tasks[len(self._servers) :]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._usage_caps.close()
        await self._restart_checks.close()
        await self._targets.close()

    def _build_ledger(self, port: str, part: float) -> ConnectionLedger:
        return ConnectionLedger(
            self._settings.caller_limits,
            port,
            self._read_caller_limits,
            self._on_cut_off,
            part,
        )

    def _read_caller_limits(self) -> CallerLimits | None:
        table = self._cluster_view.table
        return table.limits if table else None

    def _on_cut_off(self, port: str, reason: str) -> None:
        self._metrics.record(lambda m: m.on_cut_off(port, reason))

    def _on_store_call(self, call: str, outcome: str) -> None:
        role = self._sync.role
        self._metrics.record(lambda m: m.on_store_call(call, outcome, role))

    def _on_idle_lost(self, address: str) -> None:
        self._restart_checks.on_idle_connection_lost(address)

    def _on_status_check(self, outcome: str) -> None:
        self._metrics.record(lambda m: m.on_status_check(outcome))

    async def _run_mesh(self) -> None:
        module = await asyncio.to_thread(
            importlib.import_module, 'gentianbank.nodes.steering_mesh'
        )
        try:
            await module.run_mesh(
                self._me,
                self._cluster_view,
                self._sync,
                self._settings.store.followers_per_region,
                self._usage_caps,
                self._fair_shares,
                now_ms,
                boot_ms,
                self._settings.gossip.messages_per_s,
                self._settings.caller_limits.max_unauthenticated_peers,
            )
        except OSError as error:
            # The node still serves callers, but without load reports and
            # store changes from its peers.
            logging.error('no peers', extra={'cause': str(error)})
            await self._stop.wait()

    async def _load_metrics(self) -> None:
        """Load the metrics library and add the gauges, if metrics are on."""
        if not self._settings.addresses.metrics:
            await self._stop.wait()
            return
        gauges = list_gauges(
            self._cluster_view,
            self._placer,
            lambda: self._proxy.in_flight,
            lambda: self._proxy.read_ahead_bytes,
            self._loop_delay,
            self._usage_caps,
            now_ms,
        )
        gauges += list_store_gauges(self._sync)
        gauges += list_share_gauges(self._fair_shares)
        gauges += list_connection_gauges(self._caller_ledger)
        await self._metrics.load(gauges)
        await self._stop.wait()

    async def _watch_settings(self) -> None:
        while not self._stop.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SETTINGS_POLL_S):
                    await self._stop.wait()
            if self._settings_file.has_changed():
                self._reload()

    def _reload(self) -> None:
        """Apply the changed settings that need no restart."""
        settings = self._settings_file.reload()
        if settings is None:
            return
        self._settings = settings
        self._placer.apply_bounds(settings.bounds)
        self._proxy.apply_bounds(settings.bounds)
        set_level(settings.logging)

    async def _drain(self) -> None:
        """Shut down gracefully, on the schedule of ``ShutdownSchedule``.

        The node is removed from the look-ups. It still serves requests for
        a part of the grace period and then refuses new ones.
        """
        logging.info('node leaves')
        self._usage_caps.leave()
        leaving = asyncio.create_task(self._membership.unregister())
        plan = ShutdownSchedule(
            now_ms(), self._settings.bounds.stop_s * _MS_PER_S
        )
        while not plan.may_exit(now_ms(), self._proxy.in_flight):
            if plan.refuses_requests(now_ms()):
                self._proxy.refuse_new_requests()
            await asyncio.sleep(STOP_POLL_S)
        await leaving
        logging.info('node stops', extra={'in_flight': self._proxy.in_flight})


def run(path: Path, raw: Any) -> Result[None, InvalidDocument]:
    """Run a node until it is asked to stop.

    Parameters
    ----------
    path
        Path of the settings file, which errors name and reloads read.
    raw
        Settings as read from the file, not yet checked.

    Returns
    -------
    Result
        An error if the settings are invalid.
    """
    match schema.read(SteeringSettings, raw, str(path)):
        case Result(tag='ok', ok=settings):
            pass
        case Result(error=error):
            return Error(error)
    with open_logs(settings.logging, settings.vm):
        asyncio.run(_run(path, settings))
    return Ok(None)


async def _run(path: Path, settings: SteeringSettings) -> None:
    await SteeringNode(path, settings).run()


def _build_ahead_node(limits: RequestsAhead) -> AheadNode:
    return AheadNode(
        max_per_connection=limits.max_per_connection,
        held_bytes_per_connection=limits.held_bytes_per_connection,
        count=AheadCount(limits.max_per_node),
        held=BufferBudget(limits.held_bytes_per_node),
    )


def _build_server(
    address: str,
    app: App,
    ledger: ConnectionLedger,
    protocol: type[CallerProtocol] = CallerProtocol,
) -> HttpServer:
    listen = parse_address(address)
    config = BoundedConfig(
        app,
        ledger,
        host=listen.host,
        port=listen.port,
        loop='asyncio',
        http=protocol,
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        backlog=BACKLOG,
    )
    return HttpServer(config)
