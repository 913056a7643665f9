"""Status of the fleet as a node sees it, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianbank.rpc import operators_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.control.state import ControlState
    from gentianbank.dataplane.routing import Routing
    from gentianbank.domain.configuration import Target


class StatusReporter:
    """Reports members and targets as this node sees them.

    Parameters
    ----------
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        state: ControlState,
        routing: Routing,
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._routing = routing
        self._clock = clock

    def report(self) -> pb.StatusReply:
        """Return the status as the reply of the ``Status`` call."""
        me = self._state.me
        members = sorted(self._state.members.all(), key=lambda m: m.vm)
        return pb.StatusReply(
            vm=me.vm,
            incarnation=me.incarnation,
            revision=self._state.revision,
            relay=self._state.link_plan(self._clock()).is_relay,
            members=[
                pb.Member(
                    vm=member.vm,
                    region=member.region,
                    failure_domain=member.failure_domain,
                    http=member.http,
                    incarnation=member.incarnation,
                    state=member.state,
                )
                for member in members
            ],
            targets=self._target_statuses(),
        )

    def _target_statuses(self) -> list[pb.TargetStatus]:
        configuration = self._routing.configuration
        if configuration is None:
            return []
        return [
            self._target_status(name, place.region, target)
            for name, service in sorted(configuration.services.items())
            for place in service.places
            for target in place.targets
        ]

    def _target_status(
        self, service: str, region: str, target: Target
    ) -> pb.TargetStatus:
        health = self._routing.health_of(target.name)
        latency_ms = health.latency_ms if health else 0.0
        return pb.TargetStatus(
            service=service,
            target=target.name,
            region=region,
            state=self._state_of(target),
            in_flight=self._routing.in_flight_of(target.name),
            latency_ms=latency_ms,
        )

    def _state_of(self, target: Target) -> str:
        health = self._routing.health_of(target.name)
        if target.draining:
            return 'draining'
        if health is None:
            return 'unknown'
        if self._routing.leaving.is_leaving(target.name):
            return 'leaving'
        if health.is_ejected(self._clock()):
            return 'ejected'
        return 'failing' if health.failing else 'ready'
