"""What the answers of targets say of their leaving, for a node's view."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from gentianbank.platform import headers as wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.policy.target_load import TargetLoad
    from gentianbank.steering.cluster_view import ClusterView
    from gentianbank.targets.transport import RawHeaders


class LeavingTargets:
    """Applies what answers say, and tells before each request is written.

    Parameters
    ----------
    clock
        Returns the monotonic time in milliseconds.
    unix_clock
        Returns the Unix time in milliseconds.
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        clock: Callable[[], float],
        unix_clock: Callable[[], float],
    ) -> None:
        self._cluster_view = cluster_view
        self._clock = clock
        self._unix_clock = unix_clock
        self._listeners: list[Callable[[TargetLoad], None]] = []

    def add_listener(self, listener: Callable[[TargetLoad], None]) -> None:
        """Have a function called when a target says that it leaves."""
        self._listeners.append(listener)

    def may_send(self, target: TargetLoad) -> bool:
        """Return whether a request may still be written to a target.

        Parameters
        ----------
        target
            The target as it was when the request was placed; another
            incarnation may have taken its place meanwhile.
        """
        target_id = target.registration.target_id
        current = self._cluster_view.targets.get(target_id, target)
        if target.leaving.is_active:
            return False
        return self._cluster_view.is_usable(current)

    def on_head(
        self,
        target: TargetLoad,
        status: int,
        headers: RawHeaders,
        request_id: bytes = b'',
    ) -> None:
        """Record the head of an answer, also of one that is not used.

        Parameters
        ----------
        request_id
            Request whose answer was awaited; empty for a status check.
        """
        if not wire.says_leaving(headers):
            return
        target_id = target.registration.target_id
        if wire.is_misdirected(status) or (
            wire.names_other_target(headers, target_id)
        ):
            return
        target = self._answering(target)
        if not target.leaving.on_said(self._clock(), self._unix_clock()):
            return
        self._cluster_view.generation += 1
        logging.info(
            'target says that it leaves',
            extra={
                'target': target_id,
                'request': request_id.decode('latin-1'),
                'draining': target.registration.draining,
                'store_age_ms': self._cluster_view.age_ms(self._clock()),
            },
        )
        for listener in self._listeners:
            listener(target)

    def on_not_said(
        self, target: TargetLoad, sent_ms: float, evidence: str
    ) -> bool:
        """Record a target's own answer that does not say that it leaves.

        Parameters
        ----------
        sent_ms
            Time before which no byte of the request was sent.
        evidence
            Kind of the answer, for the log.

        Returns
        -------
        bool
            Whether the target gets requests again because of it.
        """
        leaving = self._answering(target).leaving
        since_ms = leaving.since_ms
        if since_ms is None or not leaving.on_not_said(sent_ms):
            return False
        now_ms = self._clock()
        self._cluster_view.generation += 1
        logging.info(
            'target no longer says that it leaves',
            extra={
                'target': target.registration.target_id,
                'evidence': evidence,
                'age_ms': round(now_ms - sent_ms),
                'left_for_ms': round(now_ms - since_ms),
                'store_age_ms': self._cluster_view.age_ms(now_ms),
            },
        )
        return True

    def _answering(self, target: TargetLoad) -> TargetLoad:
        """Return the target of which an answer tells.

        The entry of a new process may have come while the answer was on its
        way. Which of the two gave it is not known, but the newer one may be.
        """
        current = self._cluster_view.targets.get(target.registration.target_id)
        if current is None:
            return target
        same_address = (
            current.registration.address == target.registration.address
        )
        return current if same_address else target
