"""Addresses written as ``IP:port``."""

from __future__ import annotations

from dataclasses import dataclass


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
