"""Records of how requests were served, for ``explain`` and for traces."""

from __future__ import annotations

from collections import OrderedDict
import dataclasses
from dataclasses import dataclass
import json
from typing import TextIO

RETAINED_DECISIONS = 2_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """How one request was served, and why.

    Parameters
    ----------
    time_ms
        Time at which the request arrived, on this node's monotonic clock.
    key
        Idempotency key that the caller gave, or empty.
    revision
        Revision in force when the request ended.
    targets
        Targets that were tried, in order.
    result
        HTTP status, slug of the refusal, or ``caller-gone``.
    outcome
        ``answered``, ``cut`` (the answer began but was not completed),
        ``not-run`` or ``unknown``; empty if the caller disconnected before
        one was determined.
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
    """Keeps the latest decisions and writes each to a trace.

    Parameters
    ----------
    trace
        Stream to which decisions are written as lines of JSON, or ``None``.
    """

    def __init__(self, trace: TextIO | None) -> None:
        self._trace = trace
        self._decisions: OrderedDict[str, Decision] = OrderedDict()

    def add(self, decision: Decision) -> None:
        """Keep a decision and write it to the trace."""
        self._decisions[decision.request_id] = decision
        if len(self._decisions) > RETAINED_DECISIONS:
            self._decisions.popitem(last=False)
        if self._trace is not None:
            document = dataclasses.asdict(decision)
            self._trace.write(json.dumps(document) + '\n')
            self._trace.flush()

    def find(self, request_id: str) -> Decision | None:
        """Return the decision on a request, or ``None`` if it is not kept."""
        return self._decisions.get(request_id)
