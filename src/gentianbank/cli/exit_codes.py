"""Exit codes of the command line."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNREACHABLE = 4
    OUTCOME_UNKNOWN = 5
    NOT_FOUND = 6
    DIFFERENT = 7
