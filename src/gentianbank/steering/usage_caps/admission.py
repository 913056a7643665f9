"""Admits requests under the usage caps of their workspaces."""

from __future__ import annotations

import asyncio
from collections import defaultdict
import contextlib
import heapq
from typing import TYPE_CHECKING

from absl import logging

from gentianbank.control.peers import Received
from gentianbank.policy.usage_caps.account import Token
from gentianbank.policy.usage_caps.node import CapNode
from gentianbank.policy.usage_caps.node import Denied
from gentianbank.policy.usage_caps.node import MIN_ASK_GAP_MS
from gentianbank.policy.usage_caps.node import MustAsk
from gentianbank.policy.usage_caps.owner import CapOwner
from gentianbank.policy.usage_caps.plan import CapRule
from gentianbank.policy.usage_caps.plan import MAX_WAIT_MS
from gentianbank.policy.usage_caps.tenure import Tenure
from gentianbank.steering.answers import MAX_RETRY_AFTER_FRACTION
from gentianbank.steering.answers import Refusal
from gentianbank.steering.limit_detail import LimitDetail
from gentianbank.steering.usage_caps import messages
from gentianbank.steering.usage_caps.links import OwnerLinks
from gentianbank.steering.usage_caps.view import CapView
from gentianbank.steering.usage_caps.view import StoreAge

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.control.peers import PeerConnections
    from gentianbank.control.peers import PeerEvent
    from gentianbank.domain.steering_settings import Bounds
    from gentianbank.policy.usage_caps.exchange import Ask
    from gentianbank.policy.usage_caps.exchange import Grant
    from gentianbank.policy.usage_caps.exchange import Offer
    from gentianbank.steering.caller_request import CallerRequest
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.steering.fleet_quotas import FleetQuotas

_MS_PER_S = 1_000
# Workspaces that the metrics name.
MAX_SHOWN = 10
_CAUSE = 'over the usage cap of the workspace'


