"""Lets a few nodes of a region read the store for the others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from gentianbank.control.peers import Connected
from gentianbank.control.peers import Disconnected
from gentianbank.control.peers import Received
from gentianbank.policy.follower_trust import FollowerTrust
from gentianbank.policy.store_followers import choose_followers
from gentianbank.policy.store_followers import decide_role
from gentianbank.policy.store_followers import FOLLOWER_BATCH_MS
from gentianbank.policy.store_followers import FOLLOWER_PERIOD_MS
from gentianbank.policy.store_followers import FRESH_MS
from gentianbank.policy.store_followers import StoreRole
from gentianbank.steering.store_following.catch_up import decode_change
from gentianbank.steering.store_following.messages import StoreUpdate
from gentianbank.steering.store_following.messages import StoreUpdateRequest
from gentianbank.steering.store_following.reads import ReadObserver
from gentianbank.steering.store_following.updates import build_updates
from gentianbank.storage.prefix_store import Changes

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.control.peers import PeerConnections
    from gentianbank.control.peers import PeerEvent
    from gentianbank.domain.registration import NodeRegistration
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.steering.store_following.store_sync import StoreSync

TICK_MS = 100.0
CHOICE_PERIOD_MS = 500.0
REQUEST_PERIOD_MS = 300.0
# Time after which a node asks a follower for its clock again.
CLOCK_PERIOD_MS = 10_000.0
# The first watch of a node that has lost its followers is short, so that a
# store that does not answer is noticed soon.
FIRST_WATCH_MS = 400
MIN_WATCH_MS = 50
_MS_PER_S = 1_000


class StoreFollowing(ReadObserver):
    """This node's part in reading the store: follower, reader or passive.

    Parameters
    ----------
    me
        The node's own entry.
    sync
        This node's copy of the store.
    peers
        Connections to other nodes.
    followers_per_region
        Number of followers of each region.
    clock
        Returns the monotonic time in milliseconds.
    boot_clock
        Returns the time in milliseconds on a clock that counts suspended
        time, so that a node that was suspended does not vouch for old data.
    """

    def __init__(
        self,
        *,
        me: NodeRegistration,
        cluster_view: ClusterView,
        sync: StoreSync,
        peers: PeerConnections,
        followers_per_region: int,
        clock: Callable[[], float],
        boot_clock: Callable[[], float],
    ) -> None:
        self._me = me
        self._cluster_view = cluster_view
        self._sync = sync
        self._peers = peers
        self._count = followers_per_region
        self._clock = clock
        self._boot_clock = boot_clock
        self._role = StoreRole.ALONE
        self._must_read = asyncio.Event()
        self._must_read.set()
        self._has_taken_over = False
        self._followers: frozenset[str] = frozenset()
        self._chosen_ms = float('-inf')
        self._trust = FollowerTrust()
        self._connected: set[str] = set()
        self._asked_ms: dict[str, float] = {}
        # Latest time at which the copy was known to be current.
        self._confirmed_ms: float | None = None
        self._own_confirmed_ms: float | None = None
        self._read_sent_ms = 0.0
        self._is_reachable = True
        self._pushed_revision = 0
        # Era of the copy that the followers' confirmations are for.
        self._era = 0
        # An answer that is read now has arrived after the tick before the
        # last, as the process has run since.
        self._last_tick_ms = float('-inf')
        self._tick_before_ms = float('-inf')
        # Era and revision of the copy, and since when it is known to have
        # them.
        self._noted = (0, 0)
        self._noted_ms = float('-inf')

    @property
    def role(self) -> str:
        return self._role.value

    @property
    def is_passive(self) -> bool:
        return self._role is StoreRole.PASSIVE

    @property
    def followers(self) -> frozenset[str]:
        """Return the followers of the region; empty if there are none."""
        return self._followers

    async def run(self) -> None:
        """Take part until cancelled; then this node reads for itself."""
        self._sync.set_observer(self)
        try:
            while True:
                self.tick()
                await asyncio.sleep(TICK_MS / _MS_PER_S)
        finally:
            self._sync.set_observer(None)
            self._must_read.set()

    def tick(self) -> None:
        """Choose the followers and this node's role anew."""
        now_ms = self._boot_clock()
        self._tick_before_ms = self._last_tick_ms
        self._last_tick_ms = now_ms
        self._note_revision(now_ms)
        if now_ms - self._chosen_ms >= CHOICE_PERIOD_MS:
            self._chosen_ms = now_ms
            self._choose_followers()
        self._update_role(now_ms)
        self._update_age(now_ms)

    def on_event(self, event: PeerEvent) -> None:
        """Handle an event of a connection."""
        match event:
            case Connected(vm):
                self._connected.add(vm)
            case Disconnected(vm):
                self._connected.discard(vm)
                self._trust.forget(vm)
                self._asked_ms.pop(vm, None)
                self._update_role(self._boot_clock())
            case Received(vm, StoreUpdate() as update):
                self._on_update(vm, update)
            case Received(vm, StoreUpdateRequest() as request):
                self._on_request(vm, request)

    async def wait_for_turn(self) -> None:
        await self._must_read.wait()

    def choose_wait_ms(self, wait_ms: int) -> int:
        if self._role is StoreRole.FOLLOWER:
            left_ms = FOLLOWER_PERIOD_MS
            if self._own_confirmed_ms is not None and self._is_reachable:
                left_ms -= self._boot_clock() - self._own_confirmed_ms
            return min(wait_ms, max(MIN_WATCH_MS, round(left_ms)))
        if self._has_taken_over:
            self._has_taken_over = False
            return min(wait_ms, FIRST_WATCH_MS)
        return wait_ms

    def choose_batch_s(self, batch_s: float) -> float:
        if self._role is StoreRole.FOLLOWER:
            return min(batch_s, FOLLOWER_BATCH_MS / _MS_PER_S)
        return batch_s

    def on_read_sent(self) -> None:
        self._read_sent_ms = self._boot_clock()

    def on_read_answered(self, waited_ms: float) -> None:
        self._is_reachable = True
        # An answer may have been on its way, or unread in a frozen process,
        # for all the time after the wait.
        self._check_era()
        confirmed_ms = min(self._boot_clock(), self._read_sent_ms + waited_ms)
        self._own_confirmed_ms = confirmed_ms
        self._on_confirmed(max(confirmed_ms, self._tick_before_ms))
        if self._role is StoreRole.FOLLOWER:
            self._push()

    def _check_era(self) -> None:
        """Drop what followers have confirmed of the copy of another era."""
        if self._sync.era == self._era:
            return
        self._era = self._sync.era
        self._trust.distrust_all()
        self._pushed_revision = self._sync.revision

    def on_read_failed(self) -> None:
        was_reachable = self._is_reachable
        self._is_reachable = False
        if self._role is StoreRole.FOLLOWER and was_reachable:
            self._push()

    def _choose_followers(self) -> None:
        vms = {
            vm
            for vm, node in self._cluster_view.nodes.items()
            if node.region == self._me.region
        }
        disconnected = self._cluster_view.disconnected_peers - {self._me.vm}
        self._followers = choose_followers(vms, disconnected, self._count)

    def _update_role(self, now_ms: float) -> None:
        needs_listing = self._sync.needs_listing
        last = None if needs_listing else self._trust.last_confirmed()
        age_ms = now_ms - last[1] if last else None
        role = decide_role(self._me.vm, self._followers, age_ms)
        if role is self._role:
            return
        self._has_taken_over = (
            self.is_passive and role is not StoreRole.PASSIVE
        )
        was, self._role = self._role, role
        if role is StoreRole.FOLLOWER:
            self._pushed_revision = self._sync.revision
        if role is StoreRole.PASSIVE:
            self._must_read.clear()
        else:
            self._must_read.set()
        logging.info(
            'role at the store changed',
            extra={
                'role': role.value,
                'was': was.value,
                'followers': sorted(self._followers),
                'heard': last[0] if last else None,
                'age_ms': round(age_ms) if age_ms is not None else None,
                'revision': self._sync.revision,
            },
        )

    def _on_confirmed(self, confirmed_ms: float) -> None:
        if self._confirmed_ms is None or confirmed_ms > self._confirmed_ms:
            self._confirmed_ms = confirmed_ms

    def _update_age(self, now_ms: float) -> None:
        """State the age of the copy, with time that the VM was suspended."""
        if self._role is StoreRole.ALONE or self._confirmed_ms is None:
            return
        age_ms = now_ms - self._confirmed_ms
        self._cluster_view.store_answered_ms = self._clock() - age_ms

    def _on_update(self, vm: str, update: StoreUpdate) -> None:
        now_ms = self._boot_clock()
        self._note_revision(now_ms)
        if update.echo_ms:
            self._trust.on_echo(vm, update.echo_ms, update.sent_ms)
        if update.era != self._sync.era and self._sync.revision:
            self._on_other_era(vm, update)
            return
        held = 0 if self._sync.needs_listing else self._sync.revision
        is_complete = (
            update.after_revision <= held
            and max(held, update.revision) >= update.held_revision
        )
        confirmed_ms = None
        if held and update.oldest_revision > held:
            # Only the store can tell what this node misses.
            self._trust.distrust_all()
        if not update.is_reachable:
            self._trust.distrust(vm)
        elif held and is_complete:
            confirmed_ms = self._trust.confirm(vm, update.confirmed_ms)
        if confirmed_ms is not None and self._has_gone_back(
            update, confirmed_ms
        ):
            self._on_restored()
            return
        is_fresh = (
            confirmed_ms is not None and now_ms - confirmed_ms <= FRESH_MS
        )
        if is_fresh and self._role is not StoreRole.FOLLOWER:
            # Before the changes: an outage may have made entries lapse.
            self._sync.on_confirmed_by_follower()
        events = tuple(decode_change(change) for change in update.changes)
        changes = Changes(events, update.revision, era=update.era)
        is_applied = self._sync.apply_follower_changes(
            update.after_revision, changes
        )
        if is_applied and confirmed_ms is not None:
            self._on_confirmed(confirmed_ms)
        self._ask(vm, update, now_ms)
        self._update_role(now_ms)
        self._update_age(now_ms)

    def _on_other_era(self, vm: str, update: StoreUpdate) -> None:
        """Believe nothing that a follower of another era says of the copy.

        If its era is the later one, only the store can tell what this node
        misses.
        """
        if update.era > self._sync.era:
            self._on_restored()
        else:
            self._trust.distrust(vm)
            self._update_role(self._boot_clock())

    def _on_restored(self) -> None:
        """Read the store, as the copy is of a history that was lost."""
        self._trust.distrust_all()
        self._sync.request_listing()
        self._update_role(self._boot_clock())

    def _note_revision(self, now_ms: float) -> None:
        held = self._sync.era, self._sync.revision
        if held != self._noted:
            self._noted = held
            self._noted_ms = now_ms

    def _has_gone_back(self, update: StoreUpdate, confirmed_ms: float) -> bool:
        """Return whether the revision of the store is lower than it was.

        A store that states no era shows a restore in no other way.

        Parameters
        ----------
        confirmed_ms
            Time on this node's clock when the follower's view was current.
        """
        is_lower = update.held_revision < self._sync.revision
        return is_lower and confirmed_ms > self._noted_ms

    def _ask(self, vm: str, update: StoreUpdate, now_ms: float) -> None:
        """Ask a follower for missing changes or its clock, as far as due.

        If it no longer has the changes, nothing confirms the copy, and this
        node reads the store itself.
        """
        held = self._sync.revision
        if self._sync.needs_listing:
            return
        is_behind = update.oldest_revision <= held < update.held_revision
        is_urgent = is_behind or not self._trust.knows_clock(vm)
        period_ms = REQUEST_PERIOD_MS if is_urgent else CLOCK_PERIOD_MS
        if now_ms - self._asked_ms.get(vm, float('-inf')) < period_ms:
            return
        self._asked_ms[vm] = now_ms
        request = StoreUpdateRequest(
            era=self._sync.era,
            after_revision=held,
            asked_ms=max(0.0, now_ms),
        )
        self._peers.send(vm, request)

    def _on_request(self, vm: str, request: StoreUpdateRequest) -> None:
        if self._role is StoreRole.FOLLOWER:
            after_revision = request.after_revision
            if request.era != self._sync.era:
                after_revision = self._sync.revision
            updates = self._updates(after_revision, request.asked_ms)
            for update in updates:
                self._peers.send(vm, update)

    def _push(self) -> None:
        if self._sync.needs_listing:
            return
        nodes = self._cluster_view.nodes
        receivers = [
            vm
            for vm in sorted(self._connected)
            if vm in nodes and nodes[vm].region == self._me.region
        ]
        for update in self._updates(self._pushed_revision):
            self._peers.send_to_each(receivers, update)
        self._pushed_revision = self._sync.revision

    def _updates(
        self, after_revision: int, echo_ms: float = 0.0
    ) -> list[StoreUpdate]:
        if self._own_confirmed_ms is None or self._sync.needs_listing:
            return []
        return build_updates(
            self._sync,
            after_revision,
            confirmed_ms=max(0.0, self._own_confirmed_ms),
            sent_ms=self._boot_clock(),
            is_reachable=self._is_reachable,
            echo_ms=echo_ms,
        )
