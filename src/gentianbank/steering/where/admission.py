"""Whether the cap and the share of a workspace would admit a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianbank.policy.usage_caps.account import Token
from gentianbank.policy.usage_caps.node import MustAsk
from gentianbank.steering.where.explanation import CapAnswer
from gentianbank.steering.where.explanation import ShareAnswer

if TYPE_CHECKING:
    from gentianbank.steering.caller_request import CallerRequest
    from gentianbank.steering.fair_shares.fair_shares import FairShares
    from gentianbank.steering.usage_caps.admission import UsageCaps


def explain_cap(
    usage_caps: UsageCaps | None, request: CallerRequest
) -> CapAnswer:
    """Return whether the usage cap would admit a request."""
    workspace = request.workspace
    if usage_caps is None or workspace is None or not workspace.has_cap:
        return CapAnswer(state='none')
    rate_per_s = workspace.rate_per_s
    burst = workspace.burst
    found = usage_caps.preview(request)
    if found is None:
        return CapAnswer(
            state='not applied yet', rate_per_s=rate_per_s, burst=burst
        )
    if isinstance(found, Token):
        return CapAnswer(state='admitted', rate_per_s=rate_per_s, burst=burst)
    if isinstance(found, MustAsk):
        return CapAnswer(
            state='asks owner',
            owner=found.owner,
            rate_per_s=rate_per_s,
            burst=burst,
        )
    return CapAnswer(
        state='refused',
        rule=found.rule,
        rate_per_s=rate_per_s,
        burst=burst,
        share_per_s=found.share_per_s,
        use_per_s=found.use_per_s,
        age_ms=found.age_ms,
        wait_ms=found.wait_ms,
    )


def explain_share(
    fair_shares: FairShares, request: CallerRequest
) -> ShareAnswer:
    """Return whether the share of the workspace would admit a request."""
    found = fair_shares.preview(request)
    if found is None:
        return ShareAnswer(state='not divided')
    return ShareAnswer(
        state='admitted' if found.is_admitted else 'refused',
        rule=found.share.rule,
        share_per_s=found.share.share_per_s,
        asked_per_s=found.share.asked_per_s,
        room_per_s=found.share.room_per_s,
        is_returning=found.is_returning,
        age_ms=found.age_ms,
    )
