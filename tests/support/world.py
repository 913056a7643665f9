"""Several real nodes over fakes, on a virtual clock."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import itertools
from random import Random
from typing import Any
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.control.loans import RegionBudgetLender
from gentianbank.control.messages import decode_message
from gentianbank.control.messages import encode_message
from gentianbank.control.messages import Message
from gentianbank.control.messages import RequestOrReply
from gentianbank.control.peers import PeerConnections
from gentianbank.control.peers import PeerUnreachable
from gentianbank.control.state import ControlState
from gentianbank.dataplane.answers import AnswerWriter
from gentianbank.dataplane.attempts import RetryingSender
from gentianbank.dataplane.budgets import BudgetBook
from gentianbank.dataplane.decisions import DecisionLog
from gentianbank.dataplane.exchange import Exchange
from gentianbank.dataplane.forwarder import Forwarder
from gentianbank.dataplane.outcomes import KeyAdmission
from gentianbank.dataplane.routing import Routing
from gentianbank.domain.configuration import Configuration
from gentianbank.domain.configuration import read_configuration
from gentianbank.domain.member import DOWN
from gentianbank.domain.member import Member
from gentianbank.domain.member import READY
from gentianbank.domain.outcome import OutcomeTable
from gentianbank.domain.settings import Limits
from gentianbank.policy.balancer import BALANCERS
from gentianbank.requests import PeerRequests
from gentianbank.storage.claims import ClaimStore
from tests.support.fakes import FakeStore
from tests.support.fakes import FakeTargets
from tests.support.fakes import SilentMetrics
from tests.support.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Iterable

LINK_S = 0.005
REGION = 'kingston'
SERVICE = 'ordering'


def build_configuration(targets: int = 4, slots: int = 6) -> Configuration:
    """Return a configuration of one region and one service."""
    document: dict[str, Any] = {
        'lookups': {'cache_ms': 2000},
        'regions': {
            REGION: {
                'failure_domains': ['kingston-a'],
                'declared_nodes': 3,
                'max_in_flight': 200,
            }
        },
        'services': {
            SERVICE: {
                'idempotent_methods': ['GET'],
                'deadline_ms': 2000,
                'max_deadline_ms': 10000,
                'places': [
                    {
                        'region': REGION,
                        'share_percent': 100,
                        'targets': [
                            {
                                'name': f'target-{number}',
                                'failure_domain': 'kingston-a',
                                'address': f'10.0.0.{number + 1}:80',
                                'slots': slots,
                                'max_connections': 330,
                            }
                            for number in range(targets)
                        ],
                    }
                ],
            }
        },
    }
    return read_configuration(document, 'test').ok


@dataclass
class Reply:
    """What a caller got for one submission.

    Parameters
    ----------
    whole
        The answer came to its end.
    """

    status: int = 0
    outcome: str = ''
    body: bytes = b''
    whole: bool = False


@dataclass
class WorldNode:
    """One node, built from the parts of the daemon."""

    member: Member
    state: ControlState
    key_admission: KeyAdmission
    requests: PeerRequests
    forwarder: Forwarder
    routing: Routing
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    running: asyncio.Event = field(default_factory=asyncio.Event)
    dead: bool = False
    stopping: bool = False


@dataclass
class World:
    """Nodes, a store and targets, and the faults between them."""

    store: FakeStore = field(default_factory=FakeStore)
    targets: FakeTargets = field(default_factory=FakeTargets)
    nodes: dict[str, WorldNode] = field(default_factory=dict)
    cut: set[frozenset[str]] = field(default_factory=set)
    fired: Counter[str] = field(default_factory=Counter)
    configuration: Configuration = field(default_factory=build_configuration)
    outcome_table: type[OutcomeTable] = OutcomeTable
    _incarnations: itertools.count[int] = field(
        default_factory=lambda: itertools.count(1)
    )

    def __post_init__(self) -> None:
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)

    def close(self) -> None:
        """End the loop."""
        self.loop.end()

    def advance(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def start(self, vm: str) -> WorldNode:
        """Start a node, with a new incarnation."""
        number = next(self._incarnations)
        member = Member(
            vm=vm,
            region=REGION,
            failure_domain='kingston-a',
            http='10.1.0.1:1',
            peer='10.1.0.1:2',
            incarnation=f'{number:016x}',
            generation=number,
            version=0,
            state=READY,
        )
        node = self._build(member)
        node.running.set()
        node.routing.update(self.configuration)
        self.nodes[vm] = node
        return node

    def gossip(self) -> None:
        """Exchange the member records of nodes that reach each other."""
        for one, other in itertools.permutations(self.nodes.values(), 2):
            if self._is_reachable(one, other):
                other.state.members.merge(one.state.members.all())

    def suspect(self, vm: str) -> None:
        """Have the others declare a node down."""
        for node in self.nodes.values():
            if node.member.vm != vm and not node.dead:
                node.state.members.mark_down(vm)

    def kill(self, vm: str) -> None:
        """Kill a node; what it has sent still runs."""
        node = self.nodes[vm]
        node.dead = True
        for task in (*node.tasks, *node.forwarder._execution_tasks):
            task.cancel()
        self.fired['kill'] += 1

    def freeze(self, vm: str) -> None:
        """Stop a node's process until it is thawed."""
        self.nodes[vm].running.clear()
        self.fired['freeze'] += 1

    def thaw(self, vm: str) -> None:
        """Let a frozen process go on."""
        self.nodes[vm].running.set()

    def submit(
        self,
        vm: str,
        method: str,
        path: str,
        key: str,
        body: bytes,
        *extra_headers: tuple[bytes, bytes],
    ) -> asyncio.Task[Reply]:
        """Send a request to a node, as a caller does."""
        node = self.nodes[vm]
        headers = [(b'content-length', str(len(body)).encode())]
        if key:
            headers.append((b'idempotency-key', key.encode()))
        headers += extra_headers
        task = self.loop.create_task(
            self._exchange(node, method, path, headers, body)
        )
        node.tasks.add(task)
        return task

    async def stop(self, vm: str, notice_s: float = 0.0) -> str:
        """Stop a node as planned, as the daemon does; return the heir.

        Parameters
        ----------
        notice_s
            Time for which the node still takes work.
        """
        node = self.nodes[vm]
        self.fired['planned stop'] += 1
        await node.running.wait()
        await asyncio.sleep(notice_s)
        await node.running.wait()
        node.stopping = True
        await node.forwarder.wait_idle()
        await node.running.wait()
        heir = await node.requests.hand_over()
        node.state.declare_leaving(heir)
        node.state.declare_down()
        for other in self.nodes.values():
            if self._is_reachable(node, other):
                other.state.members.merge([node.state.me])
        node.dead = True
        # The end of the process cuts what it still serves.
        for task in (*node.tasks, *node.forwarder._execution_tasks):
            if task is not asyncio.current_task():
                task.cancel()
        return heir

    async def _exchange(
        self,
        node: WorldNode,
        method: str,
        path: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> Reply:
        reply = Reply()
        pending = [{'type': 'http.request', 'body': body}]

        async def receive() -> dict[str, Any]:
            if pending:
                return pending.pop()
            await asyncio.Event().wait()
            raise AssertionError

        async def send(message: Any) -> None:
            await node.running.wait()
            if message['type'] == 'http.response.start':
                reply.status = message['status']
                found = dict(message['headers'])
                reply.outcome = found.get(b'request-outcome', b'').decode()
                return
            reply.body += message.get('body', b'')
            reply.whole = not message.get('more_body', False)

        scope = {
            'method': method,
            'headers': headers,
            'path': path,
            'raw_path': path.encode(),
        }
        await node.running.wait()
        await node.forwarder.serve(Exchange(scope, receive, send))
        return reply

    def _build(self, member: Member) -> WorldNode:
        clock = self.loop.now_ms
        started_ms = clock()
        state = ControlState(member)
        keeper = RegionBudgetLender(state, self.store, 'test', clock)
        requests = PeerRequests(state, keeper)
        budgets = BudgetBook(REGION, clock)
        routing = Routing(
            budgets,
            BALANCERS['power-of-two'](),
            Random(member.generation),
            clock,
        )
        node: WorldNode
        key_admission = KeyAdmission(
            self.outcome_table(member.incarnation),
            ClaimStore(self.store, 'test', member.incarnation),
            requests.ask_owner,
            lambda: clock() - started_ms,
        )
        transport = _NodeTransport(self, member.vm)
        retrying_sender = RetryingSender(
            node=member.vm,
            region=REGION,
            limits=Limits(),
            routing=routing,
            budgets=budgets,
            transport=transport,
            metrics=SilentMetrics(),
            clock=clock,
        )
        forwarder = Forwarder(
            limits=Limits(),
            routing=routing,
            retrying_sender=retrying_sender,
            answer_writer=AnswerWriter(
                REGION, budgets, clock, lambda: node.stopping
            ),
            key_admission=key_admission,
            decisions=DecisionLog(None),
            metrics=SilentMetrics(),
            clock=clock,
            revision=lambda: 1,
            is_stopping=lambda: node.stopping,
            log_requests=False,
        )
        node = WorldNode(
            member, state, key_admission, requests, forwarder, routing
        )
        requests.attach(_NodePeers(self, member.vm), key_admission)
        return node

    def _is_reachable(self, one: WorldNode, other: WorldNode) -> bool:
        pair = frozenset((one.member.vm, other.member.vm))
        return not (one.dead or other.dead or pair in self.cut)


class _NodeTransport(FakeTargets):
    """The targets as one node reaches them: not while it is frozen."""

    def __init__(self, world: World, vm: str) -> None:
        super().__init__()
        self._world = world
        self._vm = vm

    async def send(self, request: Any) -> Any:
        node = self._world.nodes[self._vm]
        await node.running.wait()
        result = await self._world.targets.send(request)
        await node.running.wait()
        return result


class _NodePeers(PeerConnections):
    """Requests between nodes, in their encoded form."""

    def __init__(self, world: World, vm: str) -> None:
        self._world = world
        self._vm = vm

    def dial(self, vm: str, address: str) -> None:
        pass

    def disconnect(self, vm: str) -> None:
        pass

    def send(self, vm: str, message: Message) -> None:
        pass

    def send_to_each(self, vms: Iterable[str], message: Message) -> None:
        pass

    async def request(
        self, vm: str, address: str, message: RequestOrReply, timeout_ms: float
    ) -> Result[RequestOrReply, PeerUnreachable]:
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                return await self._request(vm, message)
        except TimeoutError:
            return Error(PeerUnreachable(vm, 'timeout'))

    async def _request(
        self, vm: str, message: RequestOrReply
    ) -> Result[RequestOrReply, PeerUnreachable]:
        me = self._world.nodes[self._vm]
        other = self._world.nodes[vm]
        await me.running.wait()
        await asyncio.sleep(LINK_S)
        if not self._world._is_reachable(me, other):
            self._world.fired['cut link'] += 1
            return Error(PeerUnreachable(vm, 'cut'))
        await other.running.wait()
        numbered = replace(message, request_id=1)
        decoded = decode_message(encode_message(numbered)).ok
        answer = await other.requests.answer(self._vm, decoded)
        await asyncio.sleep(LINK_S)
        if not self._world._is_reachable(me, other) or answer is None:
            return Error(PeerUnreachable(vm, 'cut'))
        await me.running.wait()
        reply = decode_message(encode_message(answer)).ok
        assert isinstance(reply, RequestOrReply)
        return Ok(reply)


__all__ = ['DOWN', 'Reply', 'World', 'WorldNode', 'build_configuration']
