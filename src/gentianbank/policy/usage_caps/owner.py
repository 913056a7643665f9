"""A node as the owner of workspaces' buckets."""

from __future__ import annotations

from collections import defaultdict
import copy
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import TypeVar

from gentianbank.policy.usage_caps.bucket import OwnerBucket
from gentianbank.policy.usage_caps.exchange import Claim
from gentianbank.policy.usage_caps.exchange import Grant
from gentianbank.policy.usage_caps.exchange import Granted
from gentianbank.policy.usage_caps.exchange import Handover
from gentianbank.policy.usage_caps.exchange import Offer
from gentianbank.policy.usage_caps.owners import choose_owners
from gentianbank.policy.usage_caps.owners import OwnerSet
from gentianbank.policy.usage_caps.parts import divide
from gentianbank.policy.usage_caps.plan import choose_pace
from gentianbank.policy.usage_caps.plan import Pace
from gentianbank.policy.usage_caps.plan import plan_cap
from gentianbank.policy.usage_caps.tenure import MAX_CLAIM_AGE_MS
from gentianbank.policy.usage_caps.tenure import Tenure

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gentianbank.policy.usage_caps.exchange import Ask
    from gentianbank.policy.usage_caps.exchange import FleetView
    from gentianbank.policy.usage_caps.exchange import Want
    from gentianbank.policy.usage_caps.plan import Cap
    from gentianbank.policy.usage_caps.plan import CapPlan
    from gentianbank.policy.usage_caps.plan import CapRule

_MS_PER_S = 1_000
_Value = TypeVar('_Value')
# A node that shuts down counts as gone for others this long before its entry
# must be.
LEAVING_MS = 3_000.0
# A bucket that was given up can be claimed for so long.
GIVEN_MS = 2_000.0


@dataclass(slots=True)
class _Owned:
    """A workspace for which this node ranks first.

    Parameters
    ----------
    since_ms
        Time since which it does.
    active_ms
        Time since which it acts as owner.
    held_per_s
        Rate that is held back for members, valid until ``held_until_ms``.
    """

    since_ms: float
    active_ms: float = float('inf')
    bucket: OwnerBucket | None = None
    held_per_s: float = float('inf')
    held_until_ms: float = float('-inf')


@dataclass(slots=True)
class _Given:
    """A bucket that this node gave up and may hand over for a while."""

    level: float
    successor: str
    until_ms: float


