"""Processes of targets that leave and start again, on a virtual clock."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from gentianbank.targets.transport import ConnectionLost
from gentianbank.targets.transport import MaybeSent
from gentianbank.targets.transport import NotAllowed
from gentianbank.targets.transport import Unreachable
from tests.support.steering import header
from tests.support.steering import Script
from tests.support.steering import ScriptedAnswer
from tests.support.steering import ScriptedTargets
from tests.support.steering import STAMP

if TYPE_CHECKING:
    from gentianbank.targets.transport import RawHeaders
    from gentianbank.targets.transport import SendError
    from gentianbank.targets.transport import TargetAnswer
    from gentianbank.targets.transport import TargetRequest

HEALTH_PATH = b'/health'
LEAVING = (b'Server-Leaving', b'1')


@dataclass(eq=False)
class Process:
    """One run of a target.

    Parameters
    ----------
    connect_s
        Time until a connection is there and the request is written.
    work_s, transit_s
        Time until an answer is made, and for its way to the node.
    stays
        How often it has said again that it does not leave.
    heard_s
        Time when the node last read that this process leaves, and has left
        since.
    late
        Requests of callers that were written after that, while it left.
    checks
        Status checks that were written.
    """

    target_id: str
    is_leaving: bool = False
    is_silent: bool = False
    is_gone: bool = False
    connect_s: float = 0.0
    work_s: float = 0.05
    transit_s: float = 0.0
    stays: int = 0
    heard_s: float | None = None
    arrived: int = 0
    late: int = 0
    checks: int = 0
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    def stay(self) -> None:
        """Say from now on that it does not leave."""
        self.is_leaving = False
        self.heard_s = None
        self.stays += 1


class Processes(ScriptedTargets):
    """Targets by address, each with the process that runs there."""

    def __init__(self) -> None:
        super().__init__()
        self.by_address: dict[str, Process] = {}
        self.withheld = 0

    def start(self, address: str, target_id: str) -> Process:
        """Start a process; the one that ran at the address ends."""
        self.end(address)
        process = Process(target_id)
        self.by_address[address] = process
        return process

    def end(self, address: str) -> None:
        """End the process at an address; its connections are lost."""
        process = self.by_address.pop(address, None)
        if process is not None:
            process.is_gone = True
            process.ended.set()

    async def send(
        self, request: TargetRequest
    ) -> Result[TargetAnswer, SendError]:
        if request.is_withheld:
            return Error(NotAllowed('held back'))
        process = self.by_address.get(request.address)
        if process is None:
            return Error(Unreachable('refused'))
        if process.connect_s:
            await asyncio.sleep(process.connect_s)
            if process.is_gone:
                return Error(Unreachable('refused'))
            if request.is_withheld:
                self.withheld += 1
                return Error(NotAllowed('held back'))
        self._count(process, request)
        try:
            async with asyncio.timeout(request.headers_timeout_ms / 1_000):
                return await self._answer(process, request)
        except TimeoutError:
            return Error(MaybeSent('no answer in time'))

    def _count(self, process: Process, request: TargetRequest) -> None:
        if request.path == HEALTH_PATH:
            process.checks += 1
            return
        self.requests.append(request)
        process.arrived += 1
        process.late += process.is_leaving and process.heard_s is not None

    async def _answer(
        self, process: Process, request: TargetRequest
    ) -> Result[TargetAnswer, SendError]:
        if process.is_silent:
            await asyncio.Event().wait()
        if await _ends_within(process, process.work_s):
            return Error(ConnectionLost('reset'))
        answer = _make_answer(process, request)
        stays = process.stays
        # Bytes on their way arrive though the process ends.
        await asyncio.sleep(process.transit_s)
        if LEAVING in answer.headers and process.stays == stays:
            process.heard_s = asyncio.get_running_loop().time()
        assert request.on_head is not None
        request.on_head(answer.status, answer.headers)
        return Ok(answer)


async def _ends_within(process: Process, seconds: float) -> bool:
    try:
        async with asyncio.timeout(seconds):
            await process.ended.wait()
    except TimeoutError:
        return False
    return True


def _make_answer(process: Process, request: TargetRequest) -> ScriptedAnswer:
    said: RawHeaders = [LEAVING] if process.is_leaving else []
    if request.path == HEALTH_PATH:
        named = (b'Instance-Id', process.target_id.encode())
        status = 503 if process.is_leaving else 200
        script = Script(status, headers=(named, *said), names_request=False)
        return ScriptedAnswer(script, b'')
    if header(request.headers, b'expect-instance').decode() != (
        process.target_id
    ):
        rejected = Script(421, headers=((b'Not-Executed', b'1'), *said))
        return ScriptedAnswer(rejected, header(request.headers, b'request-id'))
    sent_id = header(request.headers, b'request-id')
    return ScriptedAnswer(Script(headers=(STAMP, *said)), sent_id)
