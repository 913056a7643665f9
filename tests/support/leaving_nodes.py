"""Real nodes over targets that say that they leave, with their callers."""

from __future__ import annotations

import asyncio
import dataclasses
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gentianbank_standins.soak.leaving import DRAIN_S
from gentianbank_standins.soak.leaving import requests_after_leaving
from gentianbank_standins.soak.leaving import told_times
from gentianbank_standins.soak.links import LinkState
from gentianbank_standins.soak.promises import Promises

if TYPE_CHECKING:
    from gentianbank_standins.soak.leaving import Leaving
    from gentianbank_standins.soak.world import SoakWorld

# Time in which requests count, after that in which they are allowed.
COUNTED_S = 2.5
MIN_COUNTED = 5
PATIENCE_S = 15.0
DOWN_S = 0.5


@dataclass
class Play:
    """A world, its callers, and what they and the targets saw."""

    world: SoakWorld
    promises: Promises = field(default_factory=Promises)

    async def leave(self, *numbers: int) -> None:
        """Let targets say that they leave until all nodes have heard it."""
        apps = [self.world.targets[number].app for number in numbers]
        for app in apps:
            app.faults.says_leaving = True
        for app in apps:
            await self.wait_heard(app.target_id)

    async def wait_heard(self, target_id: str) -> None:
        """Wait until each node has heard from a target that it leaves."""
        async with asyncio.timeout(PATIENCE_S):
            while len(self.heard(target_id)) < len(self.world.nodes):
                await asyncio.sleep(0.02)

    async def count(self) -> None:
        """Let requests come after the time in which they are allowed."""
        await asyncio.sleep(DRAIN_S + COUNTED_S)

    def heard(self, target_id: str) -> dict[Leaving, float]:
        """Return when a request ended in which a node heard of the leaving.

        It counts also if the caller got another answer in the end.
        """
        journal = self.world.journal
        said = {
            event.request_id
            for event in journal.leaving_said
            if event.target_id == target_id
        }
        return told_times(
            journal,
            [
                dataclasses.replace(attempt, leaving_id=target_id)
                for attempt in self.promises.attempts
                if attempt.request_id in said
            ],
        )

    def late(self) -> list[str]:
        """Return a line for each request that reached a target too late."""
        journal = self.world.journal
        told_s: dict[Leaving, float] = {}
        for target_id in {event.target_id for event in journal.leaving_said}:
            told_s |= self.heard(target_id)
        for leaving, since_s in told_s.items():
            assert len(self._sent_after(leaving, since_s)) >= MIN_COUNTED
        return requests_after_leaving(journal, self.promises.attempts, told_s)

    def _sent_after(self, leaving: Leaving, since_s: float) -> list[str]:
        return [
            attempt.request_id
            for attempt in self.promises.attempts
            if attempt.run == leaving.run
            and attempt.sent_s > since_s + DRAIN_S
        ]

    async def restart(self, number: int, down_s: float = DOWN_S) -> None:
        """End a target and start it again; its entry says nothing of it."""
        target = self.world.targets[number]
        target.link.set_state(LinkState.REFUSING)
        await asyncio.sleep(down_s)
        target.app.born += 1
        target.app.faults.says_leaving = False
        target.link.set_state(LinkState.WHOLE)

    def served_by(self, number: int) -> set[str]:
        """Return the nodes whose requests reached a target's last start."""
        app = self.world.targets[number].app
        reached = {
            event.request_id
            for event in self.world.journal.arrivals
            if event.target_id == app.target_id and event.born == app.born
        }
        return {
            attempt.run
            for attempt in self.promises.attempts
            if attempt.request_id in reached
        }
