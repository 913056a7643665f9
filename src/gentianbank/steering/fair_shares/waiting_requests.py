"""Requests that wait at this node until a target has room."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from itertools import count
from typing import TYPE_CHECKING

from gentianbank.policy.fair_shares.waiting_queue import longest_wait_ms
from gentianbank.policy.fair_shares.waiting_queue import MAX_WAIT_MS
from gentianbank.policy.fair_shares.waiting_queue import Waiting
from gentianbank.policy.fair_shares.waiting_queue import WaitingQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.policy.placement import NoCapacity
    from gentianbank.policy.target_load import TargetLoad
    from gentianbank.steering.caller_request import CallerRequest
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.steering.placer import Placer

_MS_PER_S = 1_000


class WaitingRequests:
    """Holds requests for a short time; off unless there are workspaces.

    Parameters
    ----------
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        placer: Placer,
        clock: Callable[[], float],
    ) -> None:
        self._cluster_view = cluster_view
        self._placer = placer
        self._clock = clock
        self._numbers = count()
        self._queues: defaultdict[str, WaitingQueue] = defaultdict(
            WaitingQueue
        )
        self._wakers: dict[int, asyncio.Future[None]] = {}

    async def wait_for_room(
        self, request: CallerRequest, full: NoCapacity
    ) -> bool:
        """Wait until a target may have room for a request.

        Parameters
        ----------
        full
            Why there is no target now.

        Returns
        -------
        bool
            Whether a target ended a request, so that the choice is worth
            repeating. If not, the request is to be refused.
        """
        table = self._cluster_view.table
        if table is None or table.workspaces is None:
            return False
        wait_ms = self._longest_wait_ms(request)
        targets = frozenset(target.target_id for target in full.busy)
        queue = self._queues[request.service]
        in_flight = self._in_flight_at(targets)
        if wait_ms <= 0 or not queue.has_room(targets, in_flight):
            return False
        workspace = request.workspace
        priority = (
            table.workspaces.lowest_priority
            if workspace is None
            else workspace.priority
        )
        entry = Waiting(
            (priority, request.route.priority),
            not request.was_refused_before,
            next(self._numbers),
            targets,
        )
        return await self._wait(queue, entry, wait_ms)

    def on_attempt_ended(self, service: str, target: str) -> None:
        """Release the first request that waits for a target."""
        queue = self._queues.get(service)
        while queue:
            entry = queue.release(target)
            if entry is None:
                return
            waker = self._wakers[entry.number]
            # One whose time is up is done, but has not left the queue yet.
            if not waker.done():
                waker.set_result(None)
                return

    def on_target_leaves(self, target: TargetLoad) -> None:
        """Release the requests that have no target left to wait for."""
        targets = self._cluster_view.targets
        queue = self._queues.get(target.registration.service)
        if not queue:
            return
        usable = {
            target_id
            for target_id, known in targets.items()
            if self._cluster_view.is_usable(known)
        }
        for entry in queue.release_all_but(usable):
            waker = self._wakers[entry.number]
            if not waker.done():
                waker.set_result(None)

    async def _wait(
        self, queue: WaitingQueue, entry: Waiting, wait_ms: float
    ) -> bool:
        waker = asyncio.get_running_loop().create_future()
        self._wakers[entry.number] = waker
        queue.add(entry)
        try:
            async with asyncio.timeout(wait_ms / _MS_PER_S):
                await waker
        except TimeoutError:
            return False
        finally:
            queue.remove(entry)
            del self._wakers[entry.number]
        return True

    def _longest_wait_ms(self, request: CallerRequest) -> float:
        now_ms = self._clock()
        held_ms = now_ms - request.received_ms
        wait_ms = longest_wait_ms(
            request.route.latency_objective_ms - held_ms,
            request.deadline_ms - now_ms,
            self._placer.estimated_times(
                request.route, request.service
            ).mean_ms,
        )
        return min(wait_ms, MAX_WAIT_MS - held_ms)

    def _in_flight_at(self, target_ids: frozenset[str]) -> int:
        targets = self._cluster_view.targets
        return sum(
            targets[target_id].in_flight
            for target_id in target_ids
            if target_id in targets
        )
