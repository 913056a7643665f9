"""What is known about whether a request has run."""

from __future__ import annotations

import enum


class RunEvidence(enum.Enum):
    """Evidence about a request after all of its attempts so far."""

    NEVER_SENT = 'never-sent'
    """No byte of it can have reached a target."""

    REJECTED = 'rejected'
    """Each target that it may have reached said that it did not run it."""

    MAY_HAVE_RUN = 'may-have-run'
    """A target has run it, or nothing rules that out."""
