"""Tables for people, JSON for programs."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

_GAP = '  '


def render_table(
    titles: Sequence[str], rows: Sequence[Sequence[object]]
) -> str:
    """Return rows under their titles, in aligned columns."""
    lines = [[str(title).upper() for title in titles]]
    lines += [[str(cell) for cell in row] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(titles))]
    return '\n'.join(
        _GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def render_json(document: Any) -> str:
    """Return a document as indented JSON."""
    return json.dumps(document, indent=2, sort_keys=True)
