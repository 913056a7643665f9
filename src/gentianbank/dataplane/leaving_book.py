"""What targets say of their leaving, by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from gentianbank.dataplane import headers as http_headers
from gentianbank.policy.leaving import LeavingState

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.targets.transport import RawHeaders


class LeavingBook:
    """Holds the state of each target of the configuration.

    Parameters
    ----------
    on_began
        Called when a target has said that it leaves.
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self, on_began: Callable[[], None], clock: Callable[[], float]
    ) -> None:
        self._on_began = on_began
        self._clock = clock
        self._states: dict[str, LeavingState] = {}

    def update(self, targets: set[str]) -> None:
        """Keep the states of the targets that are still configured."""
        self._states = {
            name: self._states.get(name) or LeavingState() for name in targets
        }

    def now_ms(self) -> float:
        """Return the time by which requests and answers are ordered."""
        return self._clock()

    def is_leaving(self, target: str) -> bool:
        """Return whether a target must get no new requests."""
        state = self._states.get(target)
        return state is not None and state.is_active

    def may_send(self, target: str) -> bool:
        """Return whether a request may still be written to a target."""
        return not self.is_leaving(target)

    def on_head(self, target: str, headers: RawHeaders) -> None:
        """Record the head of an answer, also of one that is not used."""
        if http_headers.says_leaving(headers):
            self.on_said(target)

    def on_said(self, target: str) -> None:
        """Record that a target says that it leaves."""
        state = self._states.get(target)
        if state is None or not state.on_said(self._clock()):
            return
        logging.info('target says that it leaves', extra={'target': target})
        self._on_began()

    def on_passing_check(self, target: str, asked_ms: float) -> None:
        """Record a health check that passes and says nothing of leaving.

        Parameters
        ----------
        asked_ms
            Time before which the check was not sent.
        """
        state = self._states.get(target)
        if state is None or not state.on_not_said(asked_ms):
            return
        logging.info(
            'target no longer says that it leaves',
            extra={
                'target': target,
                'evidence': 'health check',
                'age_ms': round(self._clock() - asked_ms),
            },
        )
