"""Serving of the stand-ins' applications."""

from __future__ import annotations

from typing import Any

import uvicorn

from gentianbank.dataplane.server import HttpServer
from gentianbank.domain.addresses import parse_address


def serve_app(app: Any, address: str) -> None:
    """Serve an application until a signal comes."""
    parsed = parse_address(address)
    config = _config(app, parsed.host, parsed.port)
    uvicorn.Server(config).run()


def build_quiet_server(app: Any, address: str) -> HttpServer:
    """Return a server that leaves the signals of the process alone."""
    parsed = parse_address(address)
    return HttpServer(_config(app, parsed.host, parsed.port))


def build_server(app: Any, address: str) -> uvicorn.Server:
    """Return a server for an application, to be run in a loop of others."""
    parsed = parse_address(address)
    return uvicorn.Server(_config(app, parsed.host, parsed.port))


def _config(app: Any, host: str, port: int) -> uvicorn.Config:
    return uvicorn.Config(
        app,
        host,
        port,
        loop='asyncio',
        lifespan='off',
        log_config=None,
        access_log=False,
        timeout_graceful_shutdown=1,
        backlog=2048,
    )
