"""Status checks of targets that say that they leave.

A target may start again while the store is out, so that no entry tells of it.
As it gets no requests, only its status can show that it stays.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.policy.target_load import TargetLoad
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.steering.restart_checks import RestartChecks

CHECK_INTERVAL_MS = 1_000.0
_MS_PER_S = 1_000


class LeavingChecks:
    """Asks targets that say that they leave for their status.

    It runs only while there are such targets.

    Parameters
    ----------
    checks
        Makes the status checks.
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        checks: RestartChecks,
        clock: Callable[[], float],
    ) -> None:
        self._cluster_view = cluster_view
        self._checks = checks
        self._clock = clock
        self._watch: asyncio.Task[None] | None = None
        self._running: dict[str, asyncio.Task[None]] = {}

    @property
    def is_idle(self) -> bool:
        """Return whether no target is known to leave, so nothing is asked."""
        return self._watch is None or self._watch.done()

    def on_leaving(self, _target: TargetLoad) -> None:
        """Ask targets as long as any says that it leaves."""
        if self.is_idle:
            self._watch = asyncio.create_task(self._ask_until_none_leaves())

    async def close(self) -> None:
        """Cancel the checks."""
        tasks = list(self._running.values())
        if self._watch is not None:
            tasks.append(self._watch)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _ask_until_none_leaves(self) -> None:
        while self._cluster_view.remembers_leaving(self._clock()):
            await asyncio.sleep(CHECK_INTERVAL_MS / _MS_PER_S)
            for target in self._cluster_view.targets.values():
                if self._is_due(target):
                    self._ask(target)

    def _is_due(self, target: TargetLoad) -> bool:
        """Return whether to ask a target; not if its entry drains."""
        return (
            target.leaving.is_active
            and self._cluster_view.is_open(target)
            and not target.is_suspect(self._clock())
            and target.registration.target_id not in self._running
        )

    def _ask(self, target: TargetLoad) -> None:
        target_id = target.registration.target_id
        task = asyncio.create_task(self._checks.check(target))
        self._running[target_id] = task
        task.add_done_callback(lambda _: self._running.pop(target_id))
