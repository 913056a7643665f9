"""Outcomes of requests that may run at most once.

Each incarnation of a node has one table of the keys whose requests it sends;
no other process sends them. Outcomes are kept in memory, grouped into epochs
of fixed length. After an epoch is dropped, its keys are answered *outcome
unknown* and never sent, since they may have run.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from gentianbank.domain.request_key import RequestKey
from gentianbank.domain.request_key import ScopedKey

EPOCH_MS = 60_000
RETAINED_EPOCHS = 10
# Keys may be this far ahead of the current epoch, since other nodes that
# answer look-ups estimate it by their own clocks.
FUTURE_EPOCHS = 2


@dataclass(frozen=True, slots=True)
class Header:
    """One header of an answer."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Answered:
    """The target ran the request and its answer arrived whole.

    Parameters
    ----------
    body
        Body of the answer; ``None`` if it was too large to retain.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes | None


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run.

    Parameters
    ----------
    sealed
        Whether this process guarantees that it never sends the request.
    """

    cause: str
    sealed: bool = False


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run."""

    cause: str


Outcome = Answered | NotRun | Unknown


@dataclass(frozen=True, slots=True)
class SendPermission:
    """Whoever called ``begin`` may send the request, once.

    Parameters
    ----------
    is_retry
        Whether an earlier attempt of this process ended without the request
        having run.
    """

    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class Pending:
    """Another request with this key is in flight."""


@dataclass(frozen=True, slots=True)
class Mismatch:
    """The key was used before for a different request."""


@dataclass(frozen=True, slots=True)
class OwnedElsewhere:
    """The key belongs to another incarnation."""

    incarnation: str


Admission = SendPermission | Pending | Mismatch | OwnedElsewhere | Outcome


@dataclass(slots=True)
class _Entry:
    fingerprint: str
    epoch: int
    outcome: Outcome | None = None


@dataclass(slots=True)
class OutcomeTable:
    """Outcomes of the keys that one incarnation owns.

    Parameters
    ----------
    incarnation
        Incarnation of this process.
    max_entries
        While this many entries or more are held, each call of ``begin`` or
        ``seal`` drops the oldest epoch.
    """

    incarnation: str
    max_entries: int = 100_000
    _entries: dict[RequestKey, _Entry] = field(default_factory=dict)
    _oldest_epoch: int = 0

    @staticmethod
    def epoch_at(now_ms: float) -> int:
        """Return the epoch of a monotonic time of this process."""
        return int(now_ms // EPOCH_MS)

    def begin(
        self, key: RequestKey, fingerprint: str, now_ms: float
    ) -> Admission:
        """Ask for permission to send a request.

        Parameters
        ----------
        key
            Key of the request.
        fingerprint
            Digest of the request; a retry with the same key must match it.
        now_ms
            Monotonic time of this process, in milliseconds.

        Returns
        -------
        Admission
            ``SendPermission`` at most once for a key, unless the request
            ended as ``NotRun`` and is not sealed.
        """
        self._drop_old_epochs(now_ms)
        entry = self._entries.get(key)
        if entry is not None:
            return self._begin_known_key(entry, fingerprint)
        refusal = self._refuse_unknown_key(key, now_ms)
        if refusal is not None:
            return refusal
        epoch = self.epoch_at(now_ms)
        self._entries[key] = _Entry(fingerprint, epoch)
        return SendPermission()

    def finish(self, key: RequestKey, outcome: Outcome) -> None:
        """Record the outcome of a key that was begun."""
        entry = self._entries.get(key)
        if entry is not None:
            entry.outcome = outcome

    def seal(
        self, key: RequestKey, fingerprint: str, now_ms: float
    ) -> Outcome | Pending | Mismatch:
        """Return the outcome of a key; if it has not run, forbid sending it.

        Another node may rely on a ``NotRun`` from here, because this
        process never sends that request afterwards.
        """
        self._drop_old_epochs(now_ms)
        entry = self._entries.get(key)
        if entry is None:
            refusal = self._refuse_unknown_key(key, now_ms)
            if isinstance(refusal, Unknown):
                return refusal
            if not isinstance(key, ScopedKey):
                return Unknown('the outcome of this key is not held any more')
            entry = _Entry(fingerprint, self.epoch_at(now_ms))
            entry.outcome = NotRun('never sent', sealed=True)
            self._entries[key] = entry
            return entry.outcome
        if entry.fingerprint != fingerprint:
            return Mismatch()
        if isinstance(entry.outcome, NotRun):
            entry.outcome = NotRun(entry.outcome.cause, sealed=True)
        return entry.outcome or Pending()

    def has_entry(self, key: RequestKey) -> bool:
        """Tell whether the table has an entry for a key, begun or sealed."""
        return key in self._entries

    @property
    def oldest_epoch(self) -> int:
        """Return the oldest epoch whose outcomes are retained."""
        return self._oldest_epoch

    def items(self) -> list[tuple[RequestKey, str, Outcome]]:
        """Return key, fingerprint and outcome of the requests that ended."""
        return [
            (key, entry.fingerprint, entry.outcome)
            for key, entry in self._entries.items()
            if entry.outcome is not None
        ]

    def __len__(self) -> int:
        return len(self._entries)

    def _begin_known_key(self, entry: _Entry, fingerprint: str) -> Admission:
        if entry.fingerprint != fingerprint:
            return Mismatch()
        if entry.outcome is None:
            return Pending()
        if isinstance(entry.outcome, NotRun) and not entry.outcome.sealed:
            entry.outcome = None
            return SendPermission(is_retry=True)
        return entry.outcome

    def _refuse_unknown_key(
        self, key: RequestKey, now_ms: float
    ) -> Admission | None:
        if not isinstance(key, ScopedKey):
            return None
        if key.incarnation != self.incarnation:
            return OwnedElsewhere(key.incarnation)
        if key.epoch < self._oldest_epoch:
            return Unknown('the outcomes of this epoch were dropped')
        if key.epoch > self.epoch_at(now_ms) + FUTURE_EPOCHS:
            return Unknown('the epoch was never handed out')
        return None

    def _drop_old_epochs(self, now_ms: float) -> None:
        oldest_kept_epoch = self.epoch_at(now_ms) - RETAINED_EPOCHS + 1
        if len(self._entries) >= self.max_entries:
            oldest_kept_epoch = max(oldest_kept_epoch, self._oldest_epoch + 1)
        if oldest_kept_epoch <= self._oldest_epoch:
            return
        self._oldest_epoch = oldest_kept_epoch
        self._entries = {
            key: entry
            for key, entry in self._entries.items()
            if _epoch_of(key, entry) >= oldest_kept_epoch
        }


def _epoch_of(key: RequestKey, entry: _Entry) -> int:
    return key.epoch if isinstance(key, ScopedKey) else entry.epoch
