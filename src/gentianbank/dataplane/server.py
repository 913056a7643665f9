"""The HTTP server of a node."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import uvicorn

if TYPE_CHECKING:
    from collections.abc import Iterator


class HttpServer(uvicorn.Server):
    """Uvicorn server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield
