"""Order in which the requests of one connection begin and are answered."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
import enum
from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator


class Phase(enum.Enum):
    """How far a request has got.

    Attributes
    ----------
    READ
        Its head has been read; it is not known yet whether it may be
        repeated.
    WAITING
        It may be passed on to a target once its connection allows it.
    BEGUN
        It may have been passed on to a target.
    ANSWERED
        The node itself answers it; it was not passed on.
    """

    READ = enum.auto()
    WAITING = enum.auto()
    BEGUN = enum.auto()
    ANSWERED = enum.auto()


@dataclass(slots=True, eq=False)
class OrderedRequest:
    """A request whose answer is owed.

    Parameters
    ----------
    runs_once
        Whether it may run only once; known from ``WAITING`` on.
    is_counted
        Whether it counts against the node's limit.
    """

    phase: Phase = Phase.READ
    runs_once: bool = False
    is_counted: bool = False


@dataclass(slots=True)
class AheadCount:
    """Requests that run ahead of an earlier answer, over a whole node.

    Parameters
    ----------
    limit
        Largest number of such requests.
    """

    limit: int
    used: int = 0


Request = TypeVar('Request', bound=OrderedRequest)


class AnswerOrder(Generic[Request]):
    """Decides what may begin, be answered or be dropped on a connection.

    Requests that may be repeated run side by side. One that may run only
    once begins when no earlier answer is owed, and nothing behind it begins
    before it is answered. Requests begin in the order in which they came, so
    all that have begun are in front of all that wait.

    Parameters
    ----------
    limit
        Largest number of requests whose answers are owed.
    count
        Requests ahead of the whole node.
    """

    def __init__(self, limit: int, count: AheadCount) -> None:
        self._limit = limit
        self._count = count
        self._owed: deque[Request] = deque()
        self.is_closing = False

    def __len__(self) -> int:
        return len(self._owed)

    def __iter__(self) -> Iterator[Request]:
        return iter(self._owed)

    @property
    def first(self) -> Request | None:
        """Return the request whose answer is next."""
        return self._owed[0] if self._owed else None

    @property
    def last(self) -> Request | None:
        """Return the request that was read last."""
        return self._owed[-1] if self._owed else None

    @property
    def may_read(self) -> bool:
        """Return whether a further request may be read."""
        return not self.is_closing and len(self._owed) < self._limit

    def add(self, request: Request) -> bool:
        """Add a request; false if it counts as not read."""
        if self.is_closing:
            return False
        self._owed.append(request)
        return True

    def is_turn(self, request: Request) -> bool:
        """Return whether the answer of a request may be sent."""
        return bool(self._owed) and self._owed[0] is request

    def wait(self, request: Request, *, runs_once: bool) -> None:
        """Note that a request is ready to be passed on."""
        request.runs_once = runs_once
        request.phase = Phase.WAITING

    def begin_alone(self, request: Request) -> bool:
        """Begin a waiting request if no other is owed; else return false."""
        if len(self._owed) != 1 or self._owed[0] is not request:
            return False
        request.phase = Phase.BEGUN
        return True

    def answer(self, request: Request) -> None:
        """Note that a request is to be answered.

        One that has not begun will not begin any more, and holds back none
        of those behind it.
        """
        if request.phase is not Phase.BEGUN:
            request.phase = Phase.ANSWERED

    def begin(self, *, has_memory: bool = True) -> list[Request]:
        """Begin the requests that may; return them.

        Parameters
        ----------
        has_memory
            Whether answers that wait for an earlier one may be held. The
            first request needs no such memory.
        """
        begun = []
        for index, request in enumerate(self._owed):
            if request.phase is Phase.READ:
                break
            if request.phase is Phase.WAITING:
                if not self._may_begin(request, index, has_memory):
                    break
                request.phase = Phase.BEGUN
                begun.append(request)
            if self._holds_back(request):
                break
        return begun

    def finish(self) -> Request:
        """Remove the first request, whose answer has been sent."""
        request = self._owed.popleft()
        self._uncount(request)
        if self._owed:
            self._uncount(self._owed[0])
        return request

    def close(self, through: Request | None = None) -> list[Request]:
        """Read no more, and drop what was not passed on.

        The first request, and all in front of the last one that has begun,
        stay and are answered.

        Parameters
        ----------
        through
            A request that stays, and with it all in front of it.

        Returns
        -------
        list
            The dropped requests, which get no answer.
        """
        self.is_closing = True
        dropped: list[Request] = []
        while len(self._owed) > 1:
            request = self._owed[-1]
            if request is through or self._must_stay(request):
                break
            dropped.append(self._owed.pop())
        return dropped

    def drop(self, request: Request) -> None:
        """Remove a request that cannot be read to its end."""
        self._owed.remove(request)
        self._uncount(request)

    def clear(self) -> list[Request]:
        """Remove and return all requests, as the connection has ended."""
        self.is_closing = True
        requests = list(self._owed)
        self._owed.clear()
        for request in requests:
            self._uncount(request)
        return requests

    def _may_begin(
        self, request: Request, index: int, has_memory: bool
    ) -> bool:
        if not index:
            return True
        if request.runs_once or not has_memory or index >= self._limit:
            return False
        if self._count.used >= self._count.limit:
            return False
        self._count.used += 1
        request.is_counted = True
        return True

    def _holds_back(self, request: Request) -> bool:
        return request.phase is Phase.BEGUN and request.runs_once

    def _must_stay(self, request: Request) -> bool:
        return request.phase is Phase.BEGUN

    def _uncount(self, request: Request) -> None:
        if request.is_counted:
            request.is_counted = False
            self._count.used -= 1
