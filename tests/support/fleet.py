"""Several nodes' request paths before the same targets."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import random
from typing import Any
from typing import TYPE_CHECKING

from expression import Ok

from gentianbank.domain.registration import NodeRegistration
from gentianbank.domain.route_table import ServicePolicy
from gentianbank.domain.steering_settings import Bounds
from tests.support.steering import Caller
from tests.support.steering import header
from tests.support.steering import Path
from tests.support.steering import Reply
from tests.support.steering import RUNNING_MS
from tests.support.steering import Script
from tests.support.steering import ScriptedAnswer
from tests.support.steering import ScriptedTargets
from tests.support.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from expression import Result

    from gentianbank.targets.transport import SendError
    from gentianbank.targets.transport import TargetAnswer
    from gentianbank.targets.transport import TargetRequest

SEED = 0
WORK_S = 0.2
TARGETS = 4
OBJECTS = 40
# Objects that a target has handled so recently that it works fast.
WARM_OBJECTS = 30
REGIONS = ('east', 'west', 'hills')
SERVICE = 'desk'
LIMITED = 'desk-1'
# Span over which a target counts its requests.
WINDOW_S = 4.0
# The limit binds this long after the target first named it, and a node this
# long after it got such an answer.
STABLE_WINDOW_S = 3.0
TOLD_AFTER_S = 0.5
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5


@dataclass(frozen=True)
class Arrival:
    """A request that has reached a target that names a limit at times."""

    time_s: float
    vm: str
    target: str
    is_warm: bool


@dataclass
class SharedTargets:
    """Targets that all nodes use; some name a limit while there is one."""

    loop: VirtualLoop
    limited: frozenset[str] = frozenset({LIMITED})
    limit_per_s: float | None = None
    named_s: float | None = None
    told_s: dict[str, float] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    _recent_objects: defaultdict[str, deque[bytes]] = field(
        default_factory=lambda: defaultdict(lambda: deque(maxlen=WARM_OBJECTS))
    )

    async def answer(self, vm: str, request: TargetRequest) -> TargetAnswer:
        """Run a request of a node."""
        target = header(request.headers, b'expect-instance').decode()
        script = Script()
        is_warm = self._handle_object(
            target, header(request.headers, b'affinity-key')
        )
        if target in self.limited:
            self.arrivals.append(
                Arrival(self.loop.time(), vm, target, is_warm)
            )
        await asyncio.sleep(WORK_S)
        if target in self.limited and self.limit_per_s is not None:
            name = (b'Server-Limit', f'{self.limit_per_s:g}'.encode())
            script = replace(script, headers=(*script.headers, name))
            now_s = self.loop.time()
            self.named_s = self.named_s or now_s
            self.told_s.setdefault(vm, now_s)
        return ScriptedAnswer(script, header(request.headers, b'request-id'))

    def _handle_object(self, target: str, key: bytes) -> bool:
        """Return whether the target has handled an object recently."""
        recent = self._recent_objects[target]
        is_warm = key in recent
        if is_warm:
            recent.remove(key)
        recent.append(key)
        return is_warm

    def worst_window(self) -> int:
        """Return the most requests in a window from nodes that were told.

        They are those of the one target that names a limit.
        """
        assert self.named_s is not None
        never_s = float('inf')
        times_s = [
            arrival.time_s
            for arrival in self.arrivals
            if arrival.time_s >= self.named_s + STABLE_WINDOW_S
            and arrival.time_s
            >= self.told_s.get(arrival.vm, never_s) + TOLD_AFTER_S
        ]
        return max(
            sum(begin <= time_s < begin + WINDOW_S for time_s in times_s)
            for begin in times_s or [never_s]
        )


class _NodeTransport(ScriptedTargets):
    """Sends the requests of one node to the shared targets."""

    def __init__(self, targets: SharedTargets, vm: str) -> None:
        super().__init__()
        self._targets = targets
        self._vm = vm

    async def send(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, SendError]:
        return Ok(await self._targets.answer(self._vm, request))


@dataclass(frozen=True)
class Deployment:
    """Size of a fleet, and its limits for all nodes together."""

    nodes: int
    domains: int
    cold_per_s: float
    cold_slack: float
    max_connections: int
    retry_slack: float

    @property
    def bounds(self) -> Bounds:
        """Return the settings of the nodes."""
        return Bounds(cold_slack=self.cold_slack, retry_slack=self.retry_slack)

    @property
    def cold_allowed_per_s(self) -> float:
        """Return how many requests in a second a cold target may get."""
        return self.cold_per_s * self.bounds.cold_factor + self.cold_slack


# Small, grown and large deployments, and one of 300 nodes.
DEPLOYMENTS = (
    Deployment(7, 6, 7.0, 5, 330, 56),
    Deployment(7, 6, 3.6, 5, 390, 64),
    Deployment(7, 6, 12.0, 5, 330, 58),
    Deployment(25, 6, 4.8, 8, 1_290, 162),
    Deployment(34, 6, 5.1, 8, 1_740, 212),
    Deployment(35, 9, 2.6, 8, 1_800, 220),
    Deployment(77, 9, 2.0, 10, 3_600, 430),
    Deployment(300, 9, 7.0, 5, 330, 430),
)


class Fleet:
    """Nodes that know each other, without connections between them.

    Callers send to every node, for random objects of one route.
    """

    def __init__(
        self,
        nodes: int,
        regions: dict[str, str],
        *,
        targets: int = TARGETS,
        objects: int = OBJECTS,
        know_each_other: bool = True,
        running_ms: float = RUNNING_MS,
    ) -> None:
        self.loop = VirtualLoop()
        self.targets = SharedTargets(self.loop)
        self.replies: list[Reply] = []
        self._objects = objects
        self._random = random.Random(SEED)
        domains = sorted(regions)
        self.nodes = [
            Path(
                targets=targets,
                vm=f'vm-{number}',
                failure_domain=domains[number % len(domains)],
                regions=regions,
                loop=self.loop,
                transport=_NodeTransport(self.targets, f'vm-{number}'),
                running_ms=running_ms,
            )
            for number in range(nodes)
        ]
        for node in self.nodes:
            for other in self.nodes if know_each_other else ():
                node.cluster_view.put_node(registration_of(other))

    @classmethod
    def of(cls, deployment: Deployment, **options: Any) -> Fleet:
        """Return the nodes of a deployment."""
        fleet = cls(
            deployment.nodes, regions_of(deployment.domains), **options
        )
        policy = ServicePolicy(
            name=SERVICE,
            health_path='/health',
            max_connections=deployment.max_connections,
            cold_start_ms=3_000,
            cold_per_s=deployment.cold_per_s,
        )
        for node in fleet.nodes:
            assert node.cluster_view.table is not None
            node.cluster_view.table.services[SERVICE] = policy
            node.placer.apply_bounds(deployment.bounds)
        return fleet

    def play(self, duration_s: float, requests_per_s: float) -> None:
        """Let callers send requests at random times to random nodes."""
        self.loop.run_until_complete(self._play(duration_s, requests_per_s))

    async def _play(self, duration_s: float, requests_per_s: float) -> None:
        end_s = self.loop.time() + duration_s
        async with asyncio.TaskGroup() as group:
            while self.loop.time() < end_s:
                group.create_task(self._ask(self._random.choice(self.nodes)))
                await asyncio.sleep(self._random.expovariate(requests_per_s))

    async def _ask(self, node: Path) -> None:
        caller = Caller(
            self.loop,
            request_id=f'r-{len(self.replies)}',
            key=str(self._random.randrange(self._objects)),
        )
        self.replies.append(caller.reply)
        await node.proxy.serve(caller.exchange())


def regions_of(domains: int) -> dict[str, str]:
    """Return three regions with some failure domains together."""
    return {
        f'{REGIONS[number % len(REGIONS)]}-{number // len(REGIONS) + 1}': (
            REGIONS[number % len(REGIONS)]
        )
        for number in range(domains)
    }


def registration_of(node: Path) -> NodeRegistration:
    """Return the entry of a node."""
    return NodeRegistration(
        vm=node.vm,
        region=node.region,
        failure_domain=node.failure_domain,
        callers='10.0.1.1:1',
        peers='10.0.1.1:2',
    )


def allowed_requests(limit_per_s: float) -> float:
    """Return how many requests a window may have under a limit."""
    return LIMIT_FACTOR * WINDOW_S * limit_per_s + LIMIT_SLACK
