"""Admission of requests under usage caps and fair shares."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianbank.steering.answers import Refusal

if TYPE_CHECKING:
    from gentianbank.policy.usage_caps.account import Token
    from gentianbank.steering.caller_request import CallerRequest
    from gentianbank.steering.fair_shares.fair_shares import FairShares
    from gentianbank.steering.usage_caps.admission import UsageCaps


class Admission:
    """Admits requests of workspaces, or says why they are refused.

    The usage cap comes first: what exceeds it is no demand that the shares
    would have to divide.
    """

    def __init__(
        self, usage_caps: UsageCaps | None, fair_shares: FairShares
    ) -> None:
        self._usage_caps = usage_caps
        self._fair_shares = fair_shares

    async def admit(self, request: CallerRequest) -> Token | Refusal | None:
        """Return the cap's token for a request, or its refusal.

        Returns
        -------
        Token, Refusal or None
            ``None`` if the workspace has no cap.
        """
        token = await self.admit_run(request)
        if isinstance(token, Refusal):
            return token
        over_share = self._fair_shares.check(request)
        if over_share is not None:
            self.give_back(token)
            return over_share
        return token

    async def admit_run(
        self, request: CallerRequest
    ) -> Token | Refusal | None:
        """Return the cap's token for one more run of an admitted request."""
        if self._usage_caps is None:
            return None
        return await self._usage_caps.admit(request)

    def is_current(self, token: Token | None) -> bool:
        """Return whether a token may still be used for a request."""
        if self._usage_caps is None or token is None:
            return True
        return self._usage_caps.is_current(token)

    def give_back(self, token: Token | None) -> None:
        """Take back the token of a request that has not run."""
        if self._usage_caps is not None and token is not None:
            self._usage_caps.give_back(token)
