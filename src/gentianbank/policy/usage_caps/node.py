"""A node as a user of tokens: admits requests and asks owners."""

from __future__ import annotations

from collections import defaultdict
import copy
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from gentianbank.policy.usage_caps.account import Account
from gentianbank.policy.usage_caps.account import Token
from gentianbank.policy.usage_caps.demand import tokens_to_hold
from gentianbank.policy.usage_caps.exchange import Ask
from gentianbank.policy.usage_caps.exchange import Want
from gentianbank.policy.usage_caps.owners import choose_owners
from gentianbank.policy.usage_caps.owners import OwnerSet
from gentianbank.policy.usage_caps.parts import divide
from gentianbank.policy.usage_caps.parts import EqualPart
from gentianbank.policy.usage_caps.plan import choose_pace
from gentianbank.policy.usage_caps.plan import MAX_WAIT_MS
from gentianbank.policy.usage_caps.plan import Pace
from gentianbank.policy.usage_caps.plan import plan_cap

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gentianbank.policy.usage_caps.exchange import FleetView
    from gentianbank.policy.usage_caps.exchange import Grant
    from gentianbank.policy.usage_caps.parts import PartDivision
    from gentianbank.policy.usage_caps.plan import Cap
    from gentianbank.policy.usage_caps.plan import CapPlan
    from gentianbank.policy.usage_caps.plan import CapRule

_MS_PER_S = 1_000
# An owner that shuts down is not asked for so long.
LEAVING_MS = 3_000.0
# Least time between two asks to an owner for waiting requests.
MIN_ASK_GAP_MS = 5.0


@dataclass(frozen=True, slots=True)
class MustAsk:
    """The request needs a token that only the owner may have."""

    owner: str


@dataclass(frozen=True, slots=True)
class Denied:
    """The request gets no token.

    Parameters
    ----------
    rule
        What denied it: ``usage cap`` or ``equal part of the usage cap``.
    share_per_s, use_per_s
        What this node gets of the cap, and uses.
    age_ms
        Time since the owner's last answer; ``None`` before the first.
    wait_ms
        Time after which the request is likely to get a token.
    """

    workspace: str
    rule: str
    share_per_s: float
    use_per_s: float
    age_ms: float | None
    wait_ms: float


