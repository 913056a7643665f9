"""Several nodes' request paths that exchange the tokens of usage caps."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import random
from typing import TYPE_CHECKING

from expression import Result

from gentianbank.control.messages import decode_message
from gentianbank.control.messages import encode_message
from gentianbank.control.messages import Message
from gentianbank.control.messages import RequestOrReply
from gentianbank.control.peers import Connected
from gentianbank.control.peers import Disconnected
from gentianbank.control.peers import PeerConnections
from gentianbank.control.peers import PeerEvent
from gentianbank.control.peers import PeerUnreachable
from gentianbank.control.peers import Received
from gentianbank.domain.workspaces import Workspace
from gentianbank.domain.workspaces import WorkspaceTable
from gentianbank.platform.credentials import digest_key
from tests.support.fleet import registration_of
from tests.support.steering import Caller
from tests.support.steering import header
from tests.support.steering import Path
from tests.support.steering import Script
from tests.support.steering import ScriptedTargets
from tests.support.steering import table
from tests.support.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from gentianbank.targets.transport import SendError
    from gentianbank.targets.transport import TargetAnswer
    from gentianbank.targets.transport import TargetRequest

WORK_S = 0.05
NEAR_DELAY_S = 0.002
FAR_DELAY_S = 0.012
STORE_PERIOD_S = 0.5
PATIENCE_MS = 1_500.0
MAX_TRIES = 4
WINDOW_S = 5.0
REGIONS = {
    f'{region}-{number}': region
    for region in ('east', 'west', 'hills')
    for number in (1, 2)
}


class LatentPeers(PeerConnections):
    """Connections of one node; each message takes some time."""

    def __init__(self, fleet: CapFleet, path: Path) -> None:
        self._fleet = fleet
        self._path = path
        self.connected: set[str] = set()

    def dial(self, vm: str, address: str) -> None:
        if vm in self.connected or self._fleet.is_cut(self._path.vm, vm):
            return
        self.connected.add(vm)
        self._fleet.peers[vm].connected.add(self._path.vm)
        self._fleet.deliver(vm, self._path.vm, Connected(vm))
        self._fleet.deliver(self._path.vm, vm, Connected(self._path.vm))

    def disconnect(self, vm: str) -> None:
        self.connected.discard(vm)

    def send(self, vm: str, message: Message) -> None:
        self._fleet.messages += 1
        match decode_message(encode_message(message)):
            case Result(tag='ok', ok=decoded):
                event = Received(self._path.vm, decoded)
                self._fleet.deliver(self._path.vm, vm, event)
            case _:
                raise AssertionError(message)

    def send_to_each(self, vms: Iterable[str], message: Message) -> None:
        for vm in vms:
            self.send(vm, message)

    async def request(
        self, vm: str, address: str, message: RequestOrReply, timeout_ms: float
    ) -> Result[RequestOrReply, PeerUnreachable]:
        raise NotImplementedError


class CountingTargets(ScriptedTargets):
    """Targets that note when each workspace's requests reach them."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop
        self.default = Script(after_s=WORK_S)
        self.arrivals_s: list[float] = []

    async def send(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, SendError]:
        assert header(request.headers, b'tenant')
        self.arrivals_s.append(self._loop.time())
        return await super().send(request)


@dataclass
class Tally:
    """What became of the requests of a stream of callers."""

    sent: int = 0
    answered: int = 0
    refused: int = 0
    waits_ms: list[float] = field(default_factory=list)


