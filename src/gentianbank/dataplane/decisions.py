"""The latest decisions, for ``explain`` and for traces."""

from __future__ import annotations

from collections import OrderedDict
import dataclasses
from dataclasses import dataclass
import json
from typing import TextIO

RETAINED_DECISIONS = 2_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """What was done with one request, and why.

    Parameters
    ----------
    targets
        Targets that were tried, in order.
    result
        HTTP status, or the slug of the refusal.
    outcome
        ``answered``, ``not-run`` or ``unknown``.
    """

    time_ms: float
    request_id: str
    service: str
    method: str
    key: str
    revision: int
    targets: tuple[str, ...]
    result: str
    outcome: str
    cause: str
    duration_ms: float


class DecisionLog:
    """Holds the latest decisions and writes them to a trace.

    Parameters
    ----------
    trace
        Stream that takes one JSON object a line, or nothing.
    """

    def __init__(self, trace: TextIO | None) -> None:
        self._trace = trace
        self._decisions: OrderedDict[str, Decision] = OrderedDict()

    def add(self, decision: Decision) -> None:
        """Record a decision."""
        self._decisions[decision.request_id] = decision
        if len(self._decisions) > RETAINED_DECISIONS:
            self._decisions.popitem(last=False)
        if self._trace is not None:
            document = dataclasses.asdict(decision)
            self._trace.write(json.dumps(document) + '\n')
            self._trace.flush()

    def find(self, request_id: str) -> Decision | None:
        """Return the decision on a request."""
        return self._decisions.get(request_id)
