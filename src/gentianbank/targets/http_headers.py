"""HTTP/1.1 header helpers that both interfaces use."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gentianbank.targets.transport import RawHeaders

# Headers that a proxy does not forward.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


def header_values(headers: RawHeaders, name: bytes) -> list[bytes]:
    """Return all values of a header, by its lower-case name."""
    return [value for key, value in headers if key.lower() == name]


def find_header(headers: RawHeaders, name: bytes) -> bytes | None:
    """Return the first value of a header, by its lower-case name."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None