@dataclass(slots=True)
class CapNode:
    """Holds the tokens of one node.

    All times are in milliseconds on a clock that includes suspended time.

    Parameters
    ----------
    started_ms
        Time when the node started. Its equal parts are free one window
        later, as it may have used them just before it started again.
    is_first_start
        Whether the whole system starts for the first time, so that nothing
        was used before.
    """

    vm: str
    rule: CapRule
    started_ms: float
    is_first_start: bool = False
    owners: OwnerSet = field(default_factory=OwnerSet)
    accounts: dict[str, Account] = field(default_factory=dict)
    pace: Pace = field(default_factory=Pace)
    _members: frozenset[str] = frozenset()
    _is_counted: bool = False
    _caps: dict[str, Cap] = field(default_factory=dict)
    _plans: dict[str, CapPlan] = field(default_factory=dict)
    _stamps: dict[str, tuple[float, float]] = field(default_factory=dict)
    _asked_ms: dict[str, float] = field(default_factory=dict)
    _urgent: set[str] = field(default_factory=set)
    _leaving_until_ms: dict[str, float] = field(default_factory=dict)

    def update(
        self,
        view: FleetView,
        caps: Mapping[str, Cap],
        now_ms: float,
        *,
        is_counted: bool,
    ) -> None:
        """Apply the node's view and the caps in force.

        Parameters
        ----------
        is_counted
            Whether the other nodes count this one, so that it may use its
            equal parts.
        """
        self._is_counted = is_counted
        self._members = view.members | {self.vm}
        self.pace = choose_pace(len(view.members))
        leaving = {
            vm
            for vm, until_ms in self._leaving_until_ms.items()
            if now_ms < until_ms
        }
        owners = choose_owners(view.registered - leaving)
        if owners.digest != self.owners.digest:
            self.owners = owners
        self._apply_caps(caps)
        for vm in self._leaving_until_ms.keys() - view.registered:
            del self._leaving_until_ms[vm]
        for vm in self._asked_ms.keys() - view.registered:
            del self._asked_ms[vm]
        for vm, (_, received_ms) in list(self._stamps.items()):
            if now_ms - received_ms >= self.pace.promise_ms:
                del self._stamps[vm]

    def admit(
        self,
        workspace: str,
        caller: bytes,
        limit_ms: float,
        now_ms: float,
        *,
        is_connected: bool,
        has_waited: bool = False,
    ) -> Token | MustAsk | Denied:
        """Take a token for a request, or say why there is none.

        Parameters
        ----------
        caller
            What is equal in all tries of a request.
        limit_ms
            Longest wait that the caller honors.
        is_connected
            Whether the owner can be asked.
        has_waited
            Whether the request has waited for the owner's answer.
        """
        account = self.accounts[workspace]
        if not has_waited:
            account.demand.add(1, now_ms)
        token = self._take(account, workspace, caller, now_ms)
        if token is not None:
            account.bookings.remove(caller)
            account.used.add(1, now_ms)
            account.used_count += 1
            return token
        owner = self.owners.owner_of(workspace)
        may_ask = (
            owner is not None
            and is_connected
            and not has_waited
            and now_ms >= account.dry_until_ms
            and not account.bookings.is_early(caller, now_ms)
        )
        if may_ask:
            assert owner is not None
            account.waiting += 1
            self._urgent.add(owner)
            return MustAsk(owner)
        account.refused += 1
        return self._deny(account, workspace, caller, limit_ms, now_ms)

    def trial(self, workspace: str) -> CapNode:
        """Return a copy whose calls change nothing here.

        Parameters
        ----------
        workspace
            The only workspace that the copy admits requests of.
        """
        account = copy.deepcopy(self.accounts[workspace])
        return replace(
            self,
            accounts={workspace: account},
            _stamps=dict(self._stamps),
            _asked_ms=dict(self._asked_ms),
            _urgent=set(self._urgent),
            _leaving_until_ms=dict(self._leaving_until_ms),
        )

    @property
    def has_urgent_asks(self) -> bool:
        """Return whether waiting requests were not asked for yet."""
        return bool(self._urgent)

    def end_wait(self, workspace: str) -> None:
        """Record that a request no longer waits for an owner's answer."""
        account = self.accounts.get(workspace)
        if account is not None:
            account.waiting = max(0, account.waiting - 1)

    def give_back(self, token: Token, now_ms: float) -> None:
        """Take back the token of a request that did not run."""
        account = self.accounts.get(token.workspace)
        if account is None:
            return
        if token.part_ms is not None:
            account.part.give_back(token.part_ms)
        else:
            account.give_back(token.expires_ms, now_ms)

    def asks(self, now_ms: float) -> dict[str, Ask]:
        """Return the messages that are due, by owner."""
        wants: defaultdict[str, list[Want]] = defaultdict(list)
        for name, account in self.accounts.items():
            owner = self.owners.owner_of(name)
            if owner is not None and self._is_due(owner, now_ms):
                want = self._want(name, account, now_ms)
                if want is not None:
                    wants[owner].append(want)
                else:
                    wants.setdefault(owner, [])
        due: dict[str, Ask] = {}
        for owner, listed in wants.items():
            quiet_ms = now_ms - self._asked_ms.get(owner, float('-inf'))
            has_tokens = any(want.tokens for want in listed)
            if has_tokens or quiet_ms >= self.pace.quiet_ms:
                due[owner] = self._ask(owner, listed, now_ms)
        return due

    def on_grant(self, owner: str, grant: Grant, now_ms: float) -> list[str]:
        """Apply an owner's answer.

        Returns
        -------
        list
            Workspaces of which waiting requests may try again.
        """
        if owner not in self._stamps:
            # The owner counts this node as heard once the stamp comes back.
            self._asked_ms.pop(owner, None)
        self._stamps[owner] = (grant.stamp_ms, now_ms)
        if grant.is_leaving:
            self._leaving_until_ms.setdefault(owner, now_ms + LEAVING_MS)
        if grant.digest == self.owners.digest:
            self._promise(owner, grant, now_ms)
        expires_ms = grant.sent_ms + grant.valid_ms
        for row in grant.granted:
            account = self.accounts.get(row.workspace)
            if account is None:
                continue
            account.put(expires_ms, row.tokens, now_ms)
            account.supply.add(row.tokens, now_ms)
            account.asked = 0
            account.heard_ms = now_ms
            if row.wait_ms > 0:
                wait_ms = min(row.wait_ms, self.pace.batch_ms)
                account.dry_until_ms = now_ms + wait_ms
        return [
            row.workspace
            for row in grant.granted
            if row.workspace in self.accounts
        ]

    def _take(
        self, account: Account, name: str, caller: bytes, now_ms: float
    ) -> Token | None:
        bookings = account.bookings
        if bookings.is_early(caller, now_ms):
            return None
        reserved = (
            0
            if bookings.is_due(caller, now_ms)
            else bookings.kept_tokens(now_ms)
        )
        if account.in_hand(now_ms) > reserved:
            expires_ms = account.take(now_ms)
            assert expires_ms is not None
            return Token(name, expires_ms)
        if not self._may_use_part(account, now_ms):
            return None
        parts = self._parts(name)
        quota, phase = parts.quota(self.vm), parts.phase(self.vm)
        if not account.part.is_free(quota, now_ms, phase):
            return None
        account.part.use(now_ms)
        return Token(name, now_ms, now_ms)

    def _may_use_part(self, account: Account, now_ms: float) -> bool:
        return self._is_counted and now_ms >= account.promised_ms

    def _parts(self, name: str) -> PartDivision:
        return divide(name, self._members, self._plans[name].window_quota)

    def _part_quota(self, name: str) -> int:
        return self._parts(name).quota(self.vm)

    def _deny(
        self,
        account: Account,
        name: str,
        caller: bytes,
        limit_ms: float,
        now_ms: float,
    ) -> Denied:
        uses_part = self._may_use_part(account, now_ms)
        part_per_s = self._part_quota(name) / self.rule.window_ms * _MS_PER_S
        share_per_s = account.supply.per_s(now_ms)
        if uses_part:
            share_per_s = part_per_s
        expected_per_s = max(share_per_s, part_per_s)
        heard = account.heard_ms > float('-inf')
        return Denied(
            name,
            'equal part of the usage cap' if uses_part else 'usage cap',
            share_per_s,
            account.used.per_s(now_ms),
            now_ms - account.heard_ms if heard else None,
            account.bookings.book(caller, expected_per_s, limit_ms, now_ms),
        )

    def _apply_caps(self, caps: Mapping[str, Cap]) -> None:
        if caps == self._caps and self._plans:
            return
        for name, cap in caps.items():
            last = self._caps.get(name)
            if last is not None and cap.rate_per_s < last.rate_per_s:
                self.accounts[name].cut(cap.rate_per_s / last.rate_per_s)
            if name not in self.accounts:
                free_ms = self.started_ms
                if not self.is_first_start:
                    free_ms += self.rule.window_ms
                part = EqualPart(self.rule.window_ms, free_ms)
                self.accounts[name] = Account(part)
        for name in self.accounts.keys() - caps.keys():
            del self.accounts[name]
        self._caps = dict(caps)
        self._plans = {
            name: plan_cap(cap, self.rule, self.pace.grant_ms)
            for name, cap in caps.items()
        }

    def _promise(self, owner: str, grant: Grant, now_ms: float) -> None:
        """Promise not to use equal parts for what the owner acts for."""
        inactive = set(grant.inactive)
        until_ms = now_ms + grant.promise_ms
        for name, account in self.accounts.items():
            if self.owners.owner_of(name) == owner and name not in inactive:
                account.promised_ms = max(account.promised_ms, until_ms)
                account.part.postpone(account.promised_ms)
                account.heard_ms = now_ms

    def _is_due(self, owner: str, now_ms: float) -> bool:
        age_ms = now_ms - self._asked_ms.get(owner, float('-inf'))
        if owner in self._urgent:
            return age_ms >= MIN_ASK_GAP_MS
        return age_ms >= self.pace.batch_ms - 1

    def _want(self, name: str, account: Account, now_ms: float) -> Want | None:
        part_age_ms = account.part.age_ms(now_ms)
        hold = tokens_to_hold(
            account.demand.per_s(now_ms),
            self.pace.batch_ms,
            self.pace.grant_ms,
        )
        if now_ms - account.asked_ms >= MAX_WAIT_MS:
            account.asked = 0
        tokens = (
            account.waiting
            + max(hold, account.bookings.kept_tokens(now_ms))
            - account.in_hand(now_ms)
            - account.asked
        )
        if tokens <= 0 and part_age_ms is None:
            return None
        return Want(name, max(0, tokens), part_age_ms)

    def _ask(self, owner: str, wants: list[Want], now_ms: float) -> Ask:
        self._asked_ms[owner] = now_ms
        self._urgent.discard(owner)
        for want in wants:
            if want.tokens:
                account = self.accounts[want.workspace]
                account.asked += want.tokens
                account.asked_ms = now_ms
        stamp_ms, _ = self._stamps.get(owner, (0.0, 0.0))
        uptime_ms = now_ms - self.started_ms
        if self.is_first_start:
            uptime_ms = max(uptime_ms, self.rule.window_ms)
        return Ask(
            now_ms, stamp_ms, self.owners.digest, uptime_ms, tuple(wants)
        )