class CapFleet:
    """Nodes in six failure domains and one workspace with a cap.

    Parameters
    ----------
    rate_per_s, burst
        The cap.
    """

    def __init__(
        self, nodes: int, rate_per_s: float, burst: float, *, seed: int = 1
    ) -> None:
        self.loop = VirtualLoop()
        self.random = random.Random(seed)
        self.targets = CountingTargets(self.loop)
        self.messages = 0
        self.cut: set[str] = set()
        domains = sorted(REGIONS)
        self.paths = [
            Path(
                vm=f'vm-{number}',
                failure_domain=domains[number % len(domains)],
                regions=REGIONS,
                loop=self.loop,
                transport=self.targets,
            )
            for number in range(nodes)
        ]
        self.by_vm = {path.vm: path for path in self.paths}
        self.peers = {path.vm: LatentPeers(self, path) for path in self.paths}
        for path in self.paths:
            for target in list(path.cluster_view.targets):
                path.put_target(target, slots=100_000)
            for other in self.paths:
                path.cluster_view.put_node(registration_of(other))
            path.usage_caps.attach(self.peers[path.vm])
        self.put_cap(2, rate_per_s, burst)
        self._request_count = 0

    def put_cap(self, version: int, rate_per_s: float, burst: float) -> None:
        """Put a configuration in force on every node."""
        lab = Workspace(name='lab', rate_per_s=rate_per_s, burst=burst)
        workspaces = WorkspaceTable(by_key={digest_key(b'secret'): lab})
        for path in self.paths:
            path.cluster_view.put_table(
                replace(table(version), workspaces=workspaces)
            )

    def is_cut(self, vm: str, to: str) -> bool:
        """Return whether two nodes cannot reach each other."""
        return bool(self.cut & {vm, to})

    def cut_off(self, vm: str) -> None:
        """Cut a node off from all others."""
        self.cut.add(vm)
        for other in self.peers[vm].connected:
            self.peers[other].connected.discard(vm)
            self.by_vm[other].usage_caps.on_event(Disconnected(vm))
            self.by_vm[vm].usage_caps.on_event(Disconnected(other))
        self.peers[vm].connected.clear()

    def deliver(self, vm: str, to: str, event: PeerEvent) -> None:
        """Deliver an event after the delay between two nodes."""
        near = self.by_vm[vm].region == self.by_vm[to].region
        delay_s = NEAR_DELAY_S if near else FAR_DELAY_S

        def arrive() -> None:
            if not self.is_cut(vm, to):
                self.by_vm[to].usage_caps.on_event(event)

        self.loop.call_later(delay_s, arrive)

    def run(self, seconds: float) -> None:
        """Let time pass without requests."""
        self.loop.run_until_complete(self._with_store(asyncio.sleep(seconds)))

    def play(
        self,
        seconds: float,
        per_s: float,
        paths: Sequence[Path],
        *,
        obeys: bool = True,
    ) -> Tally:
        """Let callers send requests at random times to some nodes."""
        tally = Tally()
        work = self._play(seconds, per_s, paths, tally, obeys=obeys)
        self.loop.run_until_complete(self._with_store(work))
        return tally

    def play_both(
        self, seconds: float, streams: Sequence[tuple[float, bool]]
    ) -> list[Tally]:
        """Let streams of callers, which obey or not, send at once."""
        tallies = [Tally() for _ in streams]

        async def both() -> None:
            await asyncio.gather(
                *(
                    self._play(seconds, per_s, self.paths, tally, obeys=obeys)
                    for (per_s, obeys), tally in zip(
                        streams, tallies, strict=True
                    )
                )
            )

        self.loop.run_until_complete(self._with_store(both()))
        return tallies

    def most_in_window(self, from_s: float = 0.0) -> int:
        """Return the most requests that reached targets in any window."""
        times = [t for t in self.targets.arrivals_s if t >= from_s]
        most = first = 0
        for last, time_s in enumerate(times):
            while times[first] <= time_s - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most

    async def _with_store(self, work: object) -> None:
        store = asyncio.ensure_future(self._answer_store())
        try:
            for path in self.paths:
                path.usage_caps.start_if_needed()
            await work  # type: ignore[misc]
        finally:
            store.cancel()

    async def _answer_store(self) -> None:
        while True:
            for path in self.paths:
                path.cluster_view.store_answered_ms = self.loop.now_ms()
            await asyncio.sleep(STORE_PERIOD_S)

    async def _play(
        self,
        seconds: float,
        per_s: float,
        paths: Sequence[Path],
        tally: Tally,
        *,
        obeys: bool,
    ) -> None:
        end_s = self.loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while self.loop.time() < end_s:
                path = self.random.choice(paths)
                group.create_task(self._ask(path, tally, obeys=obeys))
                await asyncio.sleep(self.random.expovariate(per_s))

    async def _ask(self, path: Path, tally: Tally, *, obeys: bool) -> None:
        """Send a request, and again when Retry-After says so."""
        self._request_count += 1
        tally.sent += 1
        request_id = f'r-{self._request_count}'
        deadline_ms = self.loop.now_ms() + PATIENCE_MS
        for _ in range(MAX_TRIES):
            left_ms = deadline_ms - self.loop.now_ms()
            caller = Caller(
                self.loop,
                request_id=request_id,
                deadline_ms=int(left_ms),
                headers={'authorization': 'Token secret'},
            )
            began_ms = self.loop.now_ms()
            await path.proxy.serve(caller.exchange())
            if caller.reply.status != 429:
                tally.answered += caller.reply.status == 200
                took_ms = caller.reply.at_ms - began_ms
                tally.waits_ms.append(took_ms - WORK_S * 1_000)
                return
            tally.refused += 1
            wait_s = float(header(caller.reply.headers, b'retry-after'))
            if not obeys:
                wait_s = 0.02
            if wait_s * 1_000 > left_ms / 3:
                return
            await asyncio.sleep(wait_s)
