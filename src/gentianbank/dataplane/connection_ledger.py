"""What the connections to one port hold, and which of them goes first."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
import resource
from typing import Protocol
from typing import TYPE_CHECKING

from absl import logging

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from gentianbank.domain.connection_limits import ConnectionLimits
    from gentianbank.domain.route_table import CallerLimits

SWEEP_S = 0.5
# A sweep that is later than this shows that the process was frozen or busy.
# What callers have sent meanwhile is not read yet.
LATE_SWEEP_S = 2 * SWEEP_S
# A connection may be new, and its first request on its way, for so long.
NEW_CONNECTION_S = 1.0
# After a cut the rest stays below the bound by this part, so that the search
# for the largest holder is not made for each byte.
RELIEVED_PART = 0.9
# Pause after a search that has not brought the sum below the bound, since
# bodies of running requests are not taken from anybody.
RELIEF_PAUSE_S = 0.1
# Part of the process's descriptors that connections to one port may use.
DESCRIPTOR_PART = 0.6
# So that a small part still leaves room for a few checks at a time.
MIN_CONNECTIONS = 8
MAX_LOG_LINES_PER_S = 3


@dataclass(frozen=True, slots=True)
class CutOff:
    """Why a connection is cut off.

    Parameters
    ----------
    status
        Status of the answer; 0 for none.
    """

    reason: str
    status: int = 0


HEAD_TOO_LARGE = CutOff('head too large', 431)
HEAD_TOO_SLOW = CutOff('head too slow', 408)
BODY_TOO_SLOW = CutOff('body too slow', 408)
BODY_TOO_LARGE = CutOff('body too large', 413)
FRAMING_TOO_LARGE = CutOff('framing too large', 400)
MALFORMED = CutOff('malformed', 400)
IDLE = CutOff('idle')
TOO_MANY = CutOff('too many connections')
TOO_MANY_OF_ADDRESS = CutOff('too many connections of the address')
NO_WHOLE_HEAD = CutOff('replaced, as it had sent no whole head')
MEMORY = CutOff('too much memory', 429)


@dataclass(frozen=True, slots=True)
class Held:
    """Bytes that a connection holds, by kind.

    Parameters
    ----------
    heads
        Heads of requests that are not complete, and what is not parsed yet.
    bodies
        Bodies that are not complete.
    running
        Bodies of requests that are being served, and answers of such
        requests that wait for an earlier one.
    ahead
        Requests ahead, parsed or not, and bodies of those not passed on.
    answers
        Answers that the caller has not read.
    """

    heads: int = 0
    bodies: int = 0
    running: int = 0
    ahead: int = 0
    answers: int = 0

    @property
    def total(self) -> int:
        """Return the sum."""
        return self.reclaimable + self.running

    @property
    def reclaimable(self) -> int:
        """Return what may be freed without ending a running request."""
        return self.heads + self.bodies + self.ahead + self.answers


NOTHING_HELD = Held()


class Connection(Protocol):
    """Connection of a caller, as the ledger sees it."""

    address: str
    loop: asyncio.AbstractEventLoop
    opened_s: float
    held: Held

    def overdue(self, now_s: float) -> CutOff | None:
        """Return why the connection has exceeded a time limit, if so."""

    def update_held(self) -> None:
        """Report to the ledger what the connection holds now."""

    def forgive(self, now_s: float) -> None:
        """Begin the time limits anew."""

    def cut_off(self, cut: CutOff) -> None:
        """Answer if possible, and close the connection."""


class ConnectionLedger:
    """Accounts for the connections to one port and keeps their limits.

    Parameters
    ----------
    read_caller_limits
        Returns the limits of the configuration in force, if there is one.
    on_cut
        Called with port and reason for each connection that is cut off.
    part
        Part of the connections and of the memory that the port may use.
    """

    def __init__(
        self,
        limits: ConnectionLimits,
        port: str = '',
        read_caller_limits: Callable[[], CallerLimits | None] = lambda: None,
        on_cut: Callable[[str, str], None] = lambda port, reason: None,
        part: float = 1.0,
    ) -> None:
        self._limits = limits
        self._port = port
        self._read_caller_limits = read_caller_limits
        self._on_cut = on_cut
        self._max_connections = _count_connections(limits, part)
        address_part = (
            limits.max_connections_per_address / limits.max_connections
        )
        self._max_per_address = max(
            1, int(self._max_connections * min(1.0, address_part))
        )
        self._max_held_bytes = int(limits.max_held_bytes * part)
        self._connections: dict[Connection, None] = {}
        self._count_by_address: Counter[str] = Counter()
        # Connections that have sent no whole head, the oldest first.
        self._unserved: dict[str, dict[Connection, None]] = {}
        self._held_bytes = 0
        self._next_relief_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._swept_s = 0.0
        self._log_second = 0
        self._log_lines = 0
        self._lines_suppressed = 0

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def held_bytes(self) -> int:
        """Return what all connections hold."""
        return self._held_bytes

    def held_by_kind(self, kind: str) -> int:
        """Return what all connections hold of one kind."""
        return sum(getattr(c.held, kind) for c in self._connections)

    def largest_held_bytes(self) -> int:
        """Return what the largest holder holds."""
        return max((c.held.total for c in self._connections), default=0)

    @property
    def max_head_bytes(self) -> int:
        """Return the longest head of a request."""
        limits = self._read_caller_limits()
        stated = limits.max_header_bytes if limits else None
        return self._limits.head_bytes if stated is None else stated

    @property
    def max_body_bytes(self) -> int | None:
        """Return the longest body, if it is known."""
        limits = self._read_caller_limits()
        return limits.max_body_bytes if limits else None

    @property
    def max_framing_bytes(self) -> int:
        """Return the longest run of framing without data."""
        return self._limits.framing_bytes

    @property
    def header_timeout_s(self) -> float:
        """Return the time within which a head must arrive."""
        limits = self._read_caller_limits()
        stated_ms = limits.header_timeout_ms if limits else None
        if stated_ms is None:
            stated_ms = self._limits.header_timeout_ms
        return stated_ms / 1_000

    @property
    def idle_timeout_s(self) -> float:
        """Return the time for which a connection may say nothing."""
        limits = self._read_caller_limits()
        stated_ms = limits.idle_timeout_ms if limits else None
        if stated_ms is None:
            stated_ms = self._limits.idle_timeout_ms
        return stated_ms / 1_000

    def admit(self, connection: Connection) -> CutOff | None:
        """Account for a new connection, or return why it is refused.

        At a bound, the newcomer takes the place of the connection that has
        been open the longest without a whole head. That is one of its own
        address or, if all places are taken, of the address with the most.
        """
        address = connection.address
        if self._count_by_address[address] >= self._max_per_address:
            if not self._replace(address, connection.opened_s):
                return TOO_MANY_OF_ADDRESS
        elif len(self._connections) >= self._max_connections:
            largest, _ = self._count_by_address.most_common(1)[0]
            if not self._replace(largest, connection.opened_s):
                return TOO_MANY
        self._connections[connection] = None
        self._count_by_address[address] += 1
        self._unserved.setdefault(address, {})[connection] = None
        self._start_sweeps(connection.loop)
        return None

    def release(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        if connection not in self._connections:
            return
        del self._connections[connection]
        self._held_bytes -= connection.held.total
        connection.held = NOTHING_HELD
        self.on_head(connection)
        address = connection.address
        self._count_by_address[address] -= 1
        if not self._count_by_address[address]:
            del self._count_by_address[address]

    def on_head(self, connection: Connection) -> None:
        """Note that a connection has sent a whole head."""
        unserved = self._unserved.get(connection.address)
        if unserved is None:
            return
        unserved.pop(connection, None)
        if not unserved:
            del self._unserved[connection.address]

    def charge(self, connection: Connection, held: Held) -> None:
        """Set what a connection holds, and keep the bound on the sum."""
        if connection not in self._connections:
            return
        self._held_bytes += held.total - connection.held.total
        connection.held = held
        if self._held_bytes > self._max_held_bytes:
            self._relieve(connection.loop.time())

    def on_cut_off(self, connection: Connection, cut: CutOff) -> None:
        """Count and log a connection that is cut off."""
        self._on_cut(self._port, cut.reason)
        # Idle connections end every day, and nobody waits for them.
        if cut is IDLE:
            return
        second = int(connection.loop.time())
        if second != self._log_second:
            self._log_second, self._log_lines = second, 0
        if self._log_lines >= MAX_LOG_LINES_PER_S:
            self._lines_suppressed += 1
            return
        self._log_lines += 1
        logging.warning(
            'caller cut off',
            extra={
                'port': self._port,
                'caller': connection.address,
                'cause': cut.reason,
                'status': cut.status,
                'held_bytes': connection.held.total,
                'connections': self._count_by_address[connection.address],
                'lines_suppressed': self._lines_suppressed,
            },
        )
        self._lines_suppressed = 0

    def _replace(self, address: str, now_s: float) -> bool:
        """Cut off the oldest connection of an address without a head."""
        oldest = next(iter(self._unserved.get(address, ())), None)
        if oldest is None or now_s - oldest.opened_s < NEW_CONNECTION_S:
            return False
        oldest.cut_off(NO_WHOLE_HEAD)
        self.release(oldest)
        return True

    def _relieve(self, now_s: float) -> None:
        """Cut off the largest holders of the address that holds the most."""
        if now_s < self._next_relief_s:
            return
        target_bytes = self._max_held_bytes * RELIEVED_PART
        held_by_address: Counter[str] = Counter()
        for connection in self._connections:
            held_by_address[connection.address] += connection.held.reclaimable
        largest, _ = held_by_address.most_common(1)[0]
        holders = sorted(
            (c for c in self._connections if c.address == largest),
            key=lambda c: c.held.reclaimable,
            reverse=True,
        )
        for holder in holders:
            if self._held_bytes <= target_bytes:
                return
            if not holder.held.reclaimable:
                break
            holder.cut_off(MEMORY)
            self.release(holder)
        if self._held_bytes > self._max_held_bytes:
            self._next_relief_s = now_s + RELIEF_PAUSE_S

    def _start_sweeps(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._timer is None:
            self._swept_s = loop.time()
            self._timer = loop.call_later(SWEEP_S, self._sweep, loop)

    def _sweep(self, loop: asyncio.AbstractEventLoop) -> None:
        """Cut off connections that exceed a time limit."""
        self._timer = None
        now_s = loop.time()
        is_late = now_s - self._swept_s > LATE_SWEEP_S
        for connection in list(self._connections):
            if is_late:
                connection.forgive(now_s)
            elif (cut := connection.overdue(now_s)) is not None:
                connection.cut_off(cut)
            else:
                connection.update_held()
        if self._connections:
            self._start_sweeps(loop)


def _count_connections(limits: ConnectionLimits, part: float) -> int:
    """Return the bound on connections, within the process's descriptors."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    count = limits.max_connections
    if descriptors != resource.RLIM_INFINITY:
        count = min(count, int(descriptors * DESCRIPTOR_PART))
    return max(MIN_CONNECTIONS, int(count * part))
