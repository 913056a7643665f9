"""Requests of the soak as their callers saw them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request as its caller saw it.

    Parameters
    ----------
    process
        Process of the node that was asked.
    status
        Status of the answer; 0 when the connection ended without one.
    whole
        Whether a success bore its stamp and the body of its own request.
    reached
        Whether the connection was made.
    disturbed
        Whether the node was killed, paused or cut meanwhile.
    run
        Time of the node between starts and pauses, by name; empty if it
        started or was paused meanwhile.
    leaving_id
        Target whose answer this is, if the answer said that it leaves.
    """

    request_id: str
    process: str
    once: bool
    sent_s: float
    took_s: float
    timeout_s: float
    status: int
    whole: bool
    reached: bool
    disturbed: bool
    run: str = ''
    leaving_id: str = ''