class UsageCaps:
    """Gives requests their tokens, and exchanges tokens with other nodes.

    Without workspaces with a cap it sends nothing and runs no timer.

    Parameters
    ----------
    clock
        Returns the monotonic time in milliseconds.
    boot_clock
        Returns the time with suspended time in milliseconds.
    is_first_start
        Whether the whole system starts for the first time.
    """

    def __init__(
        self,
        *,
        vm: str,
        cluster_view: ClusterView,
        quotas: FleetQuotas,
        bounds: Bounds,
        is_first_start: bool,
        clock: Callable[[], float],
        boot_clock: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._quotas = quotas
        self._clock = clock
        self._boot_clock = boot_clock
        age = StoreAge(clock, boot_clock)
        self._view = CapView(vm, cluster_view, age)
        self._links = OwnerLinks(cluster_view)
        now_ms = boot_clock()
        rule = _rule_of(bounds)
        self.node = CapNode(vm, rule, now_ms, is_first_start)
        self.owner = CapOwner(vm, rule, Tenure(now_ms, is_first_start))
        self._ticker: asyncio.Task[None] | None = None
        self._flush: asyncio.TimerHandle | None = None
        self._applied_caps: object = None
        self._waiters: defaultdict[str, list[asyncio.Future[None]]] = (
            defaultdict(list)
        )

    def attach(self, peers: PeerConnections) -> None:
        """Use the connections of the mesh, which starts after the node."""
        self._links.peers = peers

    def start_if_needed(self) -> None:
        """Start the exchange of tokens if a workspace has a cap."""
        if self._ticker is None and self._view.caps:
            self._ticker = asyncio.get_running_loop().create_task(self._run())
            self._tick_safely()

    async def close(self) -> None:
        """Stop the exchange of tokens."""
        if self._flush is not None:
            self._flush.cancel()
        if self._ticker is not None:
            self._ticker.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._ticker

    def leave(self) -> None:
        """Stop granting tokens, and offer the buckets to the next owners."""
        self._send_offers(self.owner.leave(self._boot_clock()))

    async def admit(self, request: CallerRequest) -> Token | Refusal | None:
        """Return a token for a request, or its refusal.

        Returns
        -------
        Token, Refusal or None
            ``None`` if the workspace has no cap.
        """
        workspace = request.workspace
        if workspace is None or not workspace.has_cap:
            return None
        self.start_if_needed()
        if self._view.caps is not self._applied_caps:
            self._tick_safely()
        if workspace.name not in self.node.accounts:
            return None
        decision = self._decide(
            self.node, request, workspace.name, has_waited=False
        )
        if isinstance(decision, MustAsk):
            try:
                await self._ask_now(decision.owner, workspace.name, request)
            finally:
                self.node.end_wait(workspace.name)
            if workspace.name not in self.node.accounts:
                return None
            decision = self._decide(
                self.node, request, workspace.name, has_waited=True
            )
        if isinstance(decision, Denied):
            return _refuse(decision)
        assert isinstance(decision, Token)
        return decision

    def preview(
        self, request: CallerRequest
    ) -> Token | MustAsk | Denied | None:
        """Return what ``admit`` would, without taking a token.

        An owner on another node is not asked.

        Returns
        -------
        Token, MustAsk, Denied or None
            ``None`` if the workspace has no cap that is applied yet.
        """
        workspace = request.workspace
        if workspace is None or workspace.name not in self.node.accounts:
            return None
        name = workspace.name
        trial = self.node.trial(name)
        found = self._decide(trial, request, name, has_waited=False)
        if not isinstance(found, MustAsk) or found.owner != self._vm:
            return found
        now_ms = self._boot_clock()
        ask = trial.asks(now_ms).get(self._vm)
        if ask is not None:
            grant = self.owner.trial(name).on_ask(self._vm, ask, now_ms)
            trial.on_grant(self._vm, grant, now_ms)
        trial.end_wait(name)
        return self._decide(trial, request, name, has_waited=True)

    def is_current(self, token: Token) -> bool:
        """Return whether a token has not expired.

        One of the equal part counts for as long as one of an owner.
        """
        now_ms = self._boot_clock()
        if token.part_ms is not None:
            return now_ms - token.part_ms < self.node.pace.grant_ms
        return now_ms < token.expires_ms

    def give_back(self, token: Token) -> None:
        """Take back the token of a request that did not run."""
        self.node.give_back(token, self._boot_clock())

    def on_event(self, event: PeerEvent) -> bool:
        """Handle an event of a connection; return whether it ends here."""
        self._links.on_event(event)
        if not isinstance(event, Received):
            return False
        if not isinstance(event.message, messages.CapMessage):
            return False
        self._on_message(event.vm, event.message)
        return True

    def largest_uses(self) -> dict[str, float]:
        """Return the requests per second of the most used caps."""
        now_ms = self._boot_clock()
        return _largest(
            {
                name: account.used.per_s(now_ms)
                for name, account in self.node.accounts.items()
            }
        )

    def largest_refusals(self) -> dict[str, float]:
        """Return the refused requests of the workspaces with the most."""
        return _largest(
            {
                name: float(account.refused)
                for name, account in self.node.accounts.items()
            }
        )

    def tick(self) -> None:
        """Apply the node's view and send the messages that are due."""
        now_ms = self._boot_clock()
        view = self._view.read()
        caps = self._applied_caps = self._view.caps
        self._send_offers(self.owner.update(view, caps, now_ms))
        is_counted = self._quotas.even_part() > 0
        self.node.update(view, caps, now_ms, is_counted=is_counted)
        self._send_asks(now_ms)

    async def _run(self) -> None:
        try:
            while self._view.caps:
                self._tick_safely()
                await asyncio.sleep(self.node.pace.batch_ms / _MS_PER_S)
        finally:
            self._ticker = None

    def _tick_safely(self) -> None:
        """Tick; a failure must not end the exchange or the caller's task."""
        try:
            self.tick()
        except Exception:
            logging.exception('usage caps not updated')

    def _decide(
        self,
        node: CapNode,
        request: CallerRequest,
        name: str,
        *,
        has_waited: bool,
    ) -> Token | MustAsk | Denied:
        owner = node.owners.owner_of(name)
        left_ms = request.caller_deadline_ms - self._clock()
        return node.admit(
            name,
            request.request_id,
            max(0.0, left_ms) * MAX_RETRY_AFTER_FRACTION,
            self._boot_clock(),
            is_connected=owner == self._vm or owner in self._links.connected,
            has_waited=has_waited,
        )

    async def _ask_now(
        self, owner: str, name: str, request: CallerRequest
    ) -> None:
        """Ask an owner and wait for its answer, within bounds."""
        if owner == self._vm:
            self._send_asks(self._boot_clock())
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[name].append(waiter)
        self._send_asks(self._boot_clock())
        if self._flush is None:
            # For requests that arrived too soon after the last ask.
            self._schedule_flush()
        left_ms = max(0.0, request.deadline_ms - self._clock())
        try:
            async with asyncio.timeout(min(MAX_WAIT_MS, left_ms) / _MS_PER_S):
                await waiter
        except TimeoutError:
            pass
        finally:
            if waiter in self._waiters[name]:
                self._waiters[name].remove(waiter)

    def _schedule_flush(self) -> None:
        self._flush = asyncio.get_running_loop().call_later(
            MIN_ASK_GAP_MS / _MS_PER_S, self._flush_asks
        )

    def _flush_asks(self) -> None:
        self._flush = None
        self._send_asks(self._boot_clock())
        if self.node.has_urgent_asks:
            # The timer may end a little before the least gap.
            self._schedule_flush()

    def _send_asks(self, now_ms: float) -> None:
        for owner, ask in self.node.asks(now_ms).items():
            if owner == self._vm:
                self._on_grant(
                    owner, self.owner.on_ask(owner, ask, now_ms), now_ms
                )
            else:
                self._links.send(owner, messages.encode_ask(ask), now_ms)

    def _send_offers(self, offers: dict[str, Offer]) -> None:
        now_ms = self._boot_clock()
        for vm, offer in offers.items():
            self._links.send(vm, messages.encode_offer(offer), now_ms)

    def _on_message(self, vm: str, message: messages.CapMessage) -> None:
        now_ms = self._boot_clock()
        match message:
            case messages.CapAsk():
                self._answer(vm, messages.decode_ask(message), now_ms)
            case messages.CapGrant():
                self._on_grant(vm, messages.decode_grant(message), now_ms)
            case messages.CapOffer():
                offer = messages.decode_offer(message)
                claim = self.owner.on_offer(vm, offer, now_ms)
                if claim is not None:
                    reply = messages.encode_claim(claim)
                    self._links.send(vm, reply, now_ms)
            case messages.CapClaim():
                claimed = messages.decode_claim(message)
                handover = self.owner.on_claim(vm, claimed, now_ms)
                self._links.send(
                    vm, messages.encode_handover(handover), now_ms
                )
            case messages.CapHandover():
                self.owner.on_handover(
                    vm, messages.decode_handover(message), now_ms
                )

    def _answer(self, vm: str, ask: Ask, now_ms: float) -> None:
        grant = self.owner.on_ask(vm, ask, now_ms)
        self._links.send(vm, messages.encode_grant(grant), now_ms)

    def _on_grant(self, vm: str, grant: Grant, now_ms: float) -> None:
        if grant.is_leaving:
            self.owner.on_leaving(vm, now_ms)
        for name in self.node.on_grant(vm, grant, now_ms):
            self._wake(name, now_ms)

    def _wake(self, name: str, now_ms: float) -> None:
        """Let as many requests try again as there are tokens.

        The others wait for the answer to a later ask, unless the owner has
        no token left.
        """
        account = self.node.accounts[name]
        waiters = self._waiters[name]
        count = account.in_hand(now_ms)
        if now_ms < account.dry_until_ms:
            count = len(waiters)
        for waiter in waiters[:count]:
            if not waiter.done():
                waiter.set_result(None)
        del waiters[:count]


def _largest(values: dict[str, float]) -> dict[str, float]:
    names = heapq.nlargest(MAX_SHOWN, values, key=lambda name: values[name])
    return {name: values[name] for name in names}


def _rule_of(bounds: Bounds) -> CapRule:
    return CapRule(
        bounds.cap_window_s * _MS_PER_S, bounds.cap_overage, bounds.cap_slack
    )


def _refuse(denied: Denied) -> Refusal:
    age_ms = denied.age_ms
    return Refusal(
        429,
        _CAUSE,
        may_retry_later=True,
        retry_after_ms=denied.wait_ms,
        limit=LimitDetail(
            rule=denied.rule,
            workspace=denied.workspace,
            share_per_s=round(denied.share_per_s, 2),
            use_per_s=round(denied.use_per_s, 2),
            data_age_ms=None if age_ms is None else round(age_ms),
        ),
    )
