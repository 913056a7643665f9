"""Several nodes that gossip, before a target that starts or fails."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import random
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.control.peers import Connected
from gentianbank.control.peers import PeerConnections
from gentianbank.control.peers import PeerEvent
from gentianbank.control.peers import PeerUnreachable
from gentianbank.control.peers import Received
from gentianbank.steering.fair_shares.demand_gossip import DemandGossip
from gentianbank.steering.load_gossip import LoadGossip
from gentianbank.targets.transport import MaybeSent
from tests.support.fleet import regions_of
from tests.support.fleet import registration_of
from tests.support.gossip_hub import InertNewsExchange
from tests.support.steering import Caller
from tests.support.steering import FAILED
from tests.support.steering import header
from tests.support.steering import Path
from tests.support.steering import READ
from tests.support.steering import Reply
from tests.support.steering import Script
from tests.support.steering import ScriptedAnswer
from tests.support.steering import ScriptedTargets
from tests.support.steering import SHED
from tests.support.steering import STAMP
from tests.support.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from gentianbank.control.messages import Message
    from gentianbank.control.messages import RequestOrReply
    from gentianbank.targets.transport import SendError
    from gentianbank.targets.transport import TargetAnswer
    from gentianbank.targets.transport import TargetRequest

SLOTS = 3
WORK_S = 0.2
# Requests that a target takes beyond its slots before it rejects.
QUEUE = 6
MESSAGE_S = 0.002
SUBJECT = 'desk-1'
# The subject behaves in its own way for this long after its start.
SPELL_S = 8.0
FLAP_S = 2.0
SILENT_S = 5.0


@dataclass
class PacedTargets:
    """Targets with slots and a queue; the subject behaves as its kind says.

    The kinds are ``fast``, ``slow``, ``flapping``, ``silent``, ``lying`` and
    ``cold``.
    """

    loop: VirtualLoop
    kind: str
    started_s: float = float('inf')
    most: Counter[str] = field(default_factory=Counter)
    paced: Counter[str] = field(default_factory=Counter)
    is_paced: Callable[[], bool] = lambda: False
    served: Counter[str] = field(default_factory=Counter)
    rejected: Counter[str] = field(default_factory=Counter)
    in_flight: Counter[str] = field(default_factory=Counter)
    _slots: defaultdict[str, asyncio.Semaphore] = field(
        default_factory=lambda: defaultdict(lambda: asyncio.Semaphore(SLOTS))
    )

    async def answer(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, SendError]:
        """Run a request."""
        name = header(request.headers, b'expect-instance').decode()
        request_id = header(request.headers, b'request-id')
        if self.in_flight[name] >= SLOTS + QUEUE:
            self.rejected[name] += 1
            await asyncio.sleep(SHED.after_s)
            return Ok(ScriptedAnswer(SHED, request_id))
        self.in_flight[name] += 1
        if self.is_paced():
            self.paced[name] = max(self.paced[name], self.in_flight[name])
        if self._since_start_s >= 0:
            self.most[name] = max(self.most[name], self.in_flight[name])
        try:
            async with asyncio.timeout(request.headers_timeout_ms / 1_000):
                script = await self._work(name)
        except TimeoutError:
            return Error(MaybeSent('no answer in time'))
        finally:
            self.in_flight[name] -= 1
        return Ok(ScriptedAnswer(script, request_id))

    @property
    def _since_start_s(self) -> float:
        return self.loop.time() - self.started_s

    async def _work(self, name: str) -> Script:
        async with self._slots[name]:
            slowdown = 1.0
            if name == SUBJECT and 0 <= self._since_start_s < SPELL_S:
                if self._fails:
                    await asyncio.sleep(WORK_S / 4)
                    return FAILED
                if self.kind == 'silent' and self._since_start_s < SILENT_S:
                    await asyncio.sleep(3_600)
                slowdown = self._slowdown()
            await asyncio.sleep(WORK_S * slowdown)
        self.served[name] += self._since_start_s >= 0
        told = 1.0 if self.kind == 'lying' else slowdown
        running = min(SLOTS, self.in_flight[name])
        waiting = self.in_flight[name] - running
        if self.kind == 'lying':
            running = waiting = 0
        load = f'{running},{waiting},{SLOTS},{round(told * 100)}'
        return Script(headers=(STAMP, (b'server-load', load.encode())))

    @property
    def _fails(self) -> bool:
        turns = int(self._since_start_s / FLAP_S)
        return self.kind == 'flapping' and turns % 2 == 1

    def _slowdown(self) -> float:
        """Return the slowdown of the subject.

        A cold target works slower with each request that it runs at a time;
        a slow or lying one does so too, and for longer.
        """
        if self.kind == 'cold':
            left = max(0.0, 1 - self._since_start_s / 4)
            return 1 + left * min(SLOTS, self.in_flight[SUBJECT])
        if self.kind in ('slow', 'lying'):
            return 1.0 + min(SLOTS, self.in_flight[SUBJECT])
        return 1.0


class _NodeTransport(ScriptedTargets):
    def __init__(self, targets: PacedTargets) -> None:
        super().__init__()
        self._targets = targets

    async def send(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, SendError]:
        return await self._targets.answer(request)


class _Peers(PeerConnections):
    """Connections of one node; messages take ``MESSAGE_S``."""

    def __init__(self, fleet: PaceFleet, vm: str) -> None:
        self._fleet = fleet
        self._vm = vm

    def dial(self, vm: str, address: str) -> None:
        self._fleet.deliver(self._vm, Connected(vm))
        self._fleet.deliver(vm, Connected(self._vm))

    def disconnect(self, vm: str) -> None:
        return

    def send(self, vm: str, message: Message) -> None:
        self._fleet.deliver(vm, Received(self._vm, message))

    def send_to_each(self, vms: Iterable[str], message: Message) -> None:
        for vm in vms:
            self.send(vm, message)

    async def request(
        self, vm: str, address: str, message: RequestOrReply, timeout_ms: float
    ) -> Result[RequestOrReply, PeerUnreachable]:
        raise NotImplementedError


@dataclass(frozen=True)
class Figures:
    """What callers got, and what the subject had."""

    in_time: int
    late: int
    refused: int
    most_at_subject: int
    most_under_pace: int
    rejected_by_subject: int
    served_by_subject: int


class PaceFleet:
    """Nodes with gossip; callers send random objects to random nodes."""

    def __init__(
        self,
        kind: str,
        *,
        with_pace: bool,
        nodes: int = 12,
        targets: int = 6,
        seed: int = 0,
    ) -> None:
        self.loop = VirtualLoop()
        self.targets = PacedTargets(self.loop, kind)
        self.replies: list[tuple[float, Reply]] = []
        self._random = random.Random(seed)
        regions = regions_of(6)
        domains = [name for name in regions if name.startswith('east')]
        self.nodes = {
            f'vm-{number}': Path(
                targets=0,
                vm=f'vm-{number}',
                failure_domain=domains[number % len(domains)],
                regions=regions,
                loop=self.loop,
                transport=_NodeTransport(self.targets),
                with_pace=with_pace,
            )
            for number in range(nodes)
        }
        self._gossips: dict[str, LoadGossip] = {}
        for vm, node in self.nodes.items():
            for number in range(1, targets + 1):
                node.put_target(
                    f'desk-{number}', slots=SLOTS, failure_domain='east-1'
                )
            for other in self.nodes.values():
                node.cluster_view.put_node(registration_of(other))
            self._gossips[vm] = self._gossip_of(node)

    def _gossip_of(self, node: Path) -> LoadGossip:
        peers = _Peers(self, node.vm)
        return LoadGossip(
            vm=node.vm,
            region=node.region,
            cluster_view=node.cluster_view,
            peers=peers,
            store_catch_up=InertNewsExchange(),
            demand_gossip=DemandGossip(
                node.fair_shares, peers, self.loop.now_ms
            ),
            clock=self.loop.now_ms,
        )

    def deliver(self, vm: str, event: PeerEvent) -> None:
        """Deliver an event to a node a little later."""
        gossip = self._gossips[vm]
        self.loop.call_later(MESSAGE_S, gossip.on_event, event)

    def start_subject(self, *, cold: bool = True) -> None:
        """Let the subject start again, or only change its behavior."""
        self.targets.started_s = self.loop.time()
        self.targets.is_paced = lambda: bool(self.paced_nodes)
        for node in self.nodes.values() if cold else ():
            entry = node.cluster_view.targets[SUBJECT].registration
            node.cluster_view.put_target(
                replace(entry, born_ms=2),
                self.loop.now_ms(),
                from_first_listing=False,
            )

    @property
    def paced_nodes(self) -> int:
        """Return how many nodes have a target under pace."""
        return sum(
            bool(node.placer.pacing and node.placer.pacing.paced_target_count)
            for node in self.nodes.values()
        )

    def play(self, duration_s: float, requests_per_s: float) -> None:
        """Let callers send requests at random times to random nodes."""
        self.loop.run_until_complete(self._play(duration_s, requests_per_s))

    async def _play(self, duration_s: float, requests_per_s: float) -> None:
        gossips = [
            asyncio.create_task(gossip.run())
            for gossip in self._gossips.values()
        ]
        end_s = self.loop.time() + duration_s
        nodes = list(self.nodes.values())
        async with asyncio.TaskGroup() as group:
            while self.loop.time() < end_s:
                group.create_task(self._ask(self._random.choice(nodes)))
                await asyncio.sleep(self._random.expovariate(requests_per_s))
        for gossip in gossips:
            gossip.cancel()
        await asyncio.gather(*gossips, return_exceptions=True)

    async def _ask(self, node: Path) -> None:
        caller = Caller(
            self.loop,
            request_id=f'r-{len(self.replies)}',
            key=str(self._random.randrange(60)),
            deadline_ms=1_500,
        )
        self.replies.append((self.loop.now_ms(), caller.reply))
        await node.proxy.serve(caller.exchange())

    def figures(self) -> Figures:
        """Return the figures since the start of the subject."""
        counts: Counter[str] = Counter()
        for sent_ms, reply in self.replies:
            if sent_ms < self.targets.started_s * 1_000:
                continue
            if reply.status != 200:
                counts['refused'] += 1
            elif reply.at_ms - sent_ms <= READ.latency_objective_ms:
                counts['in time'] += 1
            else:
                counts['late'] += 1
        return Figures(
            counts['in time'],
            counts['late'],
            counts['refused'],
            self.targets.most[SUBJECT],
            self.targets.paced[SUBJECT],
            self.targets.rejected[SUBJECT],
            self.targets.served[SUBJECT],
        )
