"""Keeps what was known before a restore of the store in force for a while."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from absl import logging

from gentianbank.policy.restored_store import CAUTION_MS
from gentianbank.policy.restored_store import GoneTargets
from gentianbank.policy.restored_store import KnownBefore
from gentianbank.policy.restored_store import TargetUse

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianbank.domain.registration import TargetRegistration
    from gentianbank.steering.cluster_view import ClusterView


class RestoreCaution:
    """Merges the content of a restored store with what was known before.

    Parameters
    ----------
    cluster_view
        What is known; it is read only.
    clock
        Returns the monotonic time in milliseconds.
    """

    def __init__(
        self, cluster_view: ClusterView, clock: Callable[[], float]
    ) -> None:
        self._cluster_view = cluster_view
        self._clock = clock
        self._gone = GoneTargets()
        self._known: KnownBefore | None = None
        # Entries in the store that are not used as they are, by target.
        self._held_back: dict[str, TargetRegistration] = {}

    @property
    def ends_ms(self) -> float | None:
        """Return when only the store's content holds; ``None`` if it does."""
        return self._known.ends_ms if self._known else None

    @property
    def is_over(self) -> bool:
        """Return whether the caution has lasted long enough to be ended."""
        return self._known is not None and self._known.is_over(self._clock())

    def begin(self, revision: int) -> None:
        """Keep what is known now, before a restored store is listed.

        Parameters
        ----------
        revision
            Revision of the restored store.
        """
        now_ms = self._clock()
        gone = self._gone.recent(now_ms)
        if self._known:
            gone = self._known.gone | gone
        draining = {
            target_id: target.registration.born_ms
            for target_id, target in self._cluster_view.targets.items()
            if target.registration.draining
        }
        self._known = KnownBefore(
            revision=revision,
            ends_ms=now_ms + CAUTION_MS,
            evacuated=self._cluster_view.evacuated,
            draining=draining,
            gone=gone,
        )
        self._held_back.clear()

    def on_listing(self) -> None:
        """Forget the entries in the store, all of which are listed now."""
        self._held_back.clear()

    def on_listed(self, evacuated: frozenset[str]) -> frozenset[str]:
        """Log what is kept beside a listing, once its entries are checked.

        Parameters
        ----------
        evacuated
            Failure domains that the store says are evacuated.

        Returns
        -------
        frozenset of str
            Those that are to be treated as evacuated.
        """
        if not self._known:
            return evacuated
        self._log('state from before the restore kept', evacuated)
        return evacuated | self._known.evacuated

    def check_target(
        self, entry: TargetRegistration, revision: int
    ) -> TargetRegistration | None:
        """Return the entry to use for an entry of the store.

        Parameters
        ----------
        revision
            Revision at which the entry was written.

        Returns
        -------
        TargetRegistration or None
            ``None`` if the target is not to be used.
        """
        target_id = entry.target_id
        self._held_back.pop(target_id, None)
        use = TargetUse.AS_STORED
        if self._known:
            use = self._known.use_of_target(target_id, entry.born_ms, revision)
        if use is TargetUse.UNUSED:
            self._held_back[target_id] = entry
            return None
        self._gone.forget(target_id)
        if use is TargetUse.DRAINING and not entry.draining:
            self._held_back[target_id] = entry
            return replace(entry, draining=True)
        return entry

    def on_target_entry_gone(self, target_id: str) -> None:
        """Handle that the store has no entry of a target any more."""
        self._held_back.pop(target_id, None)

    def on_target_gone(self, target_id: str) -> None:
        """Handle that a target is about to be removed from the view."""
        self._held_back.pop(target_id, None)
        target = self._cluster_view.targets.get(target_id)
        if target:
            born_ms = target.registration.born_ms
            self._gone.put(target_id, born_ms, self._clock())

    def on_evacuated(self, name: str, revision: int) -> None:
        """Handle that the store has an evacuation of a failure domain."""
        if self._known:
            self._known.on_evacuated(name, revision)

    def keeps_evacuation(self, name: str, *, was_stored: bool) -> bool:
        """Return whether a failure domain stays evacuated at a removal.

        Parameters
        ----------
        was_stored
            Whether the restored store had the evacuation. If not, nobody
            has removed it since.
        """
        if not self._known:
            return False
        if was_stored:
            self._known.on_evacuation_removed(name)
        return name in self._known.evacuated

    def end(self, evacuated: frozenset[str]) -> list[TargetRegistration]:
        """End the caution, after which only the store's content holds.

        Parameters
        ----------
        evacuated
            Failure domains that the store says are evacuated.

        Returns
        -------
        list of TargetRegistration
            Entries of the store that were not used as they are.
        """
        self._log('state from before the restore given up', evacuated)
        entries = list(self._held_back.values())
        self._held_back.clear()
        self._known = None
        return entries

    def _log(self, message: str, evacuated: frozenset[str]) -> None:
        """Log the numbers of what holds though the store says otherwise."""
        assert self._known is not None
        targets = self._cluster_view.targets
        draining = sum(target_id in targets for target_id in self._held_back)
        logging.warning(
            message,
            extra={
                'revision': self._known.revision,
                'evacuated': len(self._known.evacuated - evacuated),
                'draining': draining,
                'gone': len(self._held_back) - draining,
            },
        )
