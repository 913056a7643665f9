"""Candidates for a request, and the targets that are passed over."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from gentianbank.policy.placement import Unfit
from gentianbank.steering.where.explanation import Candidate
from gentianbank.steering.where.explanation import PassedOverTarget

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianbank.policy.placement import Estimate
    from gentianbank.policy.target_load import TargetLoad
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.steering.placer import PlacementPreview
    from gentianbank.steering.placer import PlacementRequest

DRAINING = 'draining'
LEAVING = 'it says that it leaves'
EVACUATED = 'its failure domain is evacuated'
HOME_REGIONS = 'not in the home regions'
OTHER_REGION = 'other region'


def list_candidates(
    preview: PlacementPreview, now_ms: float
) -> tuple[Candidate, ...]:
    """Return the targets that could take a request, the best one first.

    The regions keep the order in which they are asked.
    """
    found: list[Candidate] = []
    for region in preview.regions:
        fit = [
            _candidate(target, estimate, now_ms)
            for target, estimate in region.considered
            if not isinstance(estimate, Unfit)
        ]
        found += sorted(fit, key=lambda candidate: candidate.cost_ms)
    return tuple(found)


def list_passed_over(
    view: ClusterView,
    request: PlacementRequest,
    preview: PlacementPreview,
    now_ms: float,
) -> tuple[PassedOverTarget, ...]:
    """Return the other targets of the service, each with the reason."""
    reasons: dict[str, str] = {}
    fit: set[str] = set()
    for region in preview.regions:
        for target, why in region.passed_over:
            reasons[target.registration.target_id] = why
        for target, estimate in region.considered:
            target_id = target.registration.target_id
            if isinstance(estimate, Unfit):
                reasons[target_id] = estimate.value
            else:
                fit.add(target_id)
    return tuple(
        _passed_over(
            target,
            _why_not_sought(view, request, target) or reasons.get(target_id),
            now_ms,
        )
        for target_id, target in sorted(_of_service(view, request.service))
        if target_id not in fit
    )


def _of_service(
    view: ClusterView, service: str
) -> Iterable[tuple[str, TargetLoad]]:
    return (
        (target_id, target)
        for target_id, target in view.targets.items()
        if target.registration.service == service
    )


def _why_not_sought(
    view: ClusterView, request: PlacementRequest, target: TargetLoad
) -> str | None:
    if target.registration.draining:
        return DRAINING
    if target.leaving.is_active:
        return LEAVING
    if not view.is_usable(target):
        return EVACUATED
    allowed = request.allowed_regions
    if allowed is not None and target.region not in allowed:
        return HOME_REGIONS
    return None


def _report_age_ms(target: TargetLoad, now_ms: float) -> float | None:
    age_ms = now_ms - target.report_ms
    return age_ms if math.isfinite(age_ms) else None


def _candidate(
    target: TargetLoad, estimate: Estimate, now_ms: float
) -> Candidate:
    entry = target.registration
    return Candidate(
        target=entry.target_id,
        region=target.region,
        failure_domain=entry.failure_domain,
        cost_ms=estimate.cost_ms,
        expected_ms=estimate.expected_ms,
        wait_ms=estimate.wait_ms,
        is_warm=estimate.is_warm,
        occupancy=estimate.occupancy,
        slots=entry.slots,
        slowdown=estimate.slowdown,
        failure_rate=target.failure_rate,
        report_age_ms=_report_age_ms(target, now_ms),
    )


def _passed_over(
    target: TargetLoad, reason: str | None, now_ms: float
) -> PassedOverTarget:
    return PassedOverTarget(
        target=target.registration.target_id,
        region=target.region,
        reason=reason or OTHER_REGION,
        occupancy=target.occupancy(now_ms),
        slots=target.registration.slots,
        report_age_ms=_report_age_ms(target, now_ms),
    )
