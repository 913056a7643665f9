"""A node that steers for the users' platform."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import Any
from typing import TYPE_CHECKING

from absl import logging
from expression import Error
from expression import Ok
from expression import Result
import uvicorn

from gentianbank.dataplane.server import HttpServer
from gentianbank.domain import schema
from gentianbank.domain.addresses import parse_address
from gentianbank.domain.registration import NodeRegistration
from gentianbank.domain.steering_settings import SteeringSettings
from gentianbank.platform.store import KvStore
from gentianbank.policy.graceful_stop import StopPlan
from gentianbank.steering.apps import LookupApp
from gentianbank.steering.apps import ProxyApp
from gentianbank.steering.apps import ReadinessApp
from gentianbank.steering.beliefs import Beliefs
from gentianbank.steering.membership import Membership
from gentianbank.steering.placer import Placer
from gentianbank.steering.proxy import Proxy
from gentianbank.steering.store_sync import StoreSync
from gentianbank.targets.pool import ConnectionPool
from gentianbank.telemetry.logs import set_up_logs

if TYPE_CHECKING:
    from pathlib import Path

    from gentianbank.domain.errors import InvalidDocument
    from gentianbank.steering.apps import App

# Longer than callers reuse idle connections.
KEEP_ALIVE_S = 60
BACKLOG = 2_048
STOP_POLL_S = 0.05
_MS_PER_S = 1_000


def now_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * _MS_PER_S


class SteeringNode:
    """One node.

    Parameters
    ----------
    settings
        Checked settings of this VM.
    """

    def __init__(self, settings: SteeringSettings) -> None:
        self._settings = settings
        bounds = settings.bounds
        self._stop = asyncio.Event()
        addresses = settings.addresses
        me = NodeRegistration(
            vm=settings.vm,
            region=settings.region,
            failure_domain=settings.failure_domain,
            callers=addresses.callers,
            peers=addresses.peers,
        )
        self._targets = ConnectionPool()
        self._store = KvStore(
            settings.store.address, settings.store.timeout_ms, self._targets
        )
        self._beliefs = Beliefs(dict(settings.regions))
        self._membership = Membership(
            me, self._store, settings.store, lambda: self._sync.poke()
        )
        self._sync = StoreSync(
            vm=settings.vm,
            store=self._store,
            settings=settings.store,
            beliefs=self._beliefs,
            grace_ms=bounds.lapse_grace_ms,
            on_own_entry_gone=self._membership.on_entry_gone,
            clock=now_ms,
        )
        placer = Placer(
            vm=settings.vm,
            region=settings.region,
            failure_domain=settings.failure_domain,
            beliefs=self._beliefs,
            bounds=bounds,
            clock=now_ms,
        )
        self._proxy = Proxy(
            beliefs=self._beliefs,
            placer=placer,
            transport=self._targets,
            bounds=bounds,
            is_stopping=self._stop.is_set,
            clock=now_ms,
        )
        self._callers = _server(addresses.callers, ProxyApp(self._proxy))
        readiness = ReadinessApp(self._beliefs, self._stop.is_set)
        lookups = LookupApp(
            me, self._beliefs, self._stop.is_set, bounds.max_cache_s
        )
        self._servers = (
            self._callers,
            _server(addresses.readiness, readiness),
            _server(addresses.lookups, lookups),
        )

    async def run(self) -> None:
        """Run until a signal asks for a graceful stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(
            signal.SIGHUP,
            logging.info,
            'SIGHUP ignored: settings are read at the start only',
        )
        work = [asyncio.create_task(s.serve()) for s in self._servers]
        work.append(asyncio.create_task(self._sync.run()))
        work.append(asyncio.create_task(self._membership.run()))
        logging.info('node runs')
        stopping = asyncio.create_task(self._stop.wait())
        await asyncio.wait(
            [stopping, *work], return_when=asyncio.FIRST_COMPLETED
        )
        for task in work:
            if task.done():
                task.result()
        await self._drain()
        for server in self._servers:
            server.should_exit = True
            server.force_exit = True
        for task in work[len(self._servers) :]:
            task.cancel()
        await asyncio.gather(*work, return_exceptions=True)
        await self._targets.close()

    async def _drain(self) -> None:
        """Leave the look-ups and serve what still comes."""
        logging.info('node leaves')
        leaving = asyncio.create_task(self._membership.leave())
        plan = StopPlan(now_ms(), self._settings.bounds.stop_s * _MS_PER_S)
        while not plan.may_exit(now_ms(), self._proxy.in_flight):
            if plan.refuses(now_ms()):
                self._proxy.refuse_new()
            await asyncio.sleep(STOP_POLL_S)
        await leaving
        logging.info('node stops', extra={'in_flight': self._proxy.in_flight})


def run(path: Path, raw: Any) -> Result[None, InvalidDocument]:
    """Run a node until it is asked to stop.

    Parameters
    ----------
    path
        Path of the settings file, for errors.
    raw
        Plain document of the settings.
    """
    match schema.read(SteeringSettings, raw, str(path)):
        case Result(tag='ok', ok=settings):
            pass
        case Result(error=error):
            return Error(error)
    set_up_logs(settings.logging, settings.vm)
    asyncio.run(_run(settings))
    return Ok(None)


async def _run(settings: SteeringSettings) -> None:
    await SteeringNode(settings).run()


def _server(address: str, app: App) -> HttpServer:
    listen = parse_address(address)
    config = uvicorn.Config(
        app,
        listen.host,
        listen.port,
        loop='asyncio',
        http='httptools',
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        backlog=BACKLOG,
        timeout_keep_alive=KEEP_ALIVE_S,
    )
    return HttpServer(config)
