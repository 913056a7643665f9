"""Log lines and metrics about requests."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from gentianbank.policy.placement import NoCapacity
from gentianbank.steering.limit_detail import LimitDetail
from gentianbank.steering.request_log import AnswerEndedEarly
from gentianbank.steering.request_log import AttemptFailed
from gentianbank.steering.request_log import FailurePassedOn
from gentianbank.steering.request_log import RequestAbandoned
from gentianbank.steering.request_log import RequestAnswered
from gentianbank.steering.request_log import RequestLog
from gentianbank.steering.request_log import RequestRefused

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.policy.placement import Placement
    from gentianbank.policy.placement import PlacementResult
    from gentianbank.policy.run_evidence import RunEvidence
    from gentianbank.steering.caller_request import CallerRequest
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.steering.outcomes import Cancelled
    from gentianbank.steering.outcomes import Outcome
    from gentianbank.telemetry.deferred import DeferredMetrics

ANSWERED = 'answered'
NO_ROUTE = 'none'
_MIN_FAILURE = 400


class Reporter:
    """Logs and counts the attempts, refusals and answers of one node.

    Parameters
    ----------
    log
        Writes the log lines.
    metrics
        Records the metrics.
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        *,
        cluster_view: ClusterView,
        log: RequestLog,
        metrics: DeferredMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._cluster_view = cluster_view
        self._log = log
        self._metrics = metrics
        self._clock = clock

    def on_attempt(
        self,
        request: CallerRequest,
        attempt: int,
        placed: Placement,
        sent_ms: float,
        outcome: Outcome | Cancelled,
        *,
        final: bool,
    ) -> None:
        """Report an attempt at a target.

        Parameters
        ----------
        attempt
            Number of the attempt, from 1 on.
        sent_ms
            Time when the attempt began.
        final
            Whether the attempt succeeded, so that its answer is final.
        """
        outcome_name = ANSWERED if final else type(outcome).__name__.lower()
        held_ms = sent_ms - request.received_ms
        took_ms = self._clock() - sent_ms
        entry = placed.target.registration
        age_ms = placed.report_age_ms
        event_type = RequestAnswered if final else AttemptFailed
        self._log.write(
            event_type(
                request=request.request_id.decode('latin-1'),
                route=request.route.name,
                service=request.service,
                topic=request.topic,
                attempt=attempt,
                target=entry.target_id,
                failure_domain=entry.failure_domain,
                outcome=outcome_name,
                cause=outcome.cause,
                version=self._configuration_version,
                warm=placed.warm,
                occupancy=round(placed.occupancy, 1),
                report_age_ms=round(age_ms) if math.isfinite(age_ms) else None,
                slowdown=round(placed.slowdown, 2),
                expected_ms=round(placed.expected_ms),
                wait_ms=round(placed.wait_ms),
                held_ms=round(held_ms),
                took_ms=round(took_ms),
            )
        )
        self._metrics.record(
            lambda metrics: metrics.on_attempt(
                request.service, outcome_name, held_ms, took_ms
            )
        )

    def on_refusal(
        self,
        request_id: str,
        request: CallerRequest | None,
        *,
        status: int,
        cause: str,
        attempts: int,
        evidence: RunEvidence,
        placement: PlacementResult | None,
        limit: LimitDetail | None,
    ) -> None:
        """Report that the node refused a request.

        Parameters
        ----------
        request
            The request; ``None`` if it has no route.
        evidence
            What is known about whether the request has run.
        placement
            Result of the latest choice of a target.
        limit
            The workspace's limit for which it was refused, if any.
        """
        held_ms = self._clock() - request.received_ms if request else 0.0
        limit = limit or LimitDetail()
        busy = placement.busy if isinstance(placement, NoCapacity) else ()
        self._log.write(
            RequestRefused(
                request=request_id,
                route=request.route.name if request else '',
                status=status,
                cause=cause,
                attempts=attempts,
                evidence=evidence.value,
                held_ms=round(held_ms),
                version=self._configuration_version,
                store_age_ms=self._cluster_view.age_ms(self._clock()),
                busy=' '.join(
                    f'{target.target_id}:{target.occupancy:.1f}'
                    for target in busy
                ),
                rule=limit.rule,
                workspace=limit.workspace,
                share_per_s=limit.share_per_s,
                use_per_s=limit.use_per_s,
                data_age_ms=limit.data_age_ms,
            )
        )
        self._record_final_answer(request, f'refused {status}', held_ms)

    def on_answer(self, request: CallerRequest, status: int) -> None:
        """Report that a target's answer is sent to the caller."""
        took_ms = self._clock() - request.received_ms
        if status >= _MIN_FAILURE:
            self._log.write(
                FailurePassedOn(
                    request=request.request_id.decode('latin-1'),
                    route=request.route.name,
                    status=status,
                    held_ms=round(took_ms),
                )
            )
        self._record_final_answer(request, f'answered {status}', took_ms)

    def on_caller_gone(self, request_id: str, received_ms: float) -> None:
        """Report that a caller left before its request was served."""
        held_ms = round(self._clock() - received_ms)
        self._log.write(RequestAbandoned(request=request_id, held_ms=held_ms))
        self._record_final_answer(None, 'caller left', held_ms)

    def on_answer_ended_early(self, request_id: str, cause: str) -> None:
        """Report that a target's answer ended early, while being sent on."""
        self._log.write(AnswerEndedEarly(request=request_id, cause=cause))

    def on_retry(self, service: str) -> None:
        """Report a retry."""
        self._metrics.record(lambda metrics: metrics.on_retry(service))

    def _record_final_answer(
        self, request: CallerRequest | None, outcome: str, took_ms: float
    ) -> None:
        service = request.service if request else NO_ROUTE
        kind = request.route.kind if request else NO_ROUTE
        self._metrics.record(
            lambda metrics: metrics.on_final_answer(
                service, kind, outcome, took_ms
            )
        )

    @property
    def _configuration_version(self) -> int:
        table = self._cluster_view.table
        return table.version if table else 0
