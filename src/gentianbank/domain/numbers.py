"""Numbers in text that comes from outside, checked where it is decoded.

Only plain decimal notation is read. Words such as ``inf`` and ``nan``, and
numbers out of their range, are errors: arithmetic would carry them on to
places that cannot handle them.
"""

from __future__ import annotations

import re

# No number that is read here needs more.
MAX_CHARACTERS = 40
_WHOLE = re.compile(r'[+-]?[0-9]+', re.ASCII)
_DECIMAL = re.compile(r'[+-]?[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]+)?', re.ASCII)


def parse_whole(text: str, minimum: int, maximum: int) -> int | None:
    """Return a whole number within bounds, both included.

    Returns
    -------
    int or None
        ``None`` if the text is no such number.
    """
    digits = text.strip()
    if len(digits) > MAX_CHARACTERS or not _WHOLE.fullmatch(digits):
        return None
    value = int(digits)
    return value if minimum <= value <= maximum else None


def parse_number(text: str, minimum: float, maximum: float) -> float | None:
    """Return a finite number within bounds, both included.

    Returns
    -------
    float or None
        ``None`` if the text is no such number.
    """
    digits = text.strip()
    if len(digits) > MAX_CHARACTERS or not _DECIMAL.fullmatch(digits):
        return None
    value = float(digits)
    return value if minimum <= value <= maximum else None
