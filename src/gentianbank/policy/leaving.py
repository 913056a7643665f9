"""Whether a target has said that it leaves, and what ends that."""

from __future__ import annotations

from dataclasses import dataclass
import math


@dataclass(slots=True, eq=False)
class LeavingState:
    """What the answers of one incarnation of a target say of its leaving.

    An incarnation is a target's id with the time of its start. Times are in
    milliseconds; those that are not Unix times are the node's own monotonic
    ones.

    What crosses on its way is ordered by two times: an answer that does not
    say that the target leaves counts only if its request was sent after the
    newest answer that says so had arrived. An answer that says so always
    counts, also one that comes late: the target leaves if the order cannot
    be told, and its next status shows the contrary. Silence, lost
    connections and other entries of the same incarnation change nothing.

    Parameters
    ----------
    born_ms
        Unix time of the latest start that an entry tells of; 0 if none does.
    since_ms
        Time when an answer said first that the target leaves; ``None`` while
        it stays.
    said_ms
        Time when the newest answer that says so arrived.
    said_unix_ms
        The same as a Unix time, to compare with starts of targets.
    """

    born_ms: int = 0
    since_ms: float | None = None
    said_ms: float = -math.inf
    said_unix_ms: float = -math.inf

    @property
    def is_active(self) -> bool:
        """Return whether the target must get no new requests."""
        return self.since_ms is not None

    def on_said(self, now_ms: float, unix_ms: float = math.inf) -> bool:
        """Record an answer that says that the target leaves.

        Parameters
        ----------
        unix_ms
            Unix time of it; left out if no entries tell of starts.

        Returns
        -------
        bool
            Whether the target was thought to stay before.
        """
        self.said_ms = now_ms
        self.said_unix_ms = unix_ms
        if self.is_active:
            return False
        self.since_ms = now_ms
        return True

    def on_not_said(self, sent_ms: float) -> bool:
        """Record an answer that does not say that the target leaves.

        Parameters
        ----------
        sent_ms
            Time before which no byte of its request was sent.

        Returns
        -------
        bool
            Whether the target is now known to stay, and was not before.
        """
        if not self.is_active or sent_ms <= self.said_ms:
            return False
        self.since_ms = None
        return True

    def for_entry(self, born_ms: int) -> LeavingState:
        """Return the state that holds with an entry of the target.

        An entry of a later start than any before is one of another process.
        If that started after the newest answer, it has said nothing yet.
        Else it may be the one that gave the answer, as entries can be late;
        then only an answer ends the state. Unix times of different machines
        serve here alone, as a wrong order of them is put right by the next
        answer.
        """
        if born_ms <= self.born_ms:
            return self
        newer = LeavingState(born_ms)
        if self.is_active and born_ms <= self.said_unix_ms:
            newer.since_ms = self.since_ms
            newer.said_ms = self.said_ms
            newer.said_unix_ms = self.said_unix_ms
        return newer
