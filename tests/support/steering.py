"""A node's request path over scripted targets, on a virtual clock."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import enum
from typing import Any
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.dataplane.exchange import Exchange
from gentianbank.domain.registration import TargetRegistration
from gentianbank.domain.route_table import CallerLimits
from gentianbank.domain.route_table import Route
from gentianbank.domain.route_table import RouteTable
from gentianbank.domain.route_table import ServicePolicy
from gentianbank.domain.route_table import SplitPart
from gentianbank.domain.route_table import UnusableRoute
from gentianbank.domain.steering_settings import Bounds
from gentianbank.policy.fleet_members import MemberSource
from gentianbank.steering.cluster_view import ClusterView
from gentianbank.steering.fair_shares.fair_shares import FairShares
from gentianbank.steering.leaving.leaving_checks import LeavingChecks
from gentianbank.steering.leaving.leaving_targets import LeavingTargets
from gentianbank.steering.placer import Placer
from gentianbank.steering.proxy import Proxy
from gentianbank.steering.reporter import Reporter
from gentianbank.steering.request_log import RequestLog
from gentianbank.steering.restart_checks import RestartChecks
from gentianbank.steering.usage_caps.admission import UsageCaps
from gentianbank.targets.transport import MaybeSent
from gentianbank.targets.transport import NotAllowed
from gentianbank.targets.transport import NotSent
from gentianbank.targets.transport import SendError
from gentianbank.targets.transport import TargetAnswer
from gentianbank.targets.transport import TargetRequest
from gentianbank.targets.transport import TargetTransport
from gentianbank.targets.transport import TruncatedBodyError
from gentianbank.telemetry.deferred import DeferredMetrics
from tests.support.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Coroutine

    from gentianbank.targets.transport import RawHeaders

REGIONS = {'east-1': 'east', 'east-2': 'east', 'west-1': 'west'}
HOST = 'shop.example'
LOG_LINES_PER_S = 1_000
CHUNK_BYTES = 100_000
# Time since the start of a node.
RUNNING_MS = 60_000.0
STAMP = (b'server-stamp', b'stamp')
READ = Route(
    name='read',
    prefix='/read/',
    idempotent=True,
    large=False,
    timeout_ms=1_500,
    latency_objective_ms=400,
    priority=2,
    parts=(SplitPart('desk', 1),),
    max_attempts=2,
    sticky=True,
    home_regions=frozenset(),
)
ORDER = replace(
    READ,
    name='order',
    prefix='/order/',
    idempotent=False,
    latency_objective_ms=600,
    timeout_ms=2_000,
    priority=1,
)
ORDER_REQUEST: dict[str, Any] = {
    'path': '/order/1',
    'method': 'POST',
    'body': b'two posts',
}


class BodyEnd(enum.Enum):
    """What follows the body of a script."""

    WHOLE = 'the answer is whole'
    SILENT = 'nothing, and the connection stays open'
    ENDLESS = 'the last part, again and again'


@dataclass(frozen=True)
class Script:
    """What a target does with a request."""

    status: int = 200
    body: bytes = b'whole'
    headers: tuple[tuple[bytes, bytes], ...] = (STAMP,)
    after_s: float = 0.1
    chunk_bytes: int = CHUNK_BYTES
    # Speed at which the body comes; 0 for all at once.
    bytes_per_s: float = 0.0
    failure: SendError | None = None
    cut: bool = False
    # Bytes after which the connection ends; 0 for an answer that is whole.
    cuts_after_bytes: int = 0
    end: BodyEnd = BodyEnd.WHOLE
    request_id: bytes | None = None
    names_request: bool = True
    followed: bool = False
    # Time until the connection is there and the request is written.
    connect_s: float = 0.0
    interim_headers: tuple[tuple[bytes, bytes], ...] = ()


SHED = Script(status=503, headers=((b'not-executed', b'1'),), after_s=0.002)
LOST = Script(failure=MaybeSent('reset'), after_s=0.05)
REFUSED = Script(failure=NotSent('refused'), after_s=0.001)
SILENT = Script(after_s=3_600.0)
FAILED = Script(status=500)


class ScriptedAnswer(TargetAnswer):
    """An answer that may be cut."""

    def __init__(self, script: Script, request_id: bytes) -> None:
        self._script = script
        self._unread = script.body
        self.is_followed = script.followed
        self.status = script.status
        echo = script.request_id or request_id
        self.headers: RawHeaders = [*script.headers]
        if script.names_request:
            self.headers.append((b'Request-Id', echo))

    async def chunks(self) -> AsyncIterator[bytes]:
        if self._script.cut:
            yield self._script.body[:1]
            raise TruncatedBodyError('reset')
        size = self._script.chunk_bytes
        chunk = b''
        while self._unread:
            chunk = self._unread[:size]
            self._unread = self._unread[size:]
            await self._produce(chunk)
            yield chunk
            if self._is_cut():
                raise TruncatedBodyError('reset')
        if self._script.end is BodyEnd.SILENT:
            await asyncio.Event().wait()
        while self._script.end is BodyEnd.ENDLESS:
            await self._produce(chunk)
            yield chunk

    def _is_cut(self) -> bool:
        cuts_after_bytes = self._script.cuts_after_bytes
        sent_bytes = len(self._script.body) - len(self._unread)
        return bool(cuts_after_bytes) and sent_bytes >= cuts_after_bytes

    async def _produce(self, chunk: bytes) -> None:
        if self._script.bytes_per_s:
            await asyncio.sleep(len(chunk) / self._script.bytes_per_s)

    async def close(self) -> None:
        return


class ScriptedTargets(TargetTransport):
    """Targets that do what their scripts say, by address."""

    def __init__(self) -> None:
        self.scripts: dict[str, list[Script]] = {}
        self.default = Script()
        self.requests: list[TargetRequest] = []
        self.given_up: list[TargetRequest] = []
        self.reads_bodies = False

    async def send(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, SendError]:
        queue = self.scripts.get(request.address, [])
        script = queue.pop(0) if queue else self.default
        if script.connect_s:
            await asyncio.sleep(script.connect_s)
        if request.is_withheld:
            return Error(NotAllowed('held back'))
        if not isinstance(script.failure, NotSent):
            self.requests.append(request)
        try:
            async with asyncio.timeout(request.headers_timeout_ms / 1_000):
                if self.reads_bodies:
                    await _read(request.body)
                await asyncio.sleep(script.after_s)
        except TimeoutError:
            self.given_up.append(request)
            return Error(MaybeSent('no answer in time'))
        except asyncio.CancelledError:
            self.given_up.append(request)
            raise
        if script.failure is not None:
            return Error(script.failure)
        sent_id = header(request.headers, b'request-id')
        answer = ScriptedAnswer(script, sent_id)
        if request.on_head is not None:
            if script.interim_headers:
                request.on_head(103, list(script.interim_headers))
            request.on_head(answer.status, answer.headers)
        return Ok(answer)


async def _read(body: AsyncIterator[bytes] | bytes | None) -> None:
    if body is not None and not isinstance(body, bytes):
        async for _ in body:
            pass


@dataclass
class Reply:
    """What a caller has got."""

    status: int = 0
    headers: RawHeaders = field(default_factory=list)
    parts: list[bytes] = field(default_factory=list)
    complete: bool = False
    at_ms: float = 0.0

    @property
    def body(self) -> bytes:
        """Return what has arrived of the body."""
        return b''.join(self.parts)


class Caller:
    """Sends one request over ASGI messages."""

    def __init__(self, loop: VirtualLoop, **head: Any) -> None:
        self._loop = loop
        self._parts = [head.pop('body', b'')]
        self._is_unfinished = False
        self.part_delay_s = 0.0
        self.stalls = False
        # Speed at which the answer is taken; 0 for all at once.
        self.read_bytes_per_s = 0.0
        self.gone = asyncio.Event()
        self.reply = Reply()
        headers = {
            'host': HOST,
            'request-id': head.get('request_id', 'r-1'),
            'affinity-key': head.get('key', '7'),
            'deadline-ms': str(head.get('deadline_ms', 3_000)),
        }
        if self._parts[0]:
            headers['content-length'] = str(len(self._parts[0]))
        headers |= head.get('headers', {})
        path = head.get('path', '/read/1')
        raw_path, _, query = path.partition('?')
        self.scope = {
            'method': head.get('method', 'GET'),
            'path': raw_path,
            'raw_path': raw_path.encode(),
            'query_string': query.encode(),
            'headers': [(k.encode(), v.encode()) for k, v in headers.items()],
        }

    def exchange(self) -> Exchange:
        return Exchange(self.scope, self._receive, self._send)

    def send_parts(self, *parts: bytes) -> None:
        """Send a body in parts; an empty last one leaves it unfinished."""
        self._parts = list(parts)
        self._is_unfinished = parts[-1] == b''

    @property
    def unread_parts(self) -> int:
        """Return how many parts of the body have not been read."""
        return len(self._parts)

    async def _receive(self) -> dict[str, Any]:
        if self._parts and (self._parts[0] or len(self._parts) > 1):
            await asyncio.sleep(self.part_delay_s)
            part = self._parts.pop(0)
            more = bool(self._parts)
            return {'type': 'http.request', 'body': part, 'more_body': more}
        if self._parts == [b''] and not self._is_unfinished:
            return {'type': 'http.request', 'body': self._parts.pop()}
        await self.gone.wait()
        return {'type': 'http.disconnect'}

    async def _send(self, message: Any) -> None:
        reply = self.reply
        if message['type'] == 'http.response.start':
            reply.status = message['status']
            reply.headers = message['headers']
            return
        if self.stalls:
            await asyncio.Event().wait()
        part = message.get('body', b'')
        if self.read_bytes_per_s:
            await asyncio.sleep(len(part) / self.read_bytes_per_s)
        reply.parts.append(part)
        if not message.get('more_body', False):
            reply.complete = True
            reply.at_ms = self._loop.now_ms()


class Path:
    """One node's request path; targets ``desk-1`` and on in east-1.

    Several nodes may share a loop and the targets. The store lists the node,
    unless a test takes its entry away.
    """

    def __init__(
        self,
        targets: int = 3,
        *,
        vm: str = 'vm-1',
        failure_domain: str = 'east-1',
        regions: dict[str, str] = REGIONS,
        loop: VirtualLoop | None = None,
        transport: ScriptedTargets | None = None,
        running_ms: float = RUNNING_MS,
        first_start: bool = False,
        with_pace: bool = False,
        **bounds: Any,
    ) -> None:
        self.vm = vm
        self.failure_domain = failure_domain
        self.region = regions[failure_domain]
        self.loop = loop or VirtualLoop()
        started_ms = self.loop.now_ms() - running_ms
        self.cluster_view = ClusterView(dict(regions))
        for source in MemberSource:
            self.cluster_view.members.put(vm, self.region, source)
        self.cluster_view.store_answered_ms = self.loop.now_ms()
        self.put_table()
        self.transport = transport or ScriptedTargets()
        settings = Bounds(**bounds)
        log = RequestLog(LOG_LINES_PER_S, self.loop.now_ms)
        self.fair_shares = FairShares(
            vm=vm,
            cluster_view=self.cluster_view,
            log=log,
            clock=self.loop.now_ms,
        )
        reporter = Reporter(
            cluster_view=self.cluster_view,
            log=log,
            metrics=DeferredMetrics(vm, self.region),
            clock=self.loop.now_ms,
        )
        self.stopping = False
        self.placer = Placer(
            vm=vm,
            region=self.region,
            failure_domain=failure_domain,
            cluster_view=self.cluster_view,
            bounds=settings,
            started_ms=started_ms,
            clock=self.loop.now_ms,
            with_pace=with_pace,
        )
        self.check_outcomes: list[str] = []
        self.leaving = LeavingTargets(
            self.cluster_view, self.loop.now_ms, self.loop.now_ms
        )
        self.checks = RestartChecks(
            cluster_view=self.cluster_view,
            quotas=self.placer.quotas,
            transport=self.transport,
            leaving=self.leaving,
            on_check=self.check_outcomes.append,
            clock=self.loop.now_ms,
        )
        self.leaving_checks = LeavingChecks(
            self.cluster_view, self.checks, self.loop.now_ms
        )
        self.leaving.add_listener(self.leaving_checks.on_leaving)
        self.usage_caps = UsageCaps(
            vm=vm,
            cluster_view=self.cluster_view,
            quotas=self.placer.quotas,
            bounds=settings,
            is_first_start=first_start,
            clock=self.loop.now_ms,
            boot_clock=self.loop.now_ms,
        )
        self.proxy = Proxy(
            cluster_view=self.cluster_view,
            placer=self.placer,
            fair_shares=self.fair_shares,
            transport=self.transport,
            checks=self.checks,
            leaving=self.leaving,
            bounds=settings,
            reporter=reporter,
            is_stopping=lambda: self.stopping,
            started_ms=started_ms,
            clock=self.loop.now_ms,
            usage_caps=self.usage_caps,
        )
        for number in range(1, targets + 1):
            self.put_target(f'desk-{number}')

    def put_table(
        self, version: int = 1, *routes: Route | UnusableRoute
    ) -> None:
        """Put a configuration in force."""
        self.cluster_view.put_table(table(version, *routes))

    def put_target(self, name: str, **changes: Any) -> None:
        """Register a target or change its entry."""
        self.cluster_view.put_target(
            registration(name, **changes),
            self.loop.now_ms(),
            from_first_listing=True,
        )

    def ask(self, **head: Any) -> Reply:
        """Send one request and wait for its end."""
        return self.ask_many([head])[0]

    def ask_many(self, heads: list[dict[str, Any]]) -> list[Reply]:
        """Send requests at once and wait for all of them."""
        callers = [Caller(self.loop, **head) for head in heads]

        async def serve() -> None:
            await asyncio.gather(
                *(self.proxy.serve(caller.exchange()) for caller in callers)
            )

        self.run(serve())
        return [caller.reply for caller in callers]

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work on the virtual clock."""
        self.loop.run_until_complete(work)

    def sent_to(self) -> list[str]:
        """Return the ids of the targets that got requests, in order."""
        return [
            header(request.headers, b'expect-instance').decode()
            for request in self.transport.requests
        ]


def registration(name: str, **changes: Any) -> TargetRegistration:
    """Return a target's entry."""
    fields: dict[str, Any] = {
        'target_id': name,
        'service': 'desk',
        'address': f'10.0.0.{name.rpartition("-")[2]}:80',
        'failure_domain': 'east-1',
        'slots': 2,
        'draining': False,
        'cold_left_ms': 0.0,
        'born_ms': 1,
    }
    return TargetRegistration(**(fields | changes))


def table(version: int, *routes: Route | UnusableRoute) -> RouteTable:
    """Return a configuration."""
    services = {
        part.service
        for route in routes or (READ, ORDER)
        if isinstance(route, Route)
        for part in route.parts
    }
    return RouteTable(
        version=version,
        hosts={HOST: routes or (READ, ORDER)},
        services={
            name: ServicePolicy(
                name=name,
                health_path='/health',
                max_connections=100,
                cold_start_ms=3_000,
                cold_per_s=7,
            )
            for name in services
        },
        limits=CallerLimits(max_body_bytes=1_000_000, idle_timeout_ms=15_000),
    )


def header(headers: RawHeaders, name: bytes) -> bytes:
    """Return a header's value; empty when it is missing."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return b''
