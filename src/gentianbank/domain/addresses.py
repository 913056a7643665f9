"""Addresses written as ``IP:port``."""

from __future__ import annotations

from dataclasses import dataclass
import ipaddress

MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse an address that matches ``schema.ADDRESS_PATTERN``."""
    host, _, port = text.rpartition(':')
    return Address(host.strip('[]'), int(port))


def is_address(text: str) -> bool:
    """Return whether a text is an address with a port that can be used."""
    host, separator, port = text.rpartition(':')
    if not (separator and port.isascii() and port.isdecimal()):
        return False
    bare_host = host[1:-1] if host[:1] + host[-1:] == '[]' else host
    try:
        address = ipaddress.ip_address(bare_host)
    except ValueError:
        return False
    if isinstance(address, ipaddress.IPv6Address) and address.scope_id:
        # A scope has a meaning on one machine only, and may be any text.
        return False
    # A longer text may be too long to convert.
    return len(port) <= len(str(MAX_PORT)) and 0 < int(port) <= MAX_PORT