@dataclass(slots=True)
class CapOwner:
    """Grants tokens for the workspaces that this node owns.

    All times are in milliseconds on a clock that includes suspended time.

    Parameters
    ----------
    vm
        Name of this node.
    """

    vm: str
    rule: CapRule
    tenure: Tenure
    is_leaving: bool = False
    owners: OwnerSet = field(default_factory=OwnerSet)
    _pace: Pace = field(default_factory=Pace)
    _view: FleetView | None = None
    _owners_since_ms: float = 0.0
    _plans: dict[str, CapPlan] = field(default_factory=dict)
    _owned: dict[str, _Owned] = field(default_factory=dict)
    _given: dict[str, _Given] = field(default_factory=dict)
    _stamps_ms: dict[str, float] = field(default_factory=dict)
    _all_parts_until_ms: dict[str, float] = field(default_factory=dict)
    _parts_until_ms: defaultdict[str, dict[str, float]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    _leaving_until_ms: dict[str, float] = field(default_factory=dict)

    @property
    def pace(self) -> Pace:
        """Return the times of messages for the known number of nodes."""
        return self._pace

    def update(
        self, view: FleetView, caps: Mapping[str, Cap], now_ms: float
    ) -> dict[str, Offer]:
        """Apply the node's view and the caps in force.

        Returns
        -------
        dict
            Offers of buckets that this node gave up, by the next owner.
        """
        if self.tenure.check_gap(now_ms):
            self._reset(now_ms)
        self._view = view
        self._pace = choose_pace(len(view.members))
        self._plans = {
            name: plan_cap(cap, self.rule, self._pace.grant_ms)
            for name, cap in caps.items()
        }
        self._update_owners(view, now_ms)
        self._forget(view, now_ms)
        lost = self._update_owned(now_ms)
        for name, owned in self._owned.items():
            self._activate(name, owned, now_ms)
            owned.held_until_ms = float('-inf')
            self._fill(name, owned, now_ms)
        return lost

    def on_ask(self, vm: str, ask: Ask, now_ms: float) -> Grant:
        """Answer a node; its tokens are counted as spent by this."""
        if self.tenure.check_gap(now_ms):
            self._reset(now_ms)
        self._note(vm, ask, now_ms)
        granted = tuple(
            answer
            for want in ask.wants
            if want.tokens
            and (answer := self._grant(want, now_ms)) is not None
        )
        inactive = tuple(
            name for name in self._plans if self._is_inactive(name, now_ms)
        )
        return Grant(
            ask.sent_ms,
            now_ms,
            self.owners.digest,
            self._pace.grant_ms,
            self._pace.promise_ms,
            granted,
            inactive,
            self.is_leaving,
        )

    def trial(self, workspace: str) -> CapOwner:
        """Return a copy whose ``on_ask`` changes nothing here.

        Parameters
        ----------
        workspace
            The only workspace that the copy grants tokens for.
        """
        return replace(
            self,
            tenure=copy.deepcopy(self.tenure),
            _plans=_only(workspace, self._plans),
            _owned=copy.deepcopy(_only(workspace, self._owned)),
            _given={},
            _stamps_ms=dict(self._stamps_ms),
            _all_parts_until_ms=dict(self._all_parts_until_ms),
            _parts_until_ms=defaultdict(
                dict, copy.deepcopy(_only(workspace, self._parts_until_ms))
            ),
            _leaving_until_ms=dict(self._leaving_until_ms),
        )

    def on_offer(self, vm: str, offer: Offer, now_ms: float) -> Claim | None:
        """Claim the offered buckets for which this node ranks first."""
        if self.tenure.check_gap(now_ms) or self._view is None:
            self._reset(now_ms)
            return None
        if offer.is_leaving:
            self.on_leaving(vm, now_ms)
            self._update_owners(self._view, now_ms)
        names = tuple(
            name for name in offer.workspaces if self._is_next(name, vm)
        )
        return Claim(now_ms, names) if names else None

    def on_claim(self, vm: str, claim: Claim, now_ms: float) -> Handover:
        """Hand over the buckets that this node gave up for the sender.

        Nobody else can act for them yet: this node's view is recent, so its
        entry was in the store less than the tenure ago.
        """
        levels: dict[str, float] = {}
        if not self.tenure.check_gap(now_ms) and self._view_is_recent(now_ms):
            for name in claim.workspaces:
                given = self._given.get(name)
                if given is None or given.successor != vm:
                    continue
                del self._given[name]
                if now_ms < given.until_ms:
                    levels[name] = given.level
        return Handover(claim.sent_ms, levels)

    def on_handover(self, vm: str, handover: Handover, now_ms: float) -> None:
        """Act at once for the buckets that their last owner gave up."""
        if self.tenure.check_gap(now_ms):
            self._reset(now_ms)
            return
        age_ms = now_ms - handover.sent_ms
        if not 0 <= age_ms <= MAX_CLAIM_AGE_MS or not self._may_act(now_ms):
            return
        for name, level in handover.levels.items():
            plan = self._plans.get(name)
            if plan is None or not self._is_next(name, vm):
                continue
            owned = self._owned.setdefault(name, _Owned(now_ms))
            if owned.bucket is None:
                owned.active_ms = now_ms
                bucket = OwnerBucket(min(level, plan.capacity), now_ms)
                owned.bucket = bucket

    def on_leaving(self, vm: str, now_ms: float) -> None:
        """Rank without a node that shuts down, before its entry is gone."""
        self._leaving_until_ms.setdefault(vm, now_ms + LEAVING_MS)

    def leave(self, now_ms: float) -> dict[str, Offer]:
        """Stop granting; return the offers to the next owners."""
        self.is_leaving = True
        return self._update_owned(now_ms)

    def is_active(self, workspace: str, now_ms: float) -> bool:
        """Return whether this node acts as owner of a workspace."""
        owned = self._owned.get(workspace)
        return (
            owned is not None
            and owned.bucket is not None
            and self._may_act(now_ms)
        )

    def _may_act(self, now_ms: float) -> bool:
        view = self._view
        return (
            view is not None
            and self.vm in view.registered
            and self._view_is_recent(now_ms)
        )

    def _view_is_recent(self, now_ms: float) -> bool:
        view = self._view
        return view is not None and self.tenure.is_recent(
            view.heard_ms, now_ms
        )

    def _reset(self, now_ms: float) -> None:
        """Wait again, as others may have taken over during a freeze."""
        self._owned.clear()
        self._given.clear()
        self._owners_since_ms = now_ms

    def _update_owners(self, view: FleetView, now_ms: float) -> None:
        leaving = {
            vm
            for vm, until_ms in self._leaving_until_ms.items()
            if now_ms < until_ms
        }
        owners = choose_owners(view.registered - leaving)
        if owners.digest != self.owners.digest:
            self.owners = owners
            self._owners_since_ms = now_ms

    def _update_owned(self, now_ms: float) -> dict[str, Offer]:
        """Give up what this node owns no more; return the offers of it."""
        lost: defaultdict[str, list[str]] = defaultdict(list)
        may_act = self._may_act(now_ms)
        # A node whose entry lapsed while it could not reach the store learns
        # of that from others, and hands over instead of being waited for.
        has_lapsed = not may_act and self._view_is_recent(now_ms)
        for name in list(self._owned):
            if has_lapsed and name in self._plans:
                successor = self._give_up(name, now_ms)
                if successor is not None:
                    lost[successor].append(name)
            elif not may_act or name not in self._plans:
                del self._owned[name]
            elif self.is_leaving or self.owners.owner_of(name) != self.vm:
                successor = self._give_up(name, now_ms)
                if successor is not None:
                    lost[successor].append(name)
        if may_act and not self.is_leaving:
            for name in self._plans:
                if (
                    name not in self._owned
                    and self.owners.owner_of(name) == self.vm
                ):
                    self._owned[name] = _Owned(self._owners_since_ms)
        if not may_act:
            self._owners_since_ms = now_ms
        return {
            vm: Offer(tuple(names), self.is_leaving)
            for vm, names in lost.items()
        }

    def _give_up(self, name: str, now_ms: float) -> str | None:
        """Stop acting for a workspace; return the next owner if it acted."""
        owned = self._owned.pop(name)
        assert self._view is not None
        others = self._view.registered - {self.vm}
        if owned.bucket is None or not others:
            return None
        successor = choose_owners(others).owner_of(name)
        if not self.is_leaving:
            successor = self.owners.owner_of(name)
        assert successor is not None
        self._given[name] = _Given(
            owned.bucket.level, successor, now_ms + GIVEN_MS
        )
        return successor

    def _is_next(self, name: str, last_owner: str) -> bool:
        """Return whether this node ranks first, without the last owner."""
        if self._view is None or self.is_leaving:
            return False
        if self.owners.owner_of(name) == self.vm:
            return True
        others = self._view.registered - {last_owner}
        return choose_owners(others).owner_of(name) == self.vm

    def _activate(self, name: str, owned: _Owned, now_ms: float) -> None:
        if owned.bucket is not None:
            return
        wait_ms = self.tenure.wait_ms(self._pace.grant_ms, now_ms)
        if now_ms - owned.since_ms < wait_ms:
            return
        self._given.pop(name, None)
        owned.active_ms = now_ms
        full = self.tenure.starts_full(now_ms)
        level = self._plans[name].capacity if full else 0.0
        owned.bucket = OwnerBucket(level, now_ms)

    def _is_inactive(self, name: str, now_ms: float) -> bool:
        return self.owners.owner_of(name) == self.vm and not self.is_active(
            name, now_ms
        )

    def _grant(self, want: Want, now_ms: float) -> Granted | None:
        name = want.workspace
        owned = self._owned.get(name)
        if (
            owned is None
            or owned.bucket is None
            or name not in self._plans
            or not self._may_act(now_ms)
        ):
            return None
        self._fill(name, owned, now_ms)
        tokens = owned.bucket.take(want.tokens)
        wait_ms = owned.bucket.wait_ms if tokens < want.tokens else 0.0
        return Granted(name, tokens, wait_ms)

    def _fill(self, name: str, owned: _Owned, now_ms: float) -> None:
        if owned.bucket is None:
            return
        plan = self._plans[name]
        if now_ms >= owned.held_until_ms:
            # Computed for the time until the next update, so that a promise
            # that ends before it does not count.
            until_ms = now_ms + 2 * self._pace.batch_ms
            owned.held_per_s = self._held_per_s(name, owned, plan, until_ms)
            owned.held_until_ms = until_ms
        owned.bucket.fill(
            max(0.0, plan.rate_per_s - owned.held_per_s),
            plan.capacity,
            now_ms,
        )

    def _held_per_s(
        self, name: str, owned: _Owned, plan: CapPlan, until_ms: float
    ) -> float:
        """Return the rate of the members that may use their equal parts.

        Parameters
        ----------
        until_ms
            Time up to which they must have promised not to.
        """
        assert self._view is not None
        members = self._view.members | {self.vm}
        parts = divide(name, members, plan.window_quota)
        since_ms = max(owned.active_ms, until_ms - self._pace.promise_ms)
        promised = {
            vm
            for vm, stamp_ms in self._stamps_ms.items()
            if stamp_ms >= since_ms
        }
        for users in (self._all_parts_until_ms, self._parts_until_ms[name]):
            promised -= users.keys()
        held = parts.quota_of_all(members - promised)
        return held / self.rule.window_ms * _MS_PER_S

    def _note(self, vm: str, ask: Ask, now_ms: float) -> None:
        """Note the promise of a node, and its latest use of equal parts."""
        if ask.uptime_ms < self.rule.window_ms:
            self._all_parts_until_ms[vm] = (
                now_ms + self.rule.window_ms - ask.uptime_ms
            )
        for want in ask.wants:
            if want.part_age_ms is not None:
                self._parts_until_ms[want.workspace][vm] = (
                    now_ms + self.rule.window_ms - want.part_age_ms
                )
        if ask.digest == self.owners.digest and 0 < ask.stamp_ms <= now_ms:
            last_ms = self._stamps_ms.get(vm, 0.0)
            self._stamps_ms[vm] = max(last_ms, ask.stamp_ms)

    def _forget(self, view: FleetView, now_ms: float) -> None:
        """Drop what is noted of nodes and workspaces that are gone."""
        for vm in self._stamps_ms.keys() - view.members - {self.vm}:
            del self._stamps_ms[vm]
        for users in (
            self._all_parts_until_ms,
            *self._parts_until_ms.values(),
        ):
            for vm in [vm for vm, end in users.items() if now_ms >= end]:
                del users[vm]
        for name in self._parts_until_ms.keys() - self._plans.keys():
            del self._parts_until_ms[name]
        for vm, until_ms in list(self._leaving_until_ms.items()):
            if now_ms >= until_ms and vm not in view.registered:
                del self._leaving_until_ms[vm]


def _only(name: str, values: Mapping[str, _Value]) -> dict[str, _Value]:
    return {name: values[name]} if name in values else {}
